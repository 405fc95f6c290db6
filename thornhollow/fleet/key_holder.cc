#include "thornhollow/fleet/key_holder.h"

#include <algorithm>
#include <array>
#include <utility>

namespace thornhollow {
namespace {

// Delays after which a notification of the end of a submission is sent again.
// The three delays cover, in this order, a lost message, a short pause of the
// witness and a longer pause.
constexpr std::array<duration, 3> kNotificationRetryDelays = { Seconds(1),
                                                               Seconds(5),
                                                               Seconds(25) };
// Maximum number of notifications that await a retry. At 7.4 requests per
// second, the peak of the largest deployment, about 230 notifications are
// waiting during the 31 s that the retries take.
constexpr std::size_t kMaxPendingNotifications = 4096;

error_kind
ErrorKindOf(claim_verdict aVerdict)
{
  switch (aVerdict) {
    case claim_verdict::kHeld:
      return error_kind::kKeyHeldElsewhere;
    case claim_verdict::kUsed:
      return error_kind::kKeyAlreadyUsed;
    case claim_verdict::kFingerprintMismatch:
      return error_kind::kKeyOfOtherRequest;
    case claim_verdict::kGranted:
    case claim_verdict::kViewMismatch:
    case claim_verdict::kCapacityExceeded:
      break;
  }
  return error_kind::kKeyWitnessUnreachable;
}

bool
Contains(const std::vector<instance_name>& aNames, const instance_name& aName)
{
  return std::ranges::find(aNames, aName) != aNames.end();
}

} // namespace

key_holder::key_holder(const key_claim_settings& aSettings, claim_holder aSelf)
  : mSettings(aSettings)
  , mSelf(std::move(aSelf))
{
}

void
key_holder::OnView(const claim_view& aView, time_point aNow)
{
  DetectPause(aNow);
  if (aView.mList.mVersion >= mLastListVersion) {
    mLastListVersion = aView.mList.mVersion;
    mView = aView;
  }
}

key_actions
key_holder::Submit(submission_id aSubmission,
                   claim_key aKey,
                   std::uint64_t aFingerprint,
                   time_point aNow)
{
  key_actions out;
  DetectPause(aNow);
  if (const auto found = mClaims.find(aKey); found != mClaims.end()) {
    const bool sameRequest =
      found->second.mRequest.mFingerprint == aFingerprint;
    out.emplace_back(refuse_submission{ aSubmission,
                                        sameRequest
                                          ? error_kind::kKeyHeldElsewhere
                                          : error_kind::kKeyOfOtherRequest });
    return out;
  }
  claim& added = mClaims[aKey];
  mKeyBySubmission[aSubmission] = aKey;
  added.mSubmission = aSubmission;
  added.mSubmittedAt = aNow;
  added.mRequest.mKey = aKey;
  added.mRequest.mFingerprint = aFingerprint;
  added.mRequest.mHolder = mSelf;
  added.mRequest.mClaim = ++mLastClaim;
  StartRound(added, aNow, out);
  return out;
}

key_actions
key_holder::BeforeSend(submission_id aSubmission, time_point aNow)
{
  key_actions out;
  DetectPause(aNow);
  claim* const found = FindBySubmission(aSubmission);
  if (found == nullptr) {
    // The submission was already refused as "not run"; sending it now would
    // make that answer wrong.
    out.emplace_back(
      refuse_submission{ aSubmission, error_kind::kKeyWitnessUnreachable });
    return out;
  }
  if (aNow - found->mSubmittedAt >= mSettings.mLifetime) {
    Refuse(*found, error_kind::kKeyWitnessUnreachable, aNow, out);
  } else if (found->mHeld &&
             aNow - found->mRoundStartedAt < mSettings.mLifetime / 2) {
    out.emplace_back(run_submission{ aSubmission });
  } else if (found->mPending.empty()) {
    StartRound(*found, aNow, out);
  }
  return out;
}

key_actions
key_holder::OnAnswer(const claim_answer& aAnswer, time_point aNow)
{
  key_actions out;
  DetectPause(aNow);
  const auto found = mClaims.find(aAnswer.mKey);
  // Answers to an earlier round, or from witnesses that were not asked in this
  // round, say nothing about the current claim.
  if (found == mClaims.end() ||
      found->second.mRequest.mClaim != aAnswer.mClaim ||
      found->second.mRequest.mRound != aAnswer.mRound ||
      !Contains(found->second.mPending, aAnswer.mWitness)) {
    return out;
  }
  claim& pendingClaim = found->second;
  if (aNow - pendingClaim.mLastRequestAt >= mSettings.mRequestTimeout) {
    // The answer was read after a pause of this process: the witness may have
    // expired the grant by now.
    Refuse(pendingClaim, error_kind::kKeyWitnessUnreachable, aNow, out);
  } else if (aAnswer.mVerdict == claim_verdict::kGranted) {
    OnGranted(pendingClaim, aAnswer, aNow, out);
  } else {
    Refuse(pendingClaim, ErrorKindOf(aAnswer.mVerdict), aNow, out);
  }
  return out;
}

key_actions
key_holder::OnUnreachable(const instance_name& aWitness,
                          const claim_request& aRequest,
                          time_point aNow)
{
  key_actions out;
  DetectPause(aNow);
  const auto found = mClaims.find(aRequest.mKey);
  if (found != mClaims.end() &&
      found->second.mRequest.mClaim == aRequest.mClaim &&
      found->second.mRequest.mRound == aRequest.mRound &&
      Contains(found->second.mPending, aWitness)) {
    Refuse(found->second, error_kind::kKeyWitnessUnreachable, aNow, out);
  }
  return out;
}

void
key_holder::OnNotified(const instance_name& aWitness,
                       const claim_request& aRequest)
{
  const auto notification =
    std::ranges::find_if(mPendingNotifications, [&](const auto& aEach) {
      return aEach.mRequest.mClaim == aRequest.mClaim &&
             aEach.mRequest.mKind == aRequest.mKind;
    });
  if (notification != mPendingNotifications.end()) {
    std::erase(notification->mUnacknowledged, aWitness);
  }
}

key_actions
key_holder::OnEnded(submission_id aSubmission, ran aRan, time_point aNow)
{
  key_actions out;
  DetectPause(aNow);
  if (const claim* const found = FindBySubmission(aSubmission)) {
    FinishClaim(*found,
                aRan == ran::kNo ? claim_kind::kRelease : claim_kind::kUsed,
                aNow,
                out);
  }
  return out;
}

key_actions
key_holder::Tick(time_point aNow)
{
  key_actions out;
  DetectPause(aNow);
  std::vector<claim_key> timedOut;
  for (auto& [key, each] : mClaims) {
    if (!each.mPending.empty() &&
        aNow - each.mLastRequestAt >= mSettings.mRequestTimeout) {
      timedOut.push_back(key);
    } else if (each.mNextRenewal && aNow >= *each.mNextRenewal) {
      Renew(each, aNow, out);
    }
  }
  for (const claim_key key : timedOut) {
    Refuse(mClaims.at(key), error_kind::kKeyWitnessUnreachable, aNow, out);
  }
  RetryNotifications(aNow, out);
  return out;
}

void
key_holder::DetectPause(time_point aNow)
{
  if (mLastCall && aNow - *mLastCall > mSettings.mClockGap) {
    for (auto& [key, each] : mClaims) {
      each.mHeld = false;
    }
    mView = {};
  }
  mLastCall = aNow;
}

key_holder::claim*
key_holder::FindBySubmission(submission_id aSubmission)
{
  const auto key = mKeyBySubmission.find(aSubmission);
  return key == mKeyBySubmission.end() ? nullptr : &mClaims.at(key->second);
}

void
key_holder::StartRound(claim& aClaim, time_point aNow, key_actions& aOut)
{
  aClaim.mRequest.mKind = claim_kind::kClaim;
  ++aClaim.mRequest.mRound;
  aClaim.mRequest.mWitnesses =
    WitnessesOf(aClaim.mRequest.mKey, mView, mSettings.mWitnesses);
  aClaim.mPending.clear();
  aClaim.mGranted.clear();
  aClaim.mVouched = false;
  aClaim.mHeld = false;
  aClaim.mRoundStartedAt = aNow;
  if (aClaim.mRequest.mWitnesses.size() < mSettings.mMinWitnesses) {
    Refuse(aClaim, error_kind::kKeyWitnessUnreachable, aNow, aOut);
    return;
  }
  RequestGrant(aClaim, aClaim.mRequest.mWitnesses.front(), aNow, aOut);
}

void
key_holder::RequestGrant(claim& aClaim,
                         const instance_name& aWitness,
                         time_point aNow,
                         key_actions& aOut)
{
  aClaim.mLastRequestAt = aNow;
  aClaim.mPending.push_back(aWitness);
  if (!Contains(aClaim.mContacted, aWitness)) {
    aClaim.mContacted.push_back(aWitness);
  }
  aOut.emplace_back(request_grant{ aWitness, aClaim.mRequest });
}

void
key_holder::OnGranted(claim& aClaim,
                      const claim_answer& aAnswer,
                      time_point aNow,
                      key_actions& aOut)
{
  std::erase(aClaim.mPending, aAnswer.mWitness);
  aClaim.mGranted.push_back(aAnswer.mWitness);
  aClaim.mVouched = aClaim.mVouched || aAnswer.mVouches;
  const auto& witnesses = aClaim.mRequest.mWitnesses;
  if (aClaim.mGranted.size() == 1) {
    for (std::size_t rank = 1; rank < witnesses.size(); ++rank) {
      RequestGrant(aClaim, witnesses[rank], aNow, aOut);
    }
  }
  if (aClaim.mGranted.size() < witnesses.size()) {
    return;
  }
  if (!aClaim.mVouched) {
    Refuse(aClaim, error_kind::kKeyWitnessUnreachable, aNow, aOut);
    return;
  }
  aClaim.mHeld = true;
  aClaim.mNextRenewal = aClaim.mRoundStartedAt + mSettings.mLifetime / 4;
  aOut.emplace_back(run_submission{ aClaim.mSubmission });
}

void
key_holder::Refuse(const claim& aClaim,
                   error_kind aKind,
                   time_point aNow,
                   key_actions& aOut)
{
  aOut.emplace_back(refuse_submission{ aClaim.mSubmission, aKind });
  FinishClaim(aClaim, claim_kind::kRelease, aNow, aOut);
}

void
key_holder::FinishClaim(const claim& aClaim,
                        claim_kind aKind,
                        time_point aNow,
                        key_actions& aOut)
{
  pending_notification notification{
    aClaim.mRequest, aClaim.mContacted, 0, aNow + kNotificationRetryDelays[0]
  };
  notification.mRequest.mKind = aKind;
  for (const instance_name& each : notification.mUnacknowledged) {
    aOut.emplace_back(notify_witness{ each, notification.mRequest });
  }
  mKeyBySubmission.erase(aClaim.mSubmission);
  mClaims.erase(notification.mRequest.mKey);
  if (!notification.mUnacknowledged.empty() &&
      mPendingNotifications.size() < kMaxPendingNotifications) {
    mPendingNotifications.push_back(std::move(notification));
  }
}

void
key_holder::Renew(claim& aClaim, time_point aNow, key_actions& aOut)
{
  aClaim.mNextRenewal = aNow + mSettings.mLifetime / 4;
  // Also claims the key from instances that have become witnesses since the
  // last renewal. Without these claims, all witnesses that know the key could
  // be replaced one after the other during a long run.
  aClaim.mRequest.mWitnesses =
    WitnessesOf(aClaim.mRequest.mKey, mView, mSettings.mWitnesses);
  for (const instance_name& each : aClaim.mRequest.mWitnesses) {
    if (!Contains(aClaim.mContacted, each)) {
      aClaim.mContacted.push_back(each);
    }
  }
  for (const instance_name& each : aClaim.mContacted) {
    aOut.emplace_back(notify_witness{ each, aClaim.mRequest });
  }
}

void
key_holder::RetryNotifications(time_point aNow, key_actions& aOut)
{
  for (pending_notification& each : mPendingNotifications) {
    if (each.mRetryAt > aNow) {
      continue;
    }
    for (const instance_name& to : each.mUnacknowledged) {
      aOut.emplace_back(notify_witness{ to, each.mRequest });
    }
    if (++each.mRetries < kNotificationRetryDelays.size()) {
      each.mRetryAt = aNow + kNotificationRetryDelays[each.mRetries];
    }
  }
  std::erase_if(mPendingNotifications, [](const pending_notification& aEach) {
    return aEach.mUnacknowledged.empty() ||
           aEach.mRetries >= kNotificationRetryDelays.size();
  });
}

} // namespace thornhollow
