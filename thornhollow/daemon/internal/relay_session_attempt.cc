#include <algorithm>
#include <utility>
#include <variant>

#include "thornhollow/daemon/internal/relay_session.h"
#include "thornhollow/net/clock.h"
#include "thornhollow/request/forwarding_headers.h"

namespace thornhollow {
namespace {

// Timeout of a connection attempt to an endpoint. Endpoints are a few
// milliseconds away; a lost SYN is retransmitted only after one second, and
// another endpoint answers sooner.
constexpr duration kConnectTimeout = Milliseconds(300);

// Maximum idle time after which a kept connection is reused, for repeatable
// requests and for requests that must run at most once. The limit is shorter
// for at-most-once requests, since the endpoint may be about to close the
// connection, and a close can't be distinguished from a failure after the
// request ran.
constexpr duration kMaxIdleRepeatable = Seconds(30);
constexpr duration kMaxIdleOnce = Seconds(20);

// How long an endpoint's host may stay unresponsive before its connection
// counts as lost. Repeatable requests fail over quickly: callers leave a stream
// after two seconds without an event. An at-most-once request is lost with its
// connection, whereas a partitioned domain is often reachable again within a
// few seconds and the answer continues; more than 8 s would leave little of the
// time that callers wait.
constexpr duration kPeerSilenceRepeatable = Seconds(2);
constexpr duration kPeerSilenceOnce = Seconds(8);

// A request that could not be sent to this many endpoints is forwarded to
// another instance if one reaches the pool.
constexpr std::uint32_t kForwardAfterUnsent = 2;

// Maximum number of instances to which one request is forwarded: some may have
// stopped or lost contact since their last reports, and refuse at once.
constexpr std::size_t kMaxForwards = 4;

// Maximum number of those that are asked only for room at the bounds that
// endpoints named: their reports of room are a quarter of a second old, and
// where all are full a request must not pass through many of them.
constexpr std::uint32_t kMaxForwardsForRoom = 2;

} // namespace

void
relay_session::StartNextAttempt()
{
  if (mOriginIsAsked) {
    mAwaitsOrigin = true;
    return;
  }
  const time_point now = Now();
  if (now >= mProfile.mDeadline) {
    GiveUp(mMayHaveRun ? error_kind::kDeadlineExpiredRunning
                       : error_kind::kDeadlineUnmeetable,
           give_up_reason::kDeadline);
    return;
  }
  if (ShouldForward(now) && Forward(now)) {
    return;
  }
  if (mDispatcher.Reach().IsConfirmedLost(*mPool, now)) {
    GiveUpUnsent(error_kind::kNoEndpoint, give_up_reason::kNoContact);
    return;
  }
  relay_pool* pool = mDispatcher.Pool(*mPool);
  const auto pick = NextEndpoint(pool, now);
  if (!pick) {
    OnNoEndpoint(pool, now);
    return;
  }
  if (!MaySend(*pick, pool->size(), now)) {
    return;
  }
  mPick = *pick;
  mTriedEndpoints.push_back(pick->mEndpoint);
  ResetAttempt(now);
  CountSent(*pool, mPick, now);
  mChargedToPool = true;
  mAttemptNumber = ++mLastAttemptNumber;
  TellAttempts(mAttempts + 1);
  mAttempt = StartAttempt(EndpointCall(mPick), mAttemptNumber);
  ArmTimer();
}

void
relay_session::ResetAttempt(time_point aNow)
{
  mSentAt = aNow;
  mLastByte = aNow;
  mFirstByteReceived = false;
  mRunProgress = run_progress::kNoOutput;
  mAnswer.BeginAttempt();
}

bool
relay_session::ShouldForward(time_point aNow)
{
  return !mIsForwarded && mTriedPeers.size() < kMaxForwards &&
         (mForwardFirst || mTriedPeers.size() > mForwardsForRoom ||
          mUnsent >= kForwardAfterUnsent ||
          mDispatcher.Reach().ShouldForward(*mPool, aNow));
}

bool
relay_session::Forward(time_point aNow)
{
  const auto peer = mDispatcher.Reach().ChoosePeer(*mPool, mTriedPeers);
  if (!peer) {
    return false;
  }
  ForwardTo(*peer, aNow);
  return true;
}

void
relay_session::ForwardTo(const std::string& aPeer, time_point aNow)
{
  mPeer = aPeer;
  mTriedPeers.push_back(mPeer);
  mPick = relay_pick();
  mPlannedPick.reset();
  ResetAttempt(aNow);
  mDispatcher.Metrics().OnEvent("request_forwarded");
  mDispatcher.Reach().OnForwarded(mPeer);
  mAttemptNumber = ++mLastAttemptNumber;
  mAttempt = StartAttempt(PeerCall(mPeer, mAttempts), mAttemptNumber);
  ArmTimer();
}

void
relay_session::OnNoEndpoint(const relay_pool* aPool, time_point aNow)
{
  if (aPool == nullptr || !aPool->IsAtBound(mProfile, mTriedEndpoints, aNow)) {
    GiveUpUnsent(error_kind::kNoEndpoint, give_up_reason::kNoEndpoint);
    return;
  }
  if (ForwardForRoom(aNow) || WaitForRoom(aNow)) {
    return;
  }
  mDispatcher.Metrics().OnEvent("request_kept_by_bound");
  GiveUpUnsent(error_kind::kEndpointsAtBound, give_up_reason::kNoEndpoint);
}

bool
relay_session::ForwardForRoom(time_point aNow)
{
  if (mIsForwarded || mForwardsForRoom >= kMaxForwardsForRoom ||
      mTriedPeers.size() >= kMaxForwards) {
    return false;
  }
  const auto peer = mDispatcher.Reach().ChoosePeerWithRoom(*mPool, mTriedPeers);
  if (!peer) {
    return false;
  }
  ++mForwardsForRoom;
  ForwardTo(*peer, aNow);
  return true;
}

bool
relay_session::WaitForRoom(time_point aNow)
{
  if (!mRoomTicket) {
    mRoomTicket = { mProfile.mTier, mDispatcher.NextRoomNumber() };
    mRoomUntil = aNow + relay_dispatcher::kMaxRoomWait;
  }
  if (aNow >= std::min(mRoomUntil, mProfile.mDeadline)) {
    return false;
  }
  mWaitsForRoom = mDispatcher.WaitForRoom(
    *mPool,
    *mRoomTicket,
    [self = boost::intrusive_ptr<relay_session>(this)](room_verdict aVerdict) {
      self->OnRoomVerdict(aVerdict);
    });
  if (!mWaitsForRoom) {
    return false;
  }
  mDispatcher.Metrics().OnEvent("request_waits_for_room");
  mTimer.expires_at(std::min(mRoomUntil, mProfile.mDeadline));
  mTimer.async_wait([self = boost::intrusive_ptr<relay_session>(this)](
                      const boost::system::error_code& aError) {
    if (!aError) {
      self->OnRoomVerdict(room_verdict::kDisplaced);
    }
  });
  return true;
}

void
relay_session::OnRoomVerdict(room_verdict aVerdict)
{
  if (mDone || !std::exchange(mWaitsForRoom, false)) {
    return;
  }
  mTimer.cancel();
  mDispatcher.LeaveRoomQueue(*mPool, *mRoomTicket);
  if (aVerdict == room_verdict::kTry) {
    StartNextAttempt();
    return;
  }
  mDispatcher.Metrics().OnEvent("request_kept_by_bound");
  GiveUpUnsent(error_kind::kEndpointsAtBound, give_up_reason::kNoEndpoint);
}

void
relay_session::LeaveRoomQueue()
{
  if (std::exchange(mWaitsForRoom, false)) {
    mDispatcher.LeaveRoomQueue(*mPool, *mRoomTicket);
  }
}

relay_call
relay_session::PeerCall(const std::string& aPeer, std::uint32_t aAttempts) const
{
  const caller_request& request = mExchange->Request();
  relay_call call = MakeCall({ aPeer, 0 });
  call.mHeaders =
    ForwardHeaders(mDispatcher.Names(),
                   request.mHeaders,
                   mProfile.mDeadline - Now(),
                   ResumeAfter(),
                   { aAttempts, mTable->Document().mVersion, mOrigin, true });
  return call;
}

void
relay_session::TellAttempts(std::uint32_t aAttempts)
{
  if (mAttemptsKnown && aAttempts > *mAttemptsKnown) {
    mAttemptsKnown = aAttempts;
    mDispatcher.Metrics().OnEvent("further_attempt_told");
    mAnswer.TellAttempts(aAttempts);
  }
}

const std::string&
relay_session::ResumeAfter() const
{
  return mAnswer.LastEventId().empty() ? mRelayRequest.mResumeAfter
                                       : mAnswer.LastEventId();
}

bool
relay_session::MaySend(const relay_pick& aPick,
                       std::size_t aPoolSize,
                       time_point aNow)
{
  const send_decision decision = mDispatcher.Crashes().BeforeSend(
    SuspectAttempt(aPick, aPoolSize, mTicket), aNow);
  if (decision.mVerdict == send_verdict::kSend) {
    mHeldSince.reset();
    return true;
  }
  if (decision.mVerdict == send_verdict::kReject) {
    RejectSuspect();
    return false;
  }
  if (!mHeldSince) {
    mHeldSince = aNow;
  }
  if (aNow - *mHeldSince >= crash_guard::kMaxWait) {
    GiveUpUnsent(error_kind::kSuspectHeld, give_up_reason::kHeldBack);
    return false;
  }
  if (decision.mKeepEndpoint) {
    mPlannedPick = aPick;
  }
  mTimer.expires_after(crash_guard::kWaitInterval);
  mTimer.async_wait([self = boost::intrusive_ptr<relay_session>(this)](
                      const boost::system::error_code& aError) {
    if (!aError && !self->mDone) {
      self->StartNextAttempt();
    }
  });
  return false;
}

suspect_attempt
relay_session::SuspectAttempt(const relay_pick& aPick,
                              std::size_t aPoolSize,
                              std::uint64_t aTicket) const
{
  return { mFeatures, aTicket, EndpointHash(aPick.mEndpoint), aPoolSize };
}

std::optional<relay_pick>
relay_session::NextEndpoint(relay_pool* aPool, time_point aNow)
{
  if (aPool == nullptr) {
    return std::nullopt;
  }
  // The endpoint may have left, or asked for rest, while the request waited.
  if (auto planned = std::exchange(mPlannedPick, std::nullopt);
      planned && aPool->AcceptsNew(*planned, aNow)) {
    return planned;
  }
  return ChooseResponsive(*aPool, aNow);
}

std::optional<relay_pick>
relay_session::ChooseResponsive(relay_pool& aPool, time_point aNow)
{
  std::vector<endpoint_name> passed = mTriedEndpoints;
  passed.insert(passed.end(), mUnresponsive.begin(), mUnresponsive.end());
  if (auto pick = mDispatcher.Choose(aPool, mProfile, passed, aNow)) {
    return pick;
  }
  if (mUnresponsive.empty()) {
    return std::nullopt;
  }
  // All are asked again; one that stood still may respond by now.
  mUnresponsive.clear();
  return mDispatcher.Choose(aPool, mProfile, mTriedEndpoints, aNow);
}

void
relay_session::SetUnresponsive(const endpoint_name& aEndpoint)
{
  std::erase(mTriedEndpoints, aEndpoint);
  mUnresponsive.push_back(aEndpoint);
}

relay_call
relay_session::EndpointCall(const relay_pick& aPick)
{
  const caller_request& request = mExchange->Request();
  attempt_facts facts;
  facts.mEndpoint = aPick.mEndpoint;
  facts.mTeam = mTeam == nullptr ? team_name() : mTeam->mName;
  facts.mTimeLeft = mProfile.mDeadline - Now();
  if (mProfile.mPromptTokens > 0) {
    facts.mPriority = mProfile.mEnginePriority;
    facts.mCopyPrefixFrom = aPick.mCopyFrom;
  }
  facts.mResumeAfter = ResumeAfter();
  relay_call call = MakeCall({ aPick.mAddress, aPick.mLifetime });
  call.mHeaders = AttemptHeaders(mDispatcher.Names(), request.mHeaders, facts);
  if (MustConfirmFirst()) {
    call.mMaySend = [self = boost::intrusive_ptr<relay_session>(this),
                     pick = aPick](time_point aMadeAt,
                                   std::function<void(bool)> aDone) {
      self->mDispatcher.Confirm(pick, aMadeAt, std::move(aDone));
    };
  }
  return call;
}

relay_call
relay_session::MakeCall(endpoint_process aWhere) const
{
  const caller_request& request = mExchange->Request();
  relay_call call;
  call.mWhere = std::move(aWhere);
  call.mMethod = request.mMethod;
  call.mTarget = request.mTarget;
  call.mBody = mBody;
  call.mId = mRelayRequest.mId;
  const bool repeatable = MayRepeat(mRoute->mKind);
  call.mMaxIdle = repeatable ? kMaxIdleRepeatable : kMaxIdleOnce;
  call.mSilence = repeatable ? kPeerSilenceRepeatable : kPeerSilenceOnce;
  call.mConnectTimeout =
    std::min<duration>(kConnectTimeout, mProfile.mDeadline - Now());
  return call;
}

relay_attempt_ptr
relay_session::StartAttempt(relay_call aCall, std::uint64_t aNumber)
{
  return StartRelayAttempt(
    mDispatcher.Connections(),
    mDispatcher.Names(),
    std::move(aCall),
    [self = boost::intrusive_ptr<relay_session>(this),
     aNumber](relay_event aEvent) { self->OnEvent(aNumber, aEvent); });
}

void
relay_session::OnEvent(std::uint64_t aNumber, relay_event& aEvent)
{
  if (IsStandby(aNumber)) {
    OnStandbyEvent(aEvent);
  } else if (aNumber == mAttemptNumber) {
    OnAttemptEvent(aEvent);
  }
}

void
relay_session::OnAttemptEvent(relay_event& aEvent)
{
  // An endpoint that sends nothing else is silent all the same.
  if (const auto* interim = std::get_if<relay_interim_answer>(&aEvent)) {
    if (IsAtPeer()) {
      mAnswer.OnAttemptsTold(
        ReadForwardingAttempts(interim->mHeaders).value_or(0));
    }
    return;
  }
  mLastByte = Now();
  if (mChargedToPool && !std::holds_alternative<relay_failure>(aEvent)) {
    mDispatcher.Reach().OnAnswer(*mPool, !mAttempt->Reused(), mLastByte);
  }
  if (auto* head = std::get_if<relay_answer_head>(&aEvent)) {
    OnHead(*head);
  } else if (auto* bytes = std::get_if<relay_answer_bytes>(&aEvent)) {
    OnBytes(bytes->mBytes);
  } else if (std::holds_alternative<relay_answer_end>(aEvent)) {
    OnAnswerEnd();
  } else {
    const auto& failed = std::get<relay_failure>(aEvent);
    OnFailure(failed.mFailure, failed.mDetail, true);
  }
}

void
relay_session::EndAttempt(attempt_end aEnd)
{
  if (IsAtPeer()) {
    mDispatcher.Reach().OnForwardEnded(std::exchange(mPeer, {}));
    return;
  }
  if (!std::exchange(mChargedToPool, false)) {
    return;
  }
  CountEnded(mPick, aEnd, mFirstByteReceived, mSentAt);
}

void
relay_session::CountSent(relay_pool& aPool,
                         const relay_pick& aPick,
                         time_point aNow)
{
  aPool.OnSent(aPick, mProfile, aNow);
  mDispatcher.ReportLoad(*mPool, aPick);
  mDispatcher.Reach().OnSent(*mPool, aNow);
}

void
relay_session::CountEnded(const relay_pick& aPick,
                          attempt_end aEnd,
                          bool aStarted,
                          time_point aSentAt)
{
  mDispatcher.Reach().OnEnded(*mPool);
  if (relay_pool* pool = mDispatcher.Pool(*mPool)) {
    const time_point now = Now();
    pool->OnEnded(aPick, mProfile, aEnd, aStarted, now - aSentAt, now);
    mDispatcher.ReportLoad(*mPool, aPick);
    mDispatcher.OnRoom(*mPool);
  }
}

} // namespace thornhollow
