#include "thornhollow/fleet/forward_choice.h"

#include <algorithm>
#include <iterator>

namespace thornhollow {
namespace {

// Factor on the load of an instance in another failure domain, which is farther
// away: it is chosen only if it is clearly less loaded.
constexpr double kOtherDomainFactor = 1.5;

} // namespace

std::optional<std::string>
forward_choice::Choose(const std::vector<forward_peer>& aPeers,
                       const std::vector<std::string>& aTried)
{
  std::vector<const forward_peer*> candidates;
  for (const forward_peer& each : aPeers) {
    if (std::ranges::count(aTried, each.mAddress) == 0) {
      candidates.push_back(&each);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  if (std::ranges::any_of(candidates, &forward_peer::mInContact)) {
    std::erase_if(candidates,
                  [](const forward_peer* aPeer) { return !aPeer->mInContact; });
  }
  std::vector<const forward_peer*> drawn;
  std::ranges::sample(candidates, std::back_inserter(drawn), 2, mRandom);
  const forward_peer* best = *std::ranges::min_element(
    drawn, {}, [this](const forward_peer* aPeer) { return Cost(*aPeer); });
  return best->mAddress;
}

// Load of the peer as reported, plus what this instance has forwarded to it,
// part of which the report already contains.
double
forward_choice::Cost(const forward_peer& aPeer) const
{
  const auto own = mInFlight.find(aPeer.mAddress);
  const double load =
    1.0 + aPeer.mInProgress + (own == mInFlight.end() ? 0 : own->second);
  return aPeer.mInOwnDomain ? load : load * kOtherDomainFactor;
}

void
forward_choice::OnEnded(const std::string& aAddress)
{
  const auto found = mInFlight.find(aAddress);
  if (found != mInFlight.end() && --found->second == 0) {
    mInFlight.erase(found);
  }
}

std::size_t
forward_choice::InFlight() const
{
  std::size_t sum = 0;
  for (const auto& [address, count] : mInFlight) {
    sum += count;
  }
  return sum;
}

} // namespace thornhollow
