// The form in which addresses stand in files: an IP number with a port.
#ifndef THORNHOLLOW_CONFIG_INTERNAL_IP_ADDRESS_H_
#define THORNHOLLOW_CONFIG_INTERNAL_IP_ADDRESS_H_

#include <string_view>

namespace thornhollow::internal {

inline constexpr std::string_view kAddressForm =
  "an IP number and port, such as 10.1.2.3:9000 or [fd00::1]:9000";

// Whether `aText` has that form; names are not resolved, port 0 is refused.
bool
IsAddressWithPort(std::string_view aText);

// Whether `aText`, of that form, means every address of a host.
bool
IsAnyAddress(std::string_view aText);

} // namespace thornhollow::internal

#endif // THORNHOLLOW_CONFIG_INTERNAL_IP_ADDRESS_H_
