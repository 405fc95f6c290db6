#include "thornhollow/discovery/source_follower.h"

#include <algorithm>
#include <iterator>

namespace thornhollow {
namespace {

void
Append(std::vector<item_change> aChanges, std::vector<item_change>& aTo)
{
  std::ranges::move(aChanges, std::back_inserter(aTo));
}

} // namespace

std::string_view
Name(suspicion_reason aReason)
{
  switch (aReason) {
    case suspicion_reason::kOtherCallFails:
      return "other_call_fails";
    case suspicion_reason::kPeerFails:
      return "peer_fails";
    case suspicion_reason::kPeerKnewFirst:
      return "peer_knew_first";
  }
  return "unknown";
}

source_follower::source_follower(const source_follower_settings& aSettings,
                                 std::uint64_t aSeed)
  : mSettings(aSettings)
  , mRandom(aSeed)
  , mBackoff(aSettings.mInitialBackoff)
  , mMaxRecentDelay(aSettings.mInitialDelay)
{
}

source_call
source_follower::Start(const item_mirror& aMirror)
{
  source_call call;
  call.mList = mMustList || !aMirror.Listed();
  call.mAfter = aMirror.Revision();
  if (!call.mList) {
    call.mWait = Failing() || mProbing ? mSettings.mProbeWait : WatchWait();
  }
  call.mResponseTimeout = ResponseTimeout();
  call.mIdleTimeout = mSettings.mIdleTimeout;
  return call;
}

source_call
source_follower::OnOverdue(const item_mirror& aMirror, time_point aNow)
{
  // A single response may be late; the next call, a probe that returns at once,
  // shows whether the source responds at all.
  if (mProbing || Failing()) {
    RecordFailure(aNow);
  }
  mProbing = true;
  return Start(aMirror);
}

std::optional<source_call>
source_follower::OnSuspected(suspicion_reason aReason,
                             const item_mirror& aMirror,
                             time_point aNow)
{
  if (Failing() || mProbing) {
    return std::nullopt;
  }
  if (aReason != suspicion_reason::kPeerKnewFirst) {
    const duration interval = aReason == suspicion_reason::kPeerFails
                                ? mSettings.mPeerProbeInterval
                                : mSettings.mOwnProbeInterval;
    const bool isRecent =
      mLastAnswer && aNow - *mLastAnswer < mSettings.mOutageThreshold;
    if (isRecent || (mLastProbe && aNow - *mLastProbe < interval)) {
      return std::nullopt;
    }
  }
  mLastProbe = aNow;
  mProbing = true;
  return Start(aMirror);
}

void
source_follower::SetStagger(const watch_stagger& aStagger)
{
  if (mStagger != aStagger) {
    mStagger = aStagger;
    mIsStaggered = false;
  }
}

void
source_follower::RecordDelay(duration aDelay)
{
  // The recorded delay is limited so that a single very late response doesn't
  // prolong the time-out of many following responses.
  mMaxRecentDelay = std::max(std::min(aDelay, mSettings.mMaxResponseTimeout),
                             mMaxRecentDelay / 2);
}

// Returns the wait of the next watch. After an event that ends all instances'
// watches at once, such as a change, the next watches start together. The first
// watch of each instance then ends at the instance's own position within the
// round, in which each reader's watch ends once; later watches last a full
// round of all readers.
duration
source_follower::WatchWait() const
{
  const std::size_t slotCount = std::clamp<std::size_t>(
    mStagger.mCount, 1, std::max<std::size_t>(mSettings.mMaxStaggerSlots, 1));
  const double slots =
    mIsStaggered
      ? static_cast<double>(slotCount)
      : static_cast<double>(mStagger.mIndex % slotCount) + mStagger.mPhase;
  return FromSeconds(ToSeconds(mSettings.mStaggerInterval) * slots);
}

duration
source_follower::ResponseTimeout()
{
  if (Failing()) {
    const duration total = mSettings.mRetryIntervalPerInstance *
                           static_cast<std::int64_t>(mStagger.mCount);
    const duration interval = std::clamp(
      total, mSettings.mMinRetryInterval, mSettings.mMaxRetryInterval);
    return FromSeconds(ToSeconds(interval) * Jitter());
  }
  return std::clamp(mMaxRecentDelay + mSettings.mTimeoutMargin,
                    mSettings.mMinResponseTimeout,
                    mSettings.mMaxResponseTimeout);
}

double
source_follower::Jitter()
{
  return std::uniform_real_distribution<double>(0.75, 1.25)(mRandom);
}

source_call
source_follower::OnListed(const list_outcome& aOutcome,
                          item_mirror& aMirror,
                          std::vector<item_change>& aChanges,
                          time_point aNow)
{
  const auto* listing = std::get_if<source_listing>(&aOutcome);
  if (listing == nullptr) {
    return AfterFailure(aMirror, aNow);
  }
  Append(aMirror.OnListing(listing->mItems, listing->mRevision), aChanges);
  mMustList = false;
  mIsStaggered = false;
  RecordAnswer(aNow);
  return Start(aMirror);
}

source_call
source_follower::OnWatched(const watch_outcome& aOutcome,
                           item_mirror& aMirror,
                           std::vector<item_change>& aChanges,
                           time_point aNow)
{
  if (std::holds_alternative<source_failure>(aOutcome)) {
    return AfterFailure(aMirror, aNow);
  }
  const std::size_t changesBefore = aChanges.size();
  const bool wasProbing = mProbing || Failing();
  if (const auto* changes = std::get_if<source_changes>(&aOutcome)) {
    Append(aMirror.OnChanges(changes->mChanges, changes->mRevision), aChanges);
  } else {
    mMustList = true;
  }
  RecordAnswer(aNow);
  mIsStaggered = !wasProbing && !mMustList && aChanges.size() == changesBefore;
  source_call next = Start(aMirror);
  if (!next.mList && aChanges.size() > changesBefore) {
    next.mSendDelay = mSettings.mCoalesceDelay;
  }
  return next;
}

bool
source_follower::InOutage(time_point aNow) const
{
  return mFailingSince && aNow - *mFailingSince >= mSettings.mOutageThreshold;
}

source_call
source_follower::AfterFailure(const item_mirror& aMirror, time_point aNow)
{
  RecordFailure(aNow);
  source_call next = Start(aMirror);
  next.mSendDelay = FromSeconds(ToSeconds(mBackoff) * Jitter());
  mBackoff = std::min(mBackoff * 2, mSettings.mMaxBackoff);
  return next;
}

void
source_follower::RecordFailure(time_point aNow)
{
  if (!mFailingSince) {
    mFailingSince = aNow;
  }
  // A watch shows the end of an outage only when an item changes or its wait
  // elapses; a listing is answered at once.
  mMustList = mMustList || InOutage(aNow);
}

void
source_follower::RecordAnswer(time_point aNow)
{
  mLastAnswer = aNow;
  ClearFailure();
}

void
source_follower::ClearFailure()
{
  mProbing = false;
  mFailingSince.reset();
  mBackoff = mSettings.mInitialBackoff;
}

} // namespace thornhollow
