// A completion token for coroutines that report errors as codes.
//
//   error_code wrong;
//   co_await socket.async_connect(where, Into(wrong));
//
#ifndef THORNHOLLOW_NET_INTERNAL_AWAITABLE_H_
#define THORNHOLLOW_NET_INTERNAL_AWAITABLE_H_

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/error_code.hpp>

namespace thornhollow::net_internal {

// Awaits, and stores the outcome in `aError` instead of throwing it.
inline auto
Into(boost::system::error_code& aError)
{
  return boost::asio::redirect_error(boost::asio::use_awaitable, aError);
}

} // namespace thornhollow::net_internal

#endif // THORNHOLLOW_NET_INTERNAL_AWAITABLE_H_
