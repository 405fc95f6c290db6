// The users' platform's names for headers, paths and environment variables.
//
//   relay_names names = PlatformRelayNames();
//
#ifndef THORNHOLLOW_PLATFORM_WIRE_NAMES_H_
#define THORNHOLLOW_PLATFORM_WIRE_NAMES_H_

#include <string_view>

#include "thornhollow/request/relay_headers.h"

namespace thornhollow::platform {

// Environment variable with the path of the settings file.
inline constexpr const char* kSettingsVariable = "THORNHOLLOW_NODE_FILE";
// Path that the platform's load balancer polls; answered with 200 if the
// instance accepts connections.
inline constexpr std::string_view kReadinessPath = "/v1/readiness";
// The single item with the whole configuration, and its prefix.
inline constexpr std::string_view kConfigurationPrefix = "op/";
inline constexpr std::string_view kConfigurationKey = "op/config";
// An item with this prefix takes the failure domain that it is named after out
// of service.
inline constexpr std::string_view kOutOfServicePrefix = "op/evacuate/";
// Endpoints register under this prefix, each with its identifier.
inline constexpr std::string_view kEndpointPrefix = "servers/";
// Path at which an endpoint reports its state, without needing a slot.
inline constexpr std::string_view kStatusPath = "/v1/report";

relay_names
PlatformRelayNames();

} // namespace thornhollow::platform

#endif // THORNHOLLOW_PLATFORM_WIRE_NAMES_H_
