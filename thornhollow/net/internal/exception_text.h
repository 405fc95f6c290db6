// What an exception says, for logs.
//
//   asio::co_spawn(io, Run(), [](const std::exception_ptr& aThrown) {
//     if (aThrown) { report(ExceptionText(aThrown)); }
//   });
#ifndef THORNHOLLOW_NET_INTERNAL_EXCEPTION_TEXT_H_
#define THORNHOLLOW_NET_INTERNAL_EXCEPTION_TEXT_H_

#include <exception>
#include <string>
#include <typeinfo>

namespace thornhollow::net_internal {

// Its type and message. `aThrown` must not be null.
inline std::string
ExceptionText(const std::exception_ptr& aThrown)
{
  try {
    std::rethrow_exception(aThrown);
  } catch (const std::exception& thrown) {
    return std::string(typeid(thrown).name()) + ": " + thrown.what();
  } catch (...) {
    return "an exception of an unknown type";
  }
}

} // namespace thornhollow::net_internal

#endif // THORNHOLLOW_NET_INTERNAL_EXCEPTION_TEXT_H_
