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

std::string_view
Name(watch_doubt aWhy)
{
  switch (aWhy) {
    case watch_doubt::kOtherCallFails:
      return "other_call_fails";
    case watch_doubt::kPeerFails:
      return "peer_fails";
    case watch_doubt::kPeerKnewFirst:
      return "peer_knew_first";
  }
  return "unknown";
}

source_follower::source_follower(const source_follower_settings& aSettings,
                                 std::uint64_t aSeed)
  : mSettings(aSettings)
  , mRandom(aSeed)
  , mPause(aSettings.mFirstPause)
  , mLongestDelay(aSettings.mFirstDelay)
{
}

source_call
source_follower::Start(const item_mirror& aMirror)
{
  source_call call;
  call.mList = mMustList || !aMirror.Listed();
  call.mAfter = aMirror.At();
  if (!call.mList) {
    call.mWait = Failing() || mProbing ? mSettings.mProbeWait : LongWait();
  }
  call.mPatience = Patience();
  call.mLimit = mSettings.mLimit;
  return call;
}

source_call
source_follower::OnOverdue(const item_mirror& aMirror, time_point aNow)
{
  // One answer may be late; the next one, to a call that need not wait, tells
  // whether the source answers at all.
  if (mProbing || Failing()) {
    NoteFailure(aNow);
  }
  mProbing = true;
  return Start(aMirror);
}

std::optional<source_call>
source_follower::OnDoubt(watch_doubt aWhy,
                         const item_mirror& aMirror,
                         time_point aNow)
{
  if (Failing() || mProbing) {
    return std::nullopt;
  }
  if (aWhy != watch_doubt::kPeerKnewFirst) {
    const duration every = aWhy == watch_doubt::kPeerFails
                             ? mSettings.mDoubtPeersEvery
                             : mSettings.mDoubtOwnEvery;
    const bool fresh = mAnswered && aNow - *mAnswered < mSettings.mOutageAfter;
    if (fresh || (mDoubted && aNow - *mDoubted < every)) {
      return std::nullopt;
    }
  }
  mDoubted = aNow;
  mProbing = true;
  return Start(aMirror);
}

void
source_follower::SetTurn(const watch_turn& aTurn)
{
  if (mTurn != aTurn) {
    mTurn = aTurn;
    mInTurn = false;
  }
}

void
source_follower::NoteDelay(duration aDelay)
{
  // One answer that was late by far doesn't make the next ones be waited for.
  mLongestDelay =
    std::max(std::min(aDelay, mSettings.mMostPatience), mLongestDelay / 2);
}

// What ends all instances' watches at once, such as news, begins them together
// too: each then waits until its place, and the whole round from there on.
duration
source_follower::LongWait() const
{
  const std::size_t turns = std::clamp<std::size_t>(
    mTurn.mOf, 1, std::max<std::size_t>(mSettings.mMostTurns, 1));
  const double until =
    mInTurn ? static_cast<double>(turns)
            : static_cast<double>(mTurn.mPlace % turns) + mTurn.mPhase;
  return FromSeconds(ToSeconds(mSettings.mTurnEvery) * until);
}

duration
source_follower::Patience()
{
  if (Failing()) {
    const duration all =
      mSettings.mAskEveryForEach * static_cast<std::int64_t>(mTurn.mOf);
    const duration every =
      std::clamp(all, mSettings.mLeastAskEvery, mSettings.mMostAskEvery);
    return FromSeconds(ToSeconds(every) * Jitter());
  }
  return std::clamp(mLongestDelay + mSettings.mPatienceMargin,
                    mSettings.mLeastPatience,
                    mSettings.mMostPatience);
}

double
source_follower::Jitter()
{
  return std::uniform_real_distribution<double>(0.75, 1.25)(mRandom);
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
  mInTurn = false;
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
  const bool probed = mProbing || Failing();
  if (const auto* changes = std::get_if<source_changes>(&aOutcome)) {
    Append(aMirror.OnChanges(changes->mChanges, changes->mAt), aNews);
  } else {
    mMustList = true;
  }
  NoteAnswer(aNow);
  mInTurn = !probed && !mMustList && aNews.size() == before;
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
  NoteFailure(aNow);
  source_call next = Start(aMirror);
  next.mPause = FromSeconds(ToSeconds(mPause) * Jitter());
  mPause = std::min(mPause * 2, mSettings.mLongestPause);
  return next;
}

void
source_follower::NoteFailure(time_point aNow)
{
  if (!mFailingSince) {
    mFailingSince = aNow;
  }
  // A watch that waits tells nothing, so that the outage's end would go unseen
  // until something changes; a listing answers at once.
  mMustList = mMustList || InOutage(aNow);
}

void
source_follower::NoteAnswer(time_point aNow)
{
  mAnswered = aNow;
  EndFailing();
}

void
source_follower::EndFailing()
{
  mProbing = false;
  mFailingSince.reset();
  mPause = mSettings.mFirstPause;
}

} // namespace thornhollow
