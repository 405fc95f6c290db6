#include "thornhollow/fleet/key_holder.h"

#include <algorithm>
#include <array>
#include <utility>

namespace thornhollow {
namespace {

// The end of a submission is told again after these: past a lost message, a
// short pause of the witness and a longer one.
constexpr std::array<duration, 3> kRepeatAfter = { Seconds(1),
                                                   Seconds(5),
                                                   Seconds(25) };
// Ends that wait for their repetition; at letter 1's 7.4 requests a second and
// 31 seconds there are 230.
constexpr std::size_t kMaxRepetitions = 4096;

error_kind
KindOf(claim_verdict aVerdict)
{
  switch (aVerdict) {
    case claim_verdict::kHeld:
      return error_kind::kKeyHeldElsewhere;
    case claim_verdict::kUsed:
      return error_kind::kKeyAlreadyUsed;
    case claim_verdict::kOtherRequest:
      return error_kind::kKeyOfOtherRequest;
    case claim_verdict::kGranted:
    case claim_verdict::kViewDiffers:
    case claim_verdict::kNoRoom:
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
  Observe(aNow);
  if (aView.mList.mVersion >= mLastListVersion) {
    mLastListVersion = aView.mList.mVersion;
    mView = aView;
  }
}

key_actions
key_holder::Submit(submission aSubmission,
                   claim_key aKey,
                   std::uint64_t aFingerprint,
                   time_point aNow)
{
  key_actions out;
  Observe(aNow);
  if (const auto found = mClaims.find(aKey); found != mClaims.end()) {
    const bool same = found->second.mRequest.mFingerprint == aFingerprint;
    out.emplace_back(refuse_key{ aSubmission,
                                 same ? error_kind::kKeyHeldElsewhere
                                      : error_kind::kKeyOfOtherRequest });
    return out;
  }
  claim& added = mClaims[aKey];
  mKeys[aSubmission] = aKey;
  added.mSubmission = aSubmission;
  added.mSubmitted = aNow;
  added.mRequest.mKey = aKey;
  added.mRequest.mFingerprint = aFingerprint;
  added.mRequest.mHolder = mSelf;
  added.mRequest.mClaim = ++mLastClaim;
  StartRound(added, aNow, out);
  return out;
}

key_actions
key_holder::BeforeSend(submission aSubmission, time_point aNow)
{
  key_actions out;
  Observe(aNow);
  claim* const found = FindBySubmission(aSubmission);
  if (found == nullptr) {
    // Refused before; sending it now would break that promise.
    out.emplace_back(
      refuse_key{ aSubmission, error_kind::kKeyWitnessUnreachable });
    return out;
  }
  if (aNow - found->mSubmitted >= mSettings.mLifetime) {
    Refuse(*found, error_kind::kKeyWitnessUnreachable, aNow, out);
  } else if (found->mHeld &&
             aNow - found->mRoundStarted < mSettings.mLifetime / 2) {
    out.emplace_back(run_key{ aSubmission });
  } else if (found->mAwaited.empty()) {
    StartRound(*found, aNow, out);
  }
  return out;
}

key_actions
key_holder::OnAnswer(const claim_answer& aAnswer, time_point aNow)
{
  key_actions out;
  Observe(aNow);
  const auto found = mClaims.find(aAnswer.mKey);
  // Answers to an earlier round, and of witnesses that were not asked in this
  // one, say nothing about the present.
  if (found == mClaims.end() ||
      found->second.mRequest.mClaim != aAnswer.mClaim ||
      found->second.mRequest.mRound != aAnswer.mRound ||
      !Contains(found->second.mAwaited, aAnswer.mWitness)) {
    return out;
  }
  claim& asked = found->second;
  if (aNow - asked.mLastAsked >= mSettings.mAskTimeout) {
    // Read after a pause: the witness may have forgotten the grant by now.
    Refuse(asked, error_kind::kKeyWitnessUnreachable, aNow, out);
  } else if (aAnswer.mVerdict == claim_verdict::kGranted) {
    TakeGrant(asked, aAnswer, aNow, out);
  } else {
    Refuse(asked, KindOf(aAnswer.mVerdict), aNow, out);
  }
  return out;
}

key_actions
key_holder::OnUnreachable(const instance_name& aWitness,
                          const claim_request& aAsked,
                          time_point aNow)
{
  key_actions out;
  Observe(aNow);
  const auto found = mClaims.find(aAsked.mKey);
  if (found != mClaims.end() &&
      found->second.mRequest.mClaim == aAsked.mClaim &&
      found->second.mRequest.mRound == aAsked.mRound &&
      Contains(found->second.mAwaited, aWitness)) {
    Refuse(found->second, error_kind::kKeyWitnessUnreachable, aNow, out);
  }
  return out;
}

void
key_holder::OnTold(const instance_name& aWitness, const claim_request& aTold)
{
  const auto told = std::ranges::find_if(mRepetitions, [&](const auto& aEach) {
    return aEach.mRequest.mClaim == aTold.mClaim &&
           aEach.mRequest.mKind == aTold.mKind;
  });
  if (told != mRepetitions.end()) {
    std::erase(told->mTo, aWitness);
  }
}

key_actions
key_holder::OnEnded(submission aSubmission, ran aRan, time_point aNow)
{
  key_actions out;
  Observe(aNow);
  if (const claim* const found = FindBySubmission(aSubmission)) {
    End(*found,
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
  Observe(aNow);
  std::vector<claim_key> late;
  for (auto& [key, each] : mClaims) {
    if (!each.mAwaited.empty() &&
        aNow - each.mLastAsked >= mSettings.mAskTimeout) {
      late.push_back(key);
    } else if (each.mNextRenewal && aNow >= *each.mNextRenewal) {
      Renew(each, aNow, out);
    }
  }
  for (const claim_key key : late) {
    Refuse(mClaims.at(key), error_kind::kKeyWitnessUnreachable, aNow, out);
  }
  Repeat(aNow, out);
  return out;
}

void
key_holder::Observe(time_point aNow)
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
key_holder::FindBySubmission(submission aSubmission)
{
  const auto key = mKeys.find(aSubmission);
  return key == mKeys.end() ? nullptr : &mClaims.at(key->second);
}

void
key_holder::StartRound(claim& aClaim, time_point aNow, key_actions& aOut)
{
  aClaim.mRequest.mKind = claim_kind::kClaim;
  ++aClaim.mRequest.mRound;
  aClaim.mRequest.mWitnesses =
    WitnessesOf(aClaim.mRequest.mKey, mView, mSettings.mWitnesses);
  aClaim.mAwaited.clear();
  aClaim.mGranted.clear();
  aClaim.mVouched = false;
  aClaim.mHeld = false;
  aClaim.mRoundStarted = aNow;
  if (aClaim.mRequest.mWitnesses.size() < mSettings.mMinWitnesses) {
    Refuse(aClaim, error_kind::kKeyWitnessUnreachable, aNow, aOut);
    return;
  }
  Ask(aClaim, aClaim.mRequest.mWitnesses.front(), aNow, aOut);
}

void
key_holder::Ask(claim& aClaim,
                const instance_name& aWitness,
                time_point aNow,
                key_actions& aOut)
{
  aClaim.mLastAsked = aNow;
  aClaim.mAwaited.push_back(aWitness);
  if (!Contains(aClaim.mAsked, aWitness)) {
    aClaim.mAsked.push_back(aWitness);
  }
  aOut.emplace_back(ask_witness{ aWitness, aClaim.mRequest });
}

void
key_holder::TakeGrant(claim& aClaim,
                      const claim_answer& aAnswer,
                      time_point aNow,
                      key_actions& aOut)
{
  std::erase(aClaim.mAwaited, aAnswer.mWitness);
  aClaim.mGranted.push_back(aAnswer.mWitness);
  aClaim.mVouched = aClaim.mVouched || aAnswer.mVouches;
  const auto& witnesses = aClaim.mRequest.mWitnesses;
  if (aClaim.mGranted.size() == 1) {
    for (std::size_t rank = 1; rank < witnesses.size(); ++rank) {
      Ask(aClaim, witnesses[rank], aNow, aOut);
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
  aClaim.mNextRenewal = aClaim.mRoundStarted + mSettings.mLifetime / 4;
  aOut.emplace_back(run_key{ aClaim.mSubmission });
}

void
key_holder::Refuse(const claim& aClaim,
                   error_kind aKind,
                   time_point aNow,
                   key_actions& aOut)
{
  aOut.emplace_back(refuse_key{ aClaim.mSubmission, aKind });
  End(aClaim, claim_kind::kRelease, aNow, aOut);
}

void
key_holder::End(const claim& aClaim,
                claim_kind aKind,
                time_point aNow,
                key_actions& aOut)
{
  repetition told{ aClaim.mRequest, aClaim.mAsked, 0, aNow + kRepeatAfter[0] };
  told.mRequest.mKind = aKind;
  for (const instance_name& each : told.mTo) {
    aOut.emplace_back(tell_witness{ each, told.mRequest });
  }
  mKeys.erase(aClaim.mSubmission);
  mClaims.erase(told.mRequest.mKey);
  if (!told.mTo.empty() && mRepetitions.size() < kMaxRepetitions) {
    mRepetitions.push_back(std::move(told));
  }
}

void
key_holder::Renew(claim& aClaim, time_point aNow, key_actions& aOut)
{
  aClaim.mNextRenewal = aNow + mSettings.mLifetime / 4;
  // Instances that have become witnesses since learn of the key as well, so
  // that replacements over a long run don't add up.
  aClaim.mRequest.mWitnesses =
    WitnessesOf(aClaim.mRequest.mKey, mView, mSettings.mWitnesses);
  for (const instance_name& each : aClaim.mRequest.mWitnesses) {
    if (!Contains(aClaim.mAsked, each)) {
      aClaim.mAsked.push_back(each);
    }
  }
  for (const instance_name& each : aClaim.mAsked) {
    aOut.emplace_back(tell_witness{ each, aClaim.mRequest });
  }
}

void
key_holder::Repeat(time_point aNow, key_actions& aOut)
{
  for (repetition& each : mRepetitions) {
    if (each.mDue > aNow) {
      continue;
    }
    for (const instance_name& to : each.mTo) {
      aOut.emplace_back(tell_witness{ to, each.mRequest });
    }
    if (++each.mRound < kRepeatAfter.size()) {
      each.mDue = aNow + kRepeatAfter[each.mRound];
    }
  }
  std::erase_if(mRepetitions, [](const repetition& aEach) {
    return aEach.mTo.empty() || aEach.mRound >= kRepeatAfter.size();
  });
}

} // namespace thornhollow
