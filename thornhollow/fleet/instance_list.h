// The platform's list of entry instances, as plain values. The list lags behind
// the running instances: a listed instance may already be gone, and a running
// instance may not be listed yet.
//
//   const instance_list list{ 7, { { instance_name("entry-1"), ... } } };
//
#ifndef THORNHOLLOW_FLEET_INSTANCE_LIST_H_
#define THORNHOLLOW_FLEET_INSTANCE_LIST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "thornhollow/base/ids.h"

namespace thornhollow {

struct listed_instance
{
  instance_name mName;
  domain_name mDomain;
  // Peer address, "ip:port".
  std::string mAddress;
  bool mLeaving = false;

  friend bool operator==(const listed_instance&,
                         const listed_instance&) = default;
};

struct instance_list
{
  // Version of the list on the platform; increases with each change of the
  // list.
  std::uint64_t mVersion = 0;
  std::vector<listed_instance> mInstances;

  friend bool operator==(const instance_list&, const instance_list&) = default;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_INSTANCE_LIST_H_
