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
  record& known = found->second;
  known.mExpiresAt.reset();
  if (known.mEntry == aEntry) {
    return {};
  }
  const bool sameProcess = known.mEntry.mStartedMs == aEntry.mStartedMs &&
                           known.mEntry.mAddress == aEntry.mAddress &&
                           known.mEntry.mPool == aEntry.mPool &&
                           known.mEntry.mVersion == aEntry.mVersion;
  known.mEntry = aEntry;
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
  // A draining endpoint does not register again, so it is not kept for the
  // grace period.
  if (!RecentlyRecovered(aNow) || found->second.mEntry.mDraining) {
    mRecords.erase(found);
    return { endpoint_gone{ aName } };
  }
  if (!found->second.mExpiresAt) {
    found->second.mExpiresAt = *mRecoveredAt + mSettings.mRecoveryGracePeriod;
  }
  return {};
}

void
endpoint_roster::OnSourceFailed(time_point aNow)
{
  mCallFailed = mCallFailed || !mLastAnswer || aNow > *mLastAnswer;
}

void
endpoint_roster::OnSourceAnswered(time_point aAt)
{
  if (mLastAnswer && aAt <= *mLastAnswer) {
    return;
  }
  if (IsSourceInOutage(aAt)) {
    OnRecovered(aAt);
  }
  mLastAnswer = aAt;
  mCallFailed = false;
}

bool
endpoint_roster::IsSourceInOutage(time_point aNow) const
{
  return mCallFailed && mLastAnswer &&
         aNow - *mLastAnswer >= mSettings.mMinOutage;
}

void
endpoint_roster::OnRecovered(time_point aAt)
{
  mRecoveredAt = aAt;
  for (auto& [name, each] : mRecords) {
    if (each.mExpiresAt) {
      each.mExpiresAt = aAt + mSettings.mRecoveryGracePeriod;
    }
  }
}

void
endpoint_roster::OnRecoveryReported(time_point aAt)
{
  if (!mRecoveredAt || aAt - *mRecoveredAt >= mSettings.mSameRecoveryWindow) {
    OnRecovered(aAt);
  }
}

std::optional<duration>
endpoint_roster::TimeSinceRecovery(time_point aNow) const
{
  if (IsSourceInOutage(aNow) || !RecentlyRecovered(aNow)) {
    return std::nullopt;
  }
  return aNow - *mRecoveredAt;
}

bool
endpoint_roster::RecentlyRecovered(time_point aNow) const
{
  return mRecoveredAt && aNow - *mRecoveredAt < mSettings.mRecoveryGracePeriod;
}

roster_changes
endpoint_roster::Tick(time_point aNow)
{
  roster_changes changes;
  // Nothing is removed during an outage, since live endpoints can't register
  // again until the source recovers.
  if (IsSourceInOutage(aNow)) {
    return changes;
  }
  for (auto iterator = mRecords.begin(); iterator != mRecords.end();) {
    if (iterator->second.mExpiresAt && aNow >= *iterator->second.mExpiresAt) {
      changes.emplace_back(endpoint_gone{ iterator->first });
      iterator = mRecords.erase(iterator);
    } else {
      ++iterator;
    }
  }
  return changes;
}

bool
endpoint_roster::Contains(const endpoint_name& aName) const
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
