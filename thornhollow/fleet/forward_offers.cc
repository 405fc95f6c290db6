#include "thornhollow/fleet/forward_offers.h"

#include <algorithm>
#include <utility>

namespace thornhollow {

std::vector<forward_candidate>
forward_offers::TakeQuestions(const pool_name& aPool,
                              std::vector<forward_candidate> aOthers,
                              time_point aNow)
{
  pool_offers& pool = mPools[aPool];
  if (aNow < pool.mNextRound) {
    return {};
  }
  pool.mNextRound = aNow + mSettings.mInterval;
  std::ranges::shuffle(aOthers, mRandom);
  // The own domain's first half, then those of others, then the rest.
  std::size_t own = 0;
  const auto rank = [&](const forward_candidate& aOne) {
    if (!aOne.mInOwnDomain) {
      return 1;
    }
    return own++ < mSettings.mAskedAtOnce / 2 ? 0 : 2;
  };
  std::vector<std::pair<int, forward_candidate>> ranked;
  ranked.reserve(aOthers.size());
  for (forward_candidate& each : aOthers) {
    const int place = rank(each);
    ranked.emplace_back(place, std::move(each));
  }
  std::ranges::stable_sort(
    ranked, {}, &std::pair<int, forward_candidate>::first);
  std::vector<forward_candidate> asked;
  for (auto& [place, each] : ranked) {
    if (asked.size() < mSettings.mAskedAtOnce) {
      asked.push_back(std::move(each));
    }
  }
  return asked;
}

void
forward_offers::OnOffer(const pool_name& aPool,
                        const forward_candidate& aFrom,
                        const forward_offer& aOffer,
                        time_point aNow)
{
  auto& offers = mPools[aPool].mByInstance;
  std::erase_if(offers, [&](const auto& aEntry) {
    return aNow - aEntry.second.mAt >= mSettings.mLifetime;
  });
  if (aOffer.mAddress.empty()) {
    offers.erase(aFrom.mName);
    return;
  }
  offers[aFrom.mName] = { { aOffer.mAddress,
                            aFrom.mInOwnDomain,
                            aOffer.mInProgress,
                            aOffer.mInContact },
                          aNow };
}

std::vector<forward_peer>
forward_offers::Peers(const pool_name& aPool, time_point aNow) const
{
  std::vector<forward_peer> peers;
  const auto found = mPools.find(aPool);
  if (found == mPools.end()) {
    return peers;
  }
  for (const auto& [name, each] : found->second.mByInstance) {
    if (aNow - each.mAt < mSettings.mLifetime) {
      peers.push_back(each.mPeer);
    }
  }
  return peers;
}

} // namespace thornhollow
