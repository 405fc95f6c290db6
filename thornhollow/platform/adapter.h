// The adapter for the users' platform.
//
//   relay_adapter adapter = platform::MakeAdapter(io, settings.mSourceAddress);
//
#ifndef THORNHOLLOW_PLATFORM_ADAPTER_H_
#define THORNHOLLOW_PLATFORM_ADAPTER_H_

#include <string>

#include "thornhollow/discovery/relay_adapter.h"

namespace boost::asio {
class io_context;
}

namespace thornhollow::platform {

// `aStoreAddress`: IP address and port of the platform's store.
relay_adapter
MakeAdapter(boost::asio::io_context& aIo, const std::string& aStoreAddress);

} // namespace thornhollow::platform

#endif // THORNHOLLOW_PLATFORM_ADAPTER_H_
