// Parses the platform's list of live and leaving instances.
//
//   const auto list = ReadPlatformList(body, version);
//
#ifndef THORNHOLLOW_LISTING_PLATFORM_LIST_H_
#define THORNHOLLOW_LISTING_PLATFORM_LIST_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "thornhollow/base/ids.h"
#include "thornhollow/fleet/instance_list.h"

namespace thornhollow {

struct platform_endpoint
{
  endpoint_name mName;
  bool mLeaving = false;

  friend bool operator==(const platform_endpoint&,
                         const platform_endpoint&) = default;
};

struct platform_list
{
  // Router instances whose entry has a peer address.
  instance_list mRouters;
  std::vector<platform_endpoint> mEndpoints;

  friend bool operator==(const platform_list&, const platform_list&) = default;
};

// Returns nothing if the text is not a valid list of the platform's protocol.
// Entries with an unknown role are skipped.
std::optional<platform_list>
ReadPlatformList(std::string_view aJson, std::uint64_t aVersion);

} // namespace thornhollow

#endif // THORNHOLLOW_LISTING_PLATFORM_LIST_H_
