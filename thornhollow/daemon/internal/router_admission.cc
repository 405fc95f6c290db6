#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "thornhollow/base/hash.h"
#include "thornhollow/daemon/caller_reply.h"
#include "thornhollow/daemon/internal/router_core.h"
#include "thornhollow/net/clock.h"
#include "thornhollow/request/forwarding_headers.h"

namespace thornhollow {
namespace {

// Retry delay told to callers for failures without a computed delay. The delay
// is randomized by up to half of it in either direction so that callers do not
// retry simultaneously.
constexpr duration kRetryDelay = Seconds(1);

// The timeout for the first token is this multiple of the first-token target:
// an engine that is this late has stopped responding and is not merely slow.
constexpr int kFirstByteTargetMultiple = 8;
constexpr duration kMinFirstByteTimeout = Seconds(2);

} // namespace

void
router::core::Forward(caller_exchange_ptr aExchange, intake aIntake)
{
  request_to_forward request{
    std::move(aExchange), aIntake.mPool, aIntake.mClass, {}, aIntake.mIdempotent
  };
  request.mDeadline = request.mExchange->Arrival() + aIntake.mDeadline;
  mForwarder.Forward(
    std::move(request),
    [this, read = std::move(aIntake)](caller_exchange_ptr aUnserved) {
      Admit(std::move(aUnserved), read);
    });
}

void
router::core::ForwardWaiting()
{
  const time_point now = Now();
  for (const pool_name& pool : mForwarder.PoolsOutOfContact()) {
    std::vector<live_request_ptr> waiting;
    for (const auto& [number, live] : mLive) {
      if (live->mIntake.mPool == pool && MayBeForwarded(*live)) {
        waiting.push_back(live);
      }
    }
    for (const live_request_ptr& each : waiting) {
      if (mForwarder.ShouldForward(pool, now)) {
        Release(*each);
        Forward(each->mExchange, each->mIntake);
      }
    }
  }
}

bool
router::core::MayBeForwarded(const live_request& aLive)
{
  return aLive.mAttempt == nullptr && aLive.mKeyStage == key_stage::kNone &&
         aLive.mMachine.DeliveredTokens() == 0 && !aLive.mHeldSince &&
         (aLive.mMachine.Ran() == ran::kNo || aLive.mIntake.mIdempotent) &&
         !request_forwarder::IsForwarded(aLive.mExchange->Request());
}

void
router::core::Release(live_request& aLive)
{
  const ticket number = aLive.mTicket;
  aLive.mTimer.cancel();
  aLive.mExchange->OnLeft(nullptr);
  mCrashes.OnSendEnded(aLive.mFeatures, number, Now());
  mLive.erase(number);
  Apply(mScheduler.Forget(number, Now()));
}

endpoint_reach::target_list
router::core::ProbeTargets(const pool_name& aPool) const
{
  endpoint_reach::target_list targets;
  for (const endpoint& each : mCatalog->Declared().mEndpoints) {
    if (std::ranges::count(each.mPools, aPool) > 0 &&
        mReservations.IsLive(each.mName)) {
      const endpoint_process process{ each.mAddress, 0 };
      targets.push_back(probe_target{ process, each.mDomain });
    }
  }
  return targets;
}

bool
router::core::IsEnginePool(const pool_name& aPool) const
{
  return std::ranges::any_of(
    mCatalog->Declared().mModels,
    [&](const model& aModel) { return PoolOf(aModel.mName) == aPool; });
}

void
router::core::Admit(caller_exchange_ptr aExchange, intake aIntake)
{
  const time_point arrival = aExchange->Arrival();
  request_facts facts;
  facts.mId = NewId();
  facts.mIdempotent = aIntake.mIdempotent;
  facts.mStream = aIntake.mStream;
  facts.mDeadline = arrival + aIntake.mDeadline;
  facts.mLimits = LimitsFor(aIntake);
  const ticket number = ++mLastTicket;
  auto live = live_request_ptr(new live_request(
    mIo, number, std::move(facts), std::move(aIntake), std::move(aExchange)));
  const intake& read = live->mIntake;
  live->mFeatures = { ContentFeature(FingerprintOf({ .mMethod = read.mMethod,
                                                     .mTarget = read.mPath,
                                                     .mTeam = read.mTeam.Text(),
                                                     .mBody = read.mBody })),
                      read.mPartFeatures };
  mLive.emplace(number, live);
  live->mExchange->OnLeft([this, number] { PostEvent(number, caller_left{}); });
  if (live->mIntake.mIdempotencyKey.empty()) {
    Apply(mScheduler.Submit(ItemFor(*live), Now()));
  } else {
    ClaimKey(*live);
  }
}

void
router::core::ClaimKey(live_request& aLive)
{
  const intake& read = aLive.mIntake;
  if (mKeys == nullptr) {
    DispatchEvent(aLive.mTicket,
                  schedule_refused{ error_kind::kKeyWitnessUnreachable, {} });
    return;
  }
  aLive.mKeyStage = key_stage::kClaiming;
  const std::uint64_t fingerprint =
    CombineHash(Hash64(read.mPath), Hash64(read.mBody));
  mKeys->Submit(aLive.mTicket, read.mTeam, read.mIdempotencyKey, fingerprint);
}

stage_limits
router::core::LimitsFor(const intake& aIntake) const
{
  stage_limits limits;
  limits.mConnect = mSettings.mTimeouts.mConnect;
  limits.mBetweenTokens = mSettings.mTimeouts.mBetweenTokens;
  limits.mFirstByte =
    std::min(mSettings.mTimeouts.mFirstByte,
             std::max(kMinFirstByteTimeout,
                      kFirstByteTargetMultiple * aIntake.mFirstTokenTarget));
  return limits;
}

work_item
router::core::ItemFor(const live_request& aLive)
{
  const intake& read = aLive.mIntake;
  work_item item;
  item.mTicket = aLive.mTicket;
  item.mTeam = read.mTeam;
  item.mClass = read.mClass;
  item.mPool = read.mPool;
  item.mTier = read.mTier;
  item.mPrefix = read.mPrefix;
  item.mPromptTokens = read.mPromptTokens;
  item.mMaxOutputTokens = read.mMaxOutputTokens;
  item.mArrival = aLive.mExchange->Arrival();
  item.mDeadline = item.mArrival + read.mDeadline;
  item.mIdempotent = read.mIdempotent;
  return item;
}

void
router::core::RefuseEarly(caller_exchange& aExchange, error_kind aKind)
{
  whole_reply reply = Refusal(aKind, JitteredRetryDelay(), NewId());
  TellForwarder(aExchange, aKind, reply);
  aExchange.Send(std::move(reply));
}

void
router::core::TellForwarder(const caller_exchange& aExchange,
                            error_kind aKind,
                            whole_reply& aReply)
{
  if (request_forwarder::IsForwarded(aExchange.Request())) {
    aReply.mHeaders.push_back(
      { std::string(kForwardingErrorHeader), std::string(Name(aKind)) });
  }
}

whole_reply
router::core::Refusal(error_kind aKind,
                      duration aRetryAfter,
                      const request_id& aId)
{
  mMetrics.OnRefused(aKind);
  mLog.Write(log_level::kInfo,
             "refused",
             { { "kind", std::string(Name(aKind)) },
               { "ran", std::string(Name(AnswerFor(aKind).mRan)) },
               { "request_id", aId.Text() } });
  return ErrorReply(aKind, aRetryAfter, aId);
}

duration
router::core::JitteredRetryDelay()
{
  std::uniform_real_distribution<double> factor(0.5, 1.5);
  return FromSeconds(ToSeconds(kRetryDelay) * factor(mRandom));
}

} // namespace thornhollow
