// Small parts of coroutines: errors as codes, and the life of who runs one.
//
//   error_code wrong;
//   co_await socket.async_connect(where, Into(wrong));
//   asio::co_spawn(io, RunToEnd(session), asio::detached);
//
#ifndef THORNHOLLOW_NET_INTERNAL_AWAITABLE_H_
#define THORNHOLLOW_NET_INTERNAL_AWAITABLE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/system/error_code.hpp>

namespace thornhollow::net_internal {

// Awaits, and stores the outcome in `aError` instead of throwing it.
inline auto
Into(boost::system::error_code& aError)
{
  return boost::asio::redirect_error(boost::asio::use_awaitable, aError);
}

// Runs `aObject->Run()` and holds the object until that has ended, also after
// everybody else has let go of it.
template<class object>
boost::asio::awaitable<void>
RunToEnd(boost::intrusive_ptr<object> aObject)
{
  co_await aObject->Run();
}

} // namespace thornhollow::net_internal

#endif // THORNHOLLOW_NET_INTERNAL_AWAITABLE_H_
