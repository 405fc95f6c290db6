// What the users' platform calls things in headers, paths and its environment.
//
//   relay_names names = PlatformRelayNames();
//
#ifndef THORNHOLLOW_PLATFORM_WIRE_NAMES_H_
#define THORNHOLLOW_PLATFORM_WIRE_NAMES_H_

#include <string_view>

#include "thornhollow/request/relay_headers.h"

namespace thornhollow::platform {

// Holds the path of the settings file.
inline constexpr const char* kSettingsVariable = "THORNHOLLOW_NODE_FILE";
// Asked by the platform's balancer: 200 where the instance takes connections.
inline constexpr std::string_view kReadinessPath = "/v1/readiness";
// The one item that holds the whole configuration.
inline constexpr std::string_view kConfigurationPrefix = "op/";
inline constexpr std::string_view kConfigurationKey = "op/config";
// Endpoints register below this, each under its identifier.
inline constexpr std::string_view kEndpointPrefix = "servers/";

relay_names
PlatformRelayNames();

} // namespace thornhollow::platform

#endif // THORNHOLLOW_PLATFORM_WIRE_NAMES_H_
