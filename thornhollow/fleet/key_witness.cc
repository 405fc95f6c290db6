#include "thornhollow/fleet/key_witness.h"

#include <algorithm>
#include <utility>

namespace thornhollow {

key_witness::key_witness(const key_claim_settings& aSettings,
                         instance_name aSelf,
                         time_point aNow)
  : mSettings(aSettings)
  , mSelf(std::move(aSelf))
  , mHistoryCompleteSince(aNow)
  , mLastCall(aNow)
{
}

key_witness::~key_witness()
{
  mExpiryOrder.clear();
}

void
key_witness::OnView(const claim_view& aView, time_point aNow)
{
  DetectPause(aNow);
  claim_view trimmed = RestrictToOwnDomain(aView);
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
    // Views older than the oldest remembered view are no longer known.
    mHistoryCompleteSince =
      std::max(mHistoryCompleteSince, mViews.front().mSince);
  }
}

claim_answer
key_witness::OnRequest(const claim_request& aRequest, time_point aNow)
{
  DetectPause(aNow);
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
      RecordUsed(aRequest, aNow);
      break;
    case claim_kind::kRelease:
      RecordReleased(aRequest, aNow);
      break;
  }
  return answer;
}

void
key_witness::Tick(time_point aNow)
{
  DetectPause(aNow);
  Expire(aNow);
}

void
key_witness::DetectPause(time_point aNow)
{
  // During the pause this instance may have been removed from the list and
  // added again, while other witnesses granted keys without it. After a long
  // pause its view may also be older than the allowed lag.
  if (aNow - mLastCall > mSettings.mClockGap) {
    mHistoryCompleteSince = aNow;
    mViews.clear();
  }
  mLastCall = aNow;
}

void
key_witness::Expire(time_point aNow)
{
  while (!mExpiryOrder.empty() && mExpiryOrder.front().mExpires <= aNow) {
    const claim_key key = mExpiryOrder.front().mKey;
    mExpiryOrder.pop_front();
    mEntries.erase(key);
  }
}

claim_view
key_witness::RestrictToOwnDomain(const claim_view& aView) const
{
  // Whether this instance is a witness of a key depends only on the instances
  // of its own failure domain.
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
  const time_point requiredSince =
    aNow - mSettings.mLifetime - 2 * mSettings.mViewLag;
  if (mHistoryCompleteSince > requiredSince || mViews.empty() ||
      mViews.front().mSince > requiredSince) {
    return false;
  }
  for (auto view = mViews.rbegin(); view != mViews.rend(); ++view) {
    if (!IsWitnessIn(aKey, view->mView)) {
      return false;
    }
    if (view->mSince <= requiredSince) {
      break;
    }
  }
  return true;
}

bool
key_witness::IsWitnessIn(claim_key aKey, const claim_view& aView) const
{
  const auto witnesses = WitnessesOf(aKey, aView, mSettings.mWitnesses);
  return std::ranges::find(witnesses, mSelf) != witnesses.end();
}

claim_verdict
key_witness::Decide(const claim_request& aRequest, time_point aNow)
{
  const auto found = mEntries.find(aRequest.mKey);
  if (found == mEntries.end()) {
    return DecideUnclaimed(aRequest, aNow);
  }
  entry& known = found->second;
  const bool sameHolder = known.mHolder == aRequest.mHolder;
  if (known.mState == entry_state::kReleased) {
    const bool isDelayed = sameHolder && aRequest.mClaim <= known.mClaim;
    return isDelayed ? claim_verdict::kHeld : DecideUnclaimed(aRequest, aNow);
  }
  if (known.mFingerprint != aRequest.mFingerprint) {
    return claim_verdict::kFingerprintMismatch;
  }
  if (known.mState == entry_state::kUsed) {
    return claim_verdict::kUsed;
  }
  // The holder's process may have ended an earlier submission and the
  // notification was lost, so a different submission of the same process is not
  // granted the key.
  if (!sameHolder || aRequest.mClaim != known.mClaim) {
    return claim_verdict::kHeld;
  }
  ExtendExpiry(known, aNow);
  return claim_verdict::kGranted;
}

claim_verdict
key_witness::DecideUnclaimed(const claim_request& aRequest, time_point aNow)
{
  // A holder with a different view may have left out a witness that has
  // recorded another submission with this key.
  if (mViews.empty() ||
      WitnessesOf(aRequest.mKey, mViews.back().mView, mSettings.mWitnesses) !=
        aRequest.mWitnesses) {
    return claim_verdict::kViewMismatch;
  }
  return StoreEntry(aRequest, aNow) != nullptr
           ? claim_verdict::kGranted
           : claim_verdict::kCapacityExceeded;
}

void
key_witness::RecordUsed(const claim_request& aRequest, time_point aNow)
{
  // The end of the submission is recorded even if this witness does not know
  // the key, because the witness is new, or if another submission holds the
  // key: the request may have run, so the key must not be granted to any
  // submission.
  entry* const used = StoreEntry(aRequest, aNow);
  if (used != nullptr) {
    used->mState = entry_state::kUsed;
  }
}

void
key_witness::RecordReleased(const claim_request& aRequest, time_point aNow)
{
  const auto found = mEntries.find(aRequest.mKey);
  if (found == mEntries.end()) {
    // The claim of the released submission has not arrived yet; the entry makes
    // sure that the claim is denied when it arrives.
    if (entry* const released = StoreEntry(aRequest, aNow)) {
      released->mState = entry_state::kReleased;
    }
    return;
  }
  entry& held = found->second;
  if (held.mState == entry_state::kHeld && held.mHolder == aRequest.mHolder &&
      held.mClaim == aRequest.mClaim) {
    held.mState = entry_state::kReleased;
    ExtendExpiry(held, aNow);
  }
}

key_witness::entry*
key_witness::StoreEntry(const claim_request& aRequest, time_point aNow)
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
  held.mState = entry_state::kHeld;
  ExtendExpiry(held, aNow);
  return &held;
}

void
key_witness::ExtendExpiry(entry& aEntry, time_point aNow)
{
  if (aEntry.is_linked()) {
    mExpiryOrder.erase(mExpiryOrder.iterator_to(aEntry));
  }
  aEntry.mExpires = aNow + mSettings.mLifetime;
  mExpiryOrder.push_back(aEntry);
}

} // namespace thornhollow
