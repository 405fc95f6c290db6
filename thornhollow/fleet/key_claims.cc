#include "thornhollow/fleet/key_claims.h"

#include <algorithm>

#include "thornhollow/base/hash.h"

namespace thornhollow {

claim_key
ClaimKeyOf(const team_name& aTeam, std::string_view aIdempotencyKey)
{
  return CombineHash(Hash64(aTeam.Text()), Hash64(aIdempotencyKey));
}

domain_name
HomeDomainOf(claim_key aKey, const std::vector<domain_name>& aDomains)
{
  std::vector<std::string_view> names;
  names.reserve(aDomains.size());
  for (const domain_name& each : aDomains) {
    names.emplace_back(each.Text());
  }
  return names.empty() ? domain_name()
                       : aDomains[RankByRendezvous(aKey, names).front()];
}

std::vector<instance_name>
WitnessesOf(claim_key aKey, const claim_view& aView, std::size_t aCount)
{
  const domain_name home = HomeDomainOf(aKey, aView.mDomains);
  std::vector<std::string_view> names;
  for (const listed_instance& each : aView.mList.mInstances) {
    if (each.mDomain == home && !each.mLeaving) {
      names.emplace_back(each.mName.Text());
    }
  }
  std::vector<instance_name> out;
  for (const std::size_t index : RankByRendezvous(aKey, names)) {
    if (out.size() == aCount) {
      break;
    }
    out.emplace_back(std::string(names[index]));
  }
  return out;
}

} // namespace thornhollow
