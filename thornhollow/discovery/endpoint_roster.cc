#include "thornhollow/discovery/endpoint_roster.h"

namespace thornhollow {

roster_changes
endpoint_roster::OnListed(const listed_endpoint& aEntry, time_point)
{
  const auto [found, isNew] =
    mRecords.try_emplace(aEntry.mName, record{ aEntry, std::nullopt });
  if (isNew) {
    return { endpoint_joined{ aEntry } };
  }
  record& held = found->second;
  held.mGoneAt.reset();
  if (held.mEntry == aEntry) {
    return {};
  }
  const bool sameProcess = held.mEntry.mStartedMs == aEntry.mStartedMs &&
                           held.mEntry.mAddress == aEntry.mAddress &&
                           held.mEntry.mPool == aEntry.mPool;
  held.mEntry = aEntry;
  if (sameProcess) {
    return { endpoint_updated{ aEntry } };
  }
  return { endpoint_gone{ aEntry.mName }, endpoint_joined{ aEntry } };
}

roster_changes
endpoint_roster::OnRemoved(const endpoint_name& aName, time_point aNow)
{
  const auto found = mRecords.find(aName);
  if (found == mRecords.end()) {
    return {};
  }
  // An endpoint that had said that it leaves does not come back.
  if (!JustReturned(aNow) || found->second.mEntry.mDraining) {
    mRecords.erase(found);
    return { endpoint_gone{ aName } };
  }
  if (!found->second.mGoneAt) {
    found->second.mGoneAt = *mRegained + mSettings.mReturnWindow;
  }
  return {};
}

void
endpoint_roster::OnSourceFails(time_point aNow)
{
  mFails = mFails || !mAnswered || aNow > *mAnswered;
}

void
endpoint_roster::OnSourceAnswered(time_point aThen)
{
  if (mAnswered && aThen <= *mAnswered) {
    return;
  }
  if (SourceAway(aThen)) {
    OnReturned(aThen);
  }
  mAnswered = aThen;
  mFails = false;
}

bool
endpoint_roster::SourceAway(time_point aNow) const
{
  return mFails && mAnswered && aNow - *mAnswered >= mSettings.mLeastAbsence;
}

void
endpoint_roster::OnReturned(time_point aThen)
{
  mRegained = aThen;
  for (auto& [name, each] : mRecords) {
    if (each.mGoneAt) {
      each.mGoneAt = aThen + mSettings.mReturnWindow;
    }
  }
}

void
endpoint_roster::OnToldRegained(time_point aThen)
{
  if (!mRegained || aThen - *mRegained >= mSettings.mSameReturn) {
    OnReturned(aThen);
  }
}

std::optional<duration>
endpoint_roster::RegainedFor(time_point aNow) const
{
  if (SourceAway(aNow) || !JustReturned(aNow)) {
    return std::nullopt;
  }
  return aNow - *mRegained;
}

bool
endpoint_roster::JustReturned(time_point aNow) const
{
  return mRegained && aNow - *mRegained < mSettings.mReturnWindow;
}

roster_changes
endpoint_roster::Tick(time_point aNow)
{
  roster_changes changes;
  // While the source is away nobody can register again.
  if (SourceAway(aNow)) {
    return changes;
  }
  for (auto at = mRecords.begin(); at != mRecords.end();) {
    if (at->second.mGoneAt && aNow >= *at->second.mGoneAt) {
      changes.emplace_back(endpoint_gone{ at->first });
      at = mRecords.erase(at);
    } else {
      ++at;
    }
  }
  return changes;
}

bool
endpoint_roster::Counts(const endpoint_name& aName) const
{
  return mRecords.contains(aName);
}

std::vector<listed_endpoint>
endpoint_roster::Endpoints() const
{
  std::vector<listed_endpoint> endpoints;
  endpoints.reserve(mRecords.size());
  for (const auto& [name, each] : mRecords) {
    endpoints.push_back(each.mEntry);
  }
  return endpoints;
}

} // namespace thornhollow
