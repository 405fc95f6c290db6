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

// A probe is only useful while a call is pending, since only a pending call can
// be dead. A call made very recently already serves as a probe, unless a peer
// reported a change first: the report doesn't show whether a call made before
// the report is answered.
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
