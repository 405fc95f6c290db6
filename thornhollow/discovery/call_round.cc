#include "thornhollow/discovery/call_round.h"

namespace thornhollow {

void
call_round::OnSent(const source_call& aCall, time_point aNow)
{
  mNewest = { aNow, aNow + aCall.mWait + aCall.mPatience };
}

void
call_round::End()
{
  mNewest.reset();
  mLastBytes.reset();
}

bool
call_round::Coming(time_point aNow) const
{
  return mLastBytes && aNow - *mLastBytes < mSettings.mMostPause;
}

bool
call_round::Overdue(time_point aNow) const
{
  return mNewest && aNow >= mNewest->mOverdueAt && !Coming(aNow);
}

// With no call on its way there is nothing to doubt: the next one is due. Nor
// is there with one that was made a moment ago, which tells the same. A peer
// that knew first says nothing of a call that was made before it told.
bool
call_round::MayBeDoubted(watch_doubt aWhy, time_point aNow) const
{
  const bool justMade = OpenFor(aNow) < mSettings.mDoubtedAfter &&
                        aWhy != watch_doubt::kPeerKnewFirst;
  return mNewest && !justMade && !Coming(aNow);
}

duration
call_round::OpenFor(time_point aNow) const
{
  return mNewest ? aNow - mNewest->mSentAt : duration::zero();
}

} // namespace thornhollow
