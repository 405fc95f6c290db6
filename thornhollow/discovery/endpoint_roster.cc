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
  const bool maybeLapsed =
    mSourceLost || (mRegained && aNow - *mRegained < mSettings.mReturnWindow);
  // An endpoint that had said that it leaves does not come back.
  if (!maybeLapsed || found->second.mEntry.mDraining) {
    mRecords.erase(found);
    return { endpoint_gone{ aName } };
  }
  if (!found->second.mGoneAt) {
    found->second.mGoneAt = mRegained.value_or(aNow) + mSettings.mReturnWindow;
  }
  return {};
}

void
endpoint_roster::OnSourceLost()
{
  mSourceLost = true;
}

void
endpoint_roster::OnSourceRegained(time_point aNow)
{
  mSourceLost = false;
  mRegained = aNow;
  for (auto& [name, each] : mRecords) {
    if (each.mGoneAt) {
      each.mGoneAt = aNow + mSettings.mReturnWindow;
    }
  }
}

void
endpoint_roster::OnSourceLeft()
{
  mSourceLost = false;
}

void
endpoint_roster::OnToldRegained(time_point aThen)
{
  if (!mRegained || aThen - *mRegained >= mSettings.mSameReturn) {
    OnSourceRegained(aThen);
  }
}

std::optional<duration>
endpoint_roster::RegainedFor(time_point aNow) const
{
  if (mSourceLost || !mRegained ||
      aNow - *mRegained >= mSettings.mReturnWindow) {
    return std::nullopt;
  }
  return aNow - *mRegained;
}

roster_changes
endpoint_roster::Tick(time_point aNow)
{
  roster_changes changes;
  // While the source is away nobody can register again.
  if (mSourceLost) {
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
