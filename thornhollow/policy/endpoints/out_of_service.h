// Failure domains that the operator has taken out of service, and when callers
// should come back whose pool has endpoints nowhere else.
//
//   out_of_service_domains domains;
//   domains.Take(domain_name("hall"), now);
//   if (const auto left = domains.ExpectedLeft(domain_name("hall"), now)) { ...
//   }
//
// Load pattern: the last endpoints of a pool stand in a domain that is out.
// Callers that are told to come back in a moment are refused again and again,
// and each of them has spent one of its few tries. How long the operator takes
// isn't known; what has been out for a while is expected to be out for as long
// again.
//
// Returns are told to the other instances: one that has just started doesn't
// know that a domain was out, and that its endpoints may have become cold.
#ifndef THORNHOLLOW_POLICY_ENDPOINTS_OUT_OF_SERVICE_H_
#define THORNHOLLOW_POLICY_ENDPOINTS_OUT_OF_SERVICE_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"

namespace thornhollow {

// A failure domain that is back in service, and since when.
struct returned_domain
{
  domain_name mDomain;
  duration mAge{};

  friend bool operator==(const returned_domain&,
                         const returned_domain&) = default;
};

class out_of_service_domains
{
public:
  static constexpr duration kMinExpected = Seconds(2);
  static constexpr duration kMaxExpected = Seconds(30);

  // For how long a return is told to instances that may have missed it.
  static constexpr duration kReturnToldFor = Seconds(10);

  // Does nothing if the domain is out already.
  void Take(const domain_name& aDomain, time_point aNow)
  {
    mSince.try_emplace(aDomain, aNow);
    mReturnedAt.erase(aDomain);
  }
  // It may have been out for less time than its word took.
  void Return(const domain_name& aDomain, time_point aNow)
  {
    mSince.erase(aDomain);
    mReturnedAt[aDomain] = aNow;
  }
  // Returns all domains but these.
  void Retain(const std::set<domain_name>& aDomains)
  {
    std::erase_if(mSince, [&](const auto& aEntry) {
      return !aDomains.contains(aEntry.first);
    });
  }

  // Domains that came back lately, as far as this instance has seen it.
  std::vector<returned_domain> LatelyReturned(time_point aNow)
  {
    std::vector<returned_domain> found;
    std::erase_if(mReturnedAt, [&](const auto& aEntry) {
      return aNow - aEntry.second >= kReturnToldFor;
    });
    for (const auto& [domain, at] : mReturnedAt) {
      found.push_back({ domain, aNow - at });
    }
    return found;
  }
  // Another instance saw the domain come back `aAge` ago. Returns whether that
  // is news: this instance has not seen it go or come back itself, as it has
  // just started.
  bool OnReturnReported(const returned_domain& aReturned, time_point aNow)
  {
    return !Contains(aReturned.mDomain) && aReturned.mAge < kReturnToldFor &&
           mReturnedAt.try_emplace(aReturned.mDomain, aNow - aReturned.mAge)
             .second;
  }

  bool Contains(const domain_name& aDomain) const
  {
    return mSince.contains(aDomain);
  }
  // How long the domain is expected to stay out; nothing if it is in service.
  std::optional<duration> ExpectedLeft(const domain_name& aDomain,
                                       time_point aNow) const
  {
    const auto found = mSince.find(aDomain);
    if (found == mSince.end()) {
      return std::nullopt;
    }
    return std::clamp<duration>(
      aNow - found->second, kMinExpected, kMaxExpected);
  }
  // How long a pool is expected to have no endpoint, whose endpoints stand in
  // these domains; nothing if one of them is in service, or there is none.
  template<class domain_range>
  std::optional<duration> ExpectedLeftOfAll(const domain_range& aDomains,
                                            time_point aNow) const
  {
    std::optional<duration> left;
    for (const domain_name& each : aDomains) {
      const auto own = ExpectedLeft(each, aNow);
      if (!own) {
        return std::nullopt;
      }
      left = std::min(left.value_or(*own), *own);
    }
    return left;
  }
  std::size_t size() const { return mSince.size(); }

private:
  // Since when this instance knows.
  std::map<domain_name, time_point> mSince;
  std::map<domain_name, time_point> mReturnedAt;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ENDPOINTS_OUT_OF_SERVICE_H_
