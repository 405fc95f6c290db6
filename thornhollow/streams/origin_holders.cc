#include "thornhollow/streams/origin_holders.h"

#include <algorithm>
#include <string_view>

#include "thornhollow/base/hash.h"

namespace thornhollow {
namespace {

constexpr std::size_t kToldOfEachDomain = 1;
constexpr std::size_t kAskedOfEachDomain = 2;

} // namespace

origin_holders::origin_holders(const std::vector<known_instance>& aOthers)
{
  for (const known_instance& each : aOthers) {
    mByDomain[each.mDomain].push_back(each.mAddress);
  }
}

std::vector<std::string>
origin_holders::ToTell(stream_key aStream, const domain_name& aOwnDomain) const
{
  return Choose(aStream, aOwnDomain, kToldOfEachDomain);
}

std::vector<std::string>
origin_holders::ToAsk(stream_key aStream, const domain_name& aOwnDomain) const
{
  return Choose(aStream, aOwnDomain, kAskedOfEachDomain);
}

std::vector<std::string>
origin_holders::Choose(stream_key aStream,
                       const domain_name& aOwnDomain,
                       std::size_t aOfEachDomain) const
{
  // The own domain counts though no other instance may be there: others rank
  // it.
  std::vector<std::string_view> domains = { aOwnDomain.Text() };
  for (const auto& [name, addresses] : mByDomain) {
    if (name != aOwnDomain) {
      domains.push_back(name.Text());
    }
  }
  std::vector<std::string> chosen;
  std::size_t rank = 0;
  for (const std::size_t domain : RankByRendezvous(aStream.mValue, domains)) {
    const bool isOwn = domains[domain] == aOwnDomain.Text();
    if (rank++ >= kMaxDomains && !isOwn) {
      continue;
    }
    const auto found =
      mByDomain.find(domain_name(std::string(domains[domain])));
    if (found == mByDomain.end()) {
      continue;
    }
    const auto& addresses = found->second;
    const std::vector<std::string_view> names(addresses.begin(),
                                              addresses.end());
    const auto ranked = RankByRendezvous(aStream.mValue, names);
    const std::size_t count = std::min(aOfEachDomain, ranked.size());
    for (std::size_t each = 0; each < count; ++each) {
      chosen.push_back(addresses[ranked[each]]);
    }
  }
  return chosen;
}

} // namespace thornhollow
