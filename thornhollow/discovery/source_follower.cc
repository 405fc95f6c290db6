#include "thornhollow/discovery/source_follower.h"

#include <algorithm>
#include <iterator>

namespace thornhollow {
namespace {

void
Append(std::vector<item_change> aNews, std::vector<item_change>& aTo)
{
  std::ranges::move(aNews, std::back_inserter(aTo));
}

} // namespace

source_follower::source_follower(const follower_settings& aSettings,
                                 std::uint64_t aSeed)
  : mSettings(aSettings)
  , mRandom(aSeed)
  , mPause(aSettings.mFirstPause)
  , mLimit(aSettings.mMostLimit)
{
}

source_call
source_follower::Start(const item_mirror& aMirror)
{
  source_call call;
  call.mList = mMustList || !aMirror.Listed();
  call.mAfter = aMirror.At();
  call.mLimit = mLimit;
  if (!call.mList) {
    call.mWait = Failing() || mProbing ? mSettings.mShortWait : LongWait();
  }
  return call;
}

std::optional<source_call>
source_follower::OnPeerFails(const item_mirror& aMirror, time_point aNow)
{
  const bool fresh = mAnswered && aNow - *mAnswered < mSettings.mOutageAfter;
  if (Failing() || fresh ||
      (mProbed && aNow - *mProbed < mSettings.mProbeEvery)) {
    return std::nullopt;
  }
  mProbed = aNow;
  mProbing = true;
  mLimit = mSettings.mFirstLimit;
  return Start(aMirror);
}

// With jitter, so that the watches of instances that started together don't end
// together.
duration
source_follower::LongWait()
{
  const duration all =
    mSettings.mWaitForEach * static_cast<std::int64_t>(mInstances);
  std::uniform_real_distribution<double> jitter(0.5, 1);
  return FromSeconds(
    ToSeconds(std::clamp(all, mSettings.mLeastWait, mSettings.mMostWait)) *
    jitter(mRandom));
}

source_call
source_follower::OnListed(const list_outcome& aOutcome,
                          item_mirror& aMirror,
                          std::vector<item_change>& aNews,
                          time_point aNow)
{
  const auto* listing = std::get_if<source_listing>(&aOutcome);
  if (listing == nullptr) {
    return AfterFailure(aMirror, aNow);
  }
  Append(aMirror.OnListing(listing->mItems, listing->mAt), aNews);
  mMustList = false;
  NoteAnswer(aNow);
  return Start(aMirror);
}

source_call
source_follower::OnWatched(const watch_outcome& aOutcome,
                           item_mirror& aMirror,
                           std::vector<item_change>& aNews,
                           time_point aNow)
{
  if (std::holds_alternative<source_failure>(aOutcome)) {
    return AfterFailure(aMirror, aNow);
  }
  const std::size_t before = aNews.size();
  if (const auto* changes = std::get_if<source_changes>(&aOutcome)) {
    Append(aMirror.OnChanges(changes->mChanges, changes->mAt), aNews);
  } else {
    mMustList = true;
  }
  NoteAnswer(aNow);
  source_call next = Start(aMirror);
  if (!next.mList && aNews.size() > before) {
    next.mPause = mSettings.mGather;
  }
  return next;
}

bool
source_follower::InOutage(time_point aNow) const
{
  return mFailingSince && aNow - *mFailingSince >= mSettings.mOutageAfter;
}

source_call
source_follower::AfterFailure(const item_mirror& aMirror, time_point aNow)
{
  if (!mFailingSince) {
    mFailingSince = aNow;
  }
  // A watch that waits tells nothing, so that the outage's end would go unseen
  // until something changes; a listing answers at once.
  mMustList = mMustList || InOutage(aNow);
  mProbing = false;
  mLimit = mLimit >= mSettings.mMostLimit
             ? mSettings.mFirstLimit
             : std::min(mLimit * 2, mSettings.mMostLimit);
  source_call next = Start(aMirror);
  std::uniform_real_distribution<double> jitter(0.75, 1.25);
  next.mPause = FromSeconds(ToSeconds(mPause) * jitter(mRandom));
  mPause = std::min(mPause * 2, mSettings.mLongestPause);
  return next;
}

void
source_follower::NoteAnswer(time_point aNow)
{
  mAnswered = aNow;
  mProbing = false;
  mLimit = mSettings.mMostLimit;
  EndFailing();
}

void
source_follower::EndFailing()
{
  mFailingSince.reset();
  mPause = mSettings.mFirstPause;
}

} // namespace thornhollow
