// The platform's list of live and leaving instances.
//
//   const auto list = ReadInstanceList(body);
//
#ifndef THORNHOLLOW_PLATFORM_INSTANCE_LIST_H_
#define THORNHOLLOW_PLATFORM_INSTANCE_LIST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "thornhollow/base/ids.h"

namespace thornhollow {

enum class listed_role : std::uint8_t
{
  kRouter,
  kEndpoint,
};

struct listed_instance
{
  std::string mName;
  listed_role mRole = listed_role::kEndpoint;
  domain_name mDomain;
  std::string mAddress;
  // Of routers only.
  std::string mPeerAddress;
  bool mLeaving = false;

  friend bool operator==(const listed_instance&,
                         const listed_instance&) = default;
};

using instance_list = std::vector<listed_instance>;

// Nothing when the text is no list of the protocol; entries with an unknown
// role are left out.
std::optional<instance_list>
ReadInstanceList(std::string_view aJson);

} // namespace thornhollow

#endif // THORNHOLLOW_PLATFORM_INSTANCE_LIST_H_
