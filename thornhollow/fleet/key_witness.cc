#include "thornhollow/fleet/key_witness.h"

#include <algorithm>
#include <utility>

namespace thornhollow {

key_witness::key_witness(const key_claim_settings& aSettings,
                         instance_name aSelf,
                         time_point aNow)
  : mSettings(aSettings)
  , mSelf(std::move(aSelf))
  , mRemembersSince(aNow)
  , mLastCall(aNow)
{
}

key_witness::~key_witness()
{
  mByExpiry.clear();
}

void
key_witness::OnView(const claim_view& aView, time_point aNow)
{
  Observe(aNow);
  claim_view trimmed = Trimmed(aView);
  if (!mViews.empty()) {
    const claim_view& last = mViews.back().mView;
    if (trimmed.mList.mVersion < last.mList.mVersion) {
      return;
    }
    if (trimmed.mDomains == last.mDomains &&
        trimmed.mList.mInstances == last.mList.mInstances) {
      mViews.back().mView.mList.mVersion = trimmed.mList.mVersion;
      return;
    }
  }
  mViews.push_back({ std::move(trimmed), aNow });
  if (mViews.size() > mSettings.mMaxViews) {
    mViews.pop_front();
    // What was in force before is no longer known.
    mRemembersSince = std::max(mRemembersSince, mViews.front().mSince);
  }
}

claim_answer
key_witness::OnRequest(const claim_request& aRequest, time_point aNow)
{
  Observe(aNow);
  Expire(aNow);
  claim_answer answer{ aRequest.mKey, aRequest.mClaim,      aRequest.mRound,
                       mSelf,         claim_verdict::kHeld, false };
  switch (aRequest.mKind) {
    case claim_kind::kClaim:
      answer.mVerdict = Decide(aRequest, aNow);
      answer.mVouches = answer.mVerdict == claim_verdict::kGranted &&
                        Vouches(aRequest.mKey, aNow);
      break;
    case claim_kind::kUsed:
      NoteUsed(aRequest, aNow);
      break;
    case claim_kind::kRelease:
      NoteReleased(aRequest, aNow);
      break;
  }
  return answer;
}

void
key_witness::Tick(time_point aNow)
{
  Observe(aNow);
  Expire(aNow);
}

void
key_witness::Observe(time_point aNow)
{
  // While paused, this instance may have been taken off the list and put back:
  // keys were then granted without it. Its view is older than the bound.
  if (aNow - mLastCall > mSettings.mClockGap) {
    mRemembersSince = aNow;
    mViews.clear();
  }
  mLastCall = aNow;
}

void
key_witness::Expire(time_point aNow)
{
  while (!mByExpiry.empty() && mByExpiry.front().mExpires <= aNow) {
    const claim_key key = mByExpiry.front().mKey;
    mByExpiry.pop_front();
    mEntries.erase(key);
  }
}

claim_view
key_witness::Trimmed(const claim_view& aView) const
{
  // Only the own domain decides whether this instance is a witness.
  const auto self =
    std::ranges::find(aView.mList.mInstances, mSelf, &listed_instance::mName);
  claim_view out{ aView.mDomains, { aView.mList.mVersion, {} } };
  if (self == aView.mList.mInstances.end()) {
    return out;
  }
  for (const listed_instance& each : aView.mList.mInstances) {
    if (each.mDomain == self->mDomain) {
      out.mList.mInstances.push_back(each);
    }
  }
  return out;
}

bool
key_witness::Vouches(claim_key aKey, time_point aNow) const
{
  const time_point from = aNow - mSettings.mLifetime - 2 * mSettings.mViewLag;
  if (mRemembersSince > from || mViews.empty() ||
      mViews.front().mSince > from) {
    return false;
  }
  for (auto view = mViews.rbegin(); view != mViews.rend(); ++view) {
    if (!IsWitness(aKey, view->mView)) {
      return false;
    }
    if (view->mSince <= from) {
      break;
    }
  }
  return true;
}

bool
key_witness::IsWitness(claim_key aKey, const claim_view& aView) const
{
  const auto witnesses = WitnessesOf(aKey, aView, mSettings.mWitnesses);
  return std::ranges::find(witnesses, mSelf) != witnesses.end();
}

claim_verdict
key_witness::Decide(const claim_request& aRequest, time_point aNow)
{
  const auto found = mEntries.find(aRequest.mKey);
  if (found == mEntries.end()) {
    return DecideFree(aRequest, aNow);
  }
  entry& known = found->second;
  const bool sameHolder = known.mHolder == aRequest.mHolder;
  if (known.mState == state::kReleased) {
    const bool late = sameHolder && aRequest.mClaim <= known.mClaim;
    return late ? claim_verdict::kHeld : DecideFree(aRequest, aNow);
  }
  if (known.mFingerprint != aRequest.mFingerprint) {
    return claim_verdict::kOtherRequest;
  }
  if (known.mState == state::kUsed) {
    return claim_verdict::kUsed;
  }
  // The holder's process may have ended an earlier submission and the message
  // about it was lost: another submission of the same process is not granted.
  if (!sameHolder || aRequest.mClaim != known.mClaim) {
    return claim_verdict::kHeld;
  }
  Touch(known, aNow);
  return claim_verdict::kGranted;
}

claim_verdict
key_witness::DecideFree(const claim_request& aRequest, time_point aNow)
{
  // With another view the holder may have left out a witness that knows of
  // another submission.
  if (mViews.empty() ||
      WitnessesOf(aRequest.mKey, mViews.back().mView, mSettings.mWitnesses) !=
        aRequest.mWitnesses) {
    return claim_verdict::kViewDiffers;
  }
  return Hold(aRequest, aNow) != nullptr ? claim_verdict::kGranted
                                         : claim_verdict::kNoRoom;
}

void
key_witness::NoteUsed(const claim_request& aRequest, time_point aNow)
{
  // Also where the key isn't known here (this witness is new), and where
  // another submission holds it: it may have run, so nobody is granted it.
  entry* const used = Hold(aRequest, aNow);
  if (used != nullptr) {
    used->mState = state::kUsed;
  }
}

void
key_witness::NoteReleased(const claim_request& aRequest, time_point aNow)
{
  const auto found = mEntries.find(aRequest.mKey);
  if (found == mEntries.end()) {
    // The claim itself is still on its way; it is known when it comes.
    if (entry* const released = Hold(aRequest, aNow)) {
      released->mState = state::kReleased;
    }
    return;
  }
  entry& held = found->second;
  if (held.mState == state::kHeld && held.mHolder == aRequest.mHolder &&
      held.mClaim == aRequest.mClaim) {
    held.mState = state::kReleased;
    Touch(held, aNow);
  }
}

key_witness::entry*
key_witness::Hold(const claim_request& aRequest, time_point aNow)
{
  const auto found = mEntries.find(aRequest.mKey);
  if (found == mEntries.end() && mEntries.size() >= mSettings.mMaxKeys) {
    return nullptr;
  }
  entry& held = mEntries[aRequest.mKey];
  held.mKey = aRequest.mKey;
  held.mFingerprint = aRequest.mFingerprint;
  held.mHolder = aRequest.mHolder;
  held.mClaim = aRequest.mClaim;
  held.mState = state::kHeld;
  Touch(held, aNow);
  return &held;
}

void
key_witness::Touch(entry& aEntry, time_point aNow)
{
  if (aEntry.is_linked()) {
    mByExpiry.erase(mByExpiry.iterator_to(aEntry));
  }
  aEntry.mExpires = aNow + mSettings.mLifetime;
  mByExpiry.push_back(aEntry);
}

} // namespace thornhollow
