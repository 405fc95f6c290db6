// What an instance answers to the operators' `GET /status`.
//
//   const auto report = ParseInstanceReport(body);
//
#ifndef THORNHOLLOW_TOOLS_INSTANCE_REPORT_H_
#define THORNHOLLOW_TOOLS_INSTANCE_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "thornhollow/base/ids.h"

namespace thornhollow {

// What an instance believes of one prefix of its source.
struct held_report
{
  std::string mWhat;
  // The source's revision up to which it is known.
  std::uint64_t mAt = 0;
  std::uint64_t mCount = 0;
  // Milliseconds since the source itself answered; nothing where only peers
  // have told of it.
  std::optional<std::uint64_t> mAgeMs;
  bool mFailing = false;

  friend bool operator==(const held_report&, const held_report&) = default;
};

struct instance_report
{
  instance_name mName;
  domain_name mDomain;
  bool mReady = false;
  bool mDraining = false;
  // The platform's version of the manifest in force.
  std::optional<std::uint64_t> mRevision;
  // The latest refused one, with a line for each fault.
  std::optional<std::uint64_t> mRefusedRevision;
  std::vector<std::string> mRefusedFaults;
  std::uint64_t mInProgress = 0;
  std::uint64_t mPeersAlive = 0;
  // Empty where a bundle is followed.
  std::vector<held_report> mHeld = {};

  friend bool operator==(const instance_report&,
                         const instance_report&) = default;
};

// Nothing where `aText` is not a JSON object that names an instance and its
// domain. Further fields are ignored and missing ones take their defaults, so
// that a command of one release reads an instance of another.
std::optional<instance_report>
ParseInstanceReport(std::string_view aText);

} // namespace thornhollow

#endif // THORNHOLLOW_TOOLS_INSTANCE_REPORT_H_
