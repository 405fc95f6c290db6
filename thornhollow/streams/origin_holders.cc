#include "thornhollow/streams/origin_holders.h"

#include <algorithm>
#include <string_view>

#include "thornhollow/base/hash.h"

namespace thornhollow {
namespace {

constexpr std::size_t kMoreAsked = 1;

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
  return Choose(aStream, aOwnDomain, 0);
}

std::vector<std::string>
origin_holders::ToAsk(stream_key aStream, const domain_name& aOwnDomain) const
{
  return Choose(aStream, aOwnDomain, kMoreAsked);
}

std::vector<std::string>
origin_holders::Choose(stream_key aStream,
                       const domain_name& aOwnDomain,
                       std::size_t aMore) const
{
  // The own domain counts though no other instance may be there: others rank
  // it.
  std::vector<std::string_view> domains = { aOwnDomain.Text() };
  for (const auto& [name, addresses] : mByDomain) {
    if (name != aOwnDomain) {
      domains.push_back(name.Text());
    }
  }
  const std::size_t ranked = std::min(domains.size(), kMaxDomains);
  const std::size_t ofEach = (kMinHolders + ranked - 1) / ranked + aMore;
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
    const auto order = RankByRendezvous(aStream.mValue, names);
    const std::size_t count = std::min(ofEach, order.size());
    for (std::size_t each = 0; each < count; ++each) {
      chosen.push_back(addresses[order[each]]);
    }
  }
  return chosen;
}

} // namespace thornhollow
