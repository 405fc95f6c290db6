// What an instance says about itself on the operators' `GET /status`, and what
// the operators' command shows of it.
//
//   answer.body() = StatusJson(status);
//   const auto status = ParseStatusJson(body);
//
#ifndef THORNHOLLOW_CONFIG_INSTANCE_STATUS_H_
#define THORNHOLLOW_CONFIG_INSTANCE_STATUS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "thornhollow/base/ids.h"

namespace thornhollow {

// A configuration that the instance refused, kept until a later one is known.
struct refused_revision
{
  std::uint64_t mVersion = 0;
  // One line for each fault.
  std::vector<std::string> mFaults;

  friend bool operator==(const refused_revision&,
                         const refused_revision&) = default;
};

struct instance_status
{
  instance_name mName;
  domain_name mDomain;
  bool mReady = false;
  bool mDraining = false;
  // The platform's version of the manifest in force.
  std::optional<std::uint64_t> mVersionInForce;
  std::optional<refused_revision> mRefused;

  friend bool operator==(const instance_status&,
                         const instance_status&) = default;
};

// A JSON object with the fields name, domain, ready, draining,
// version_in_force (absent where none is) and refused (absent, or an object
// with version and faults).
std::string
StatusJson(const instance_status& aStatus);

// Nothing where `aText` is not such an object. Further fields are ignored, so
// that an older command reads a newer instance.
std::optional<instance_status>
ParseStatusJson(std::string_view aText);

} // namespace thornhollow

#endif // THORNHOLLOW_CONFIG_INSTANCE_STATUS_H_
