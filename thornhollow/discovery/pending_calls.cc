#include "thornhollow/discovery/pending_calls.h"

namespace thornhollow {

void
pending_calls::OnSent(const source_call& aCall, time_point aNow)
{
  mNewest = { aNow, aNow + aCall.mWait + aCall.mResponseTimeout };
}

void
pending_calls::Clear()
{
  mNewest.reset();
  mLastBytesAt.reset();
}

bool
pending_calls::IsReceiving(time_point aNow) const
{
  return mLastBytesAt && aNow - *mLastBytesAt < mSettings.mMaxPartGap;
}

bool
pending_calls::IsOverdue(time_point aNow) const
{
  return mNewest && aNow >= mNewest->mDueAt && !IsReceiving(aNow);
}

// With no call on its way there is nothing to doubt: the next one is due. Nor
// is there with one that was made a moment ago, which tells the same. A peer
// that knew first says nothing of a call that was made before it told.
bool
pending_calls::AllowsProbe(suspicion_reason aReason, time_point aNow) const
{
  const bool isRecent = NewestCallAge(aNow) < mSettings.mMinProbeAge &&
                        aReason != suspicion_reason::kPeerKnewFirst;
  return mNewest && !isRecent && !IsReceiving(aNow);
}

duration
pending_calls::NewestCallAge(time_point aNow) const
{
  return mNewest ? aNow - mNewest->mSentAt : duration::zero();
}

} // namespace thornhollow
