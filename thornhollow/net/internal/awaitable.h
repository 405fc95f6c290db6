// Small parts of coroutines: errors as codes, and the life of who runs one.
//
//   error_code wrong;
//   co_await socket.async_connect(where, Into(wrong));
//   RunToEnd(io, session, [](const std::exception_ptr& aThrown) { ... });
//
#ifndef THORNHOLLOW_NET_INTERNAL_AWAITABLE_H_
#define THORNHOLLOW_NET_INTERNAL_AWAITABLE_H_

#include <exception>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
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

template<class object>
boost::asio::awaitable<void>
RunHeld(boost::intrusive_ptr<object> aObject)
{
  co_await aObject->Run();
}

// Runs `aObject->Run()` and holds the object until that has ended, also after
// everybody else has let go of it. `aOnThrown` is called if an exception ended
// it, with the object still held: nobody else would hear of it.
template<class object, class handler>
void
RunToEnd(boost::asio::io_context& aIo,
         boost::intrusive_ptr<object> aObject,
         handler aOnThrown)
{
  boost::asio::co_spawn(
    aIo,
    RunHeld(aObject),
    [aObject, aOnThrown](const std::exception_ptr& aThrown) {
      if (aThrown) {
        aOnThrown(aThrown);
      }
    });
}

} // namespace thornhollow::net_internal

#endif // THORNHOLLOW_NET_INTERNAL_AWAITABLE_H_
