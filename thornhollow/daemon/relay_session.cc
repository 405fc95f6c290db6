#include "thornhollow/daemon/relay_session.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "thornhollow/base/request_fingerprint.h"
#include "thornhollow/daemon/relay_profile.h"
#include "thornhollow/daemon/relayed_answer.h"
#include "thornhollow/net/clock.h"
#include "thornhollow/net/relay_attempt.h"
#include "thornhollow/request/forwarding_headers.h"
#include "thornhollow/request/relay_retry.h"

namespace thornhollow {
namespace {

// Timeout of a connection attempt to an endpoint. Endpoints are a few
// milliseconds away; a lost SYN is retransmitted only after one second, and
// another endpoint answers sooner.
constexpr duration kConnectTimeout = Milliseconds(300);
// Maximum failed connection attempts for one request.
constexpr std::uint32_t kMaxUnsent = 6;
// No further connection attempt is made for a request once its failed attempts
// have taken this long in total, which is after three that timed out.
constexpr duration kMaxUnsentTime = Milliseconds(800);
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
// few seconds and the answer continues. With three partitions of a domain,
// 3 s each, within 30 s, the value of the answers that callers received was
// 0.70 with 2 s for all requests and 0.71 with these values (mean of three
// draws on two deployments, real processes); with partitioned endpoints, 0.82
// and 0.83. More than 8 s would leave little of the 15 s that callers wait.
constexpr duration kPeerSilenceRepeatable = Seconds(2);
constexpr duration kPeerSilenceOnce = Seconds(8);
// A repeatable request that is not a stream is sent to another endpoint if no
// bytes are received for this multiple of its route's target, but not before
// `kMinSilenceTimeout`. A sound endpoint may be silent for a second and go on,
// and what it runs must not be repeated for that.
constexpr int kSilenceTargetFactor = 4;
constexpr duration kMinSilenceTimeout = Milliseconds(1'300);
// A repeatable stream that sends no bytes for this long is resumed at another
// endpoint, before its caller leaves after two seconds without an event.
constexpr duration kStreamSilenceTimeout = kMinSilenceTimeout;
// A request whose timeout is below this fraction of its route's timeout counts
// as a retry: the caller has spent the rest on an earlier attempt. Refused
// callers are told to wait at least a tenth of most timeouts before they retry,
// so a retry has at most this fraction left.
constexpr double kRetryTimeoutFraction = 0.9;
// A request that could not be sent to this many endpoints is forwarded to
// another instance if one reaches the pool.
constexpr std::uint32_t kForwardAfterUnsent = 2;
// Maximum number of instances to which one request is forwarded: some may have
// stopped or lost contact since their last reports, and refuse at once.
constexpr std::size_t kMaxForwards = 4;
// Added to the silence timeout of a forwarded request. The other instance has
// the same timeout and retries first.
constexpr duration kForwardSilenceMargin = Milliseconds(400);
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusRedirect = 300;
constexpr unsigned kStatusServerError = 500;

// Whether the HTTP status implies to a caller that its request was not run. An
// endpoint's answer with this status has that meaning only if the endpoint also
// marks the request as not run.
bool
ImpliesNotRun(unsigned aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

// Whether another instance may serve a forwarded request that one has refused
// for this reason.
bool
MayServeElsewhere(error_kind aKind)
{
  return aKind == error_kind::kNotReady || aKind == error_kind::kDraining ||
         aKind == error_kind::kTooManyConnections ||
         aKind == error_kind::kNoEndpoint;
}

attempt_end
ToAttemptEnd(attempt_failure aFailure)
{
  switch (aFailure) {
    case attempt_failure::kDeclined:
      return attempt_end::kDeclined;
    case attempt_failure::kSilent:
      return attempt_end::kSilent;
    default:
      return attempt_end::kFailed;
  }
}

class relay_session
  : public boost::intrusive_ref_counter<relay_session,
                                        boost::thread_unsafe_counter>
{
public:
  // `aForwarded`: the request comes from another instance.
  relay_session(relay_dispatcher& aDispatcher,
                caller_exchange_ptr aExchange,
                bool aForwarded)
    : mDispatcher(aDispatcher)
    , mExchange(std::move(aExchange))
    , mIsForwarded(aForwarded)
    , mTable(aDispatcher.Table())
    , mTimer(aDispatcher.Io())
    , mTicket(aDispatcher.Crashes().NextTicket())
    , mAnswer(mExchange, aForwarded)
  {
    mDispatcher.OnSessionBegin();
  }
  relay_session(const relay_session&) = delete;
  relay_session& operator=(const relay_session&) = delete;
  ~relay_session() { mDispatcher.OnSessionEnd(); }

  void Start()
  {
    const caller_request& request = mExchange->Request();
    mRelayRequest = ReadRelayRequest(mDispatcher.Names(), request.mHeaders);
    if (mIsForwarded && !TakeForwardingFacts()) {
      Refuse(error_kind::kNotReady);
      return;
    }
    if (const auto error = FindRoute()) {
      Refuse(*error);
      return;
    }
    mProfile = ProfileOf(mRelayRequest, *mRoute, EffectiveTier(*mRoute, mTeam));
    const duration timeout = std::min(
      mRelayRequest.mTimeLeft.value_or(mRoute->mTimeout), mRoute->mTimeout);
    if (!mDispatcher.Accepts(timeout, Now())) {
      Refuse(error_kind::kDraining);
      return;
    }
    mProfile.mTeam = mTeam == nullptr ? team_name() : mTeam->mName;
    mFingerprint = FingerprintOf({ .mMethod = request.mMethod,
                                   .mTarget = request.mTarget,
                                   .mTeam = mProfile.mTeam.Text(),
                                   .mBody = request.mBody });
    mProfile.mDeadline = mExchange->Arrival() + timeout;
    mProfile.mIsRetry =
      ToSeconds(timeout) < ToSeconds(mRoute->mTimeout) * kRetryTimeoutFraction;
    mMetricsClass = MetricsClass(*mRoute, mProfile.mTier);
    mDispatcher.Metrics().OnRequest(mMetricsClass);
    if (mDispatcher.Crashes().IsRejected(mFingerprint, Now())) {
      RejectSuspect();
      return;
    }
    if (!mIsForwarded) {
      mDispatcher.Retries().OnRequest(*mPool, Now());
    }
    mForwardFirst =
      !mIsForwarded && mDispatcher.Reach().ShouldForward(*mPool, Now());
    if (mIsForwarded && mDispatcher.Reach().IsConfirmedLost(*mPool, Now())) {
      Refuse(error_kind::kNoEndpoint);
      return;
    }
    // The instance to which the request is forwarded decides on its admission.
    relay_pool* pool = mDispatcher.Pool(*mPool);
    if (pool != nullptr && !mForwardFirst) {
      const auto verdict = pool->Admit(mProfile, timeout, Now());
      if (const auto* refused = std::get_if<admission_refusal>(&verdict)) {
        LogRejected(*refused);
        Refuse(refused->mKind, refused->mRetryAfter);
        return;
      }
      mPlannedPick = std::get<std::optional<relay_pick>>(verdict);
    }
    mBody = std::make_shared<const std::string>(request.mBody);
    mExchange->OnLeft([self = boost::intrusive_ptr<relay_session>(this)] {
      self->OnCallerLeft();
    });
    StartNextAttempt();
  }

private:
  // Returns whether this instance may decide on the forwarded request: its
  // configuration must not be older than the one by which the request was
  // accepted, or a new route would be unknown and a removed token valid.
  bool TakeForwardingFacts()
  {
    const auto facts = ReadForwardingFacts(mExchange->Request().mHeaders);
    if (!facts || !mTable ||
        mTable->Document().mVersion < facts->mConfiguration) {
      return false;
    }
    mAttempts = facts->mAttempts;
    return true;
  }

  // Looks up route, team and pool. Returns the reason for a refusal, or nullopt
  // on success.
  std::optional<error_kind> FindRoute()
  {
    if (!mTable) {
      return error_kind::kNotReady;
    }
    if (mRelayRequest.mId.empty()) {
      return error_kind::kMalformedRequest;
    }
    const caller_request& request = mExchange->Request();
    mRoute = mTable->Match(request.Header("Host"), request.mPath);
    if (mRoute == nullptr) {
      return error_kind::kUnknownPath;
    }
    mTeam = mTable->TeamForToken(mRelayRequest.mToken);
    const bool allowsAnonymous =
      mRoute->mAnonymous || !mTable->Document().mTokensRequired;
    if (mTeam == nullptr && !allowsAnonymous) {
      return error_kind::kUnauthenticated;
    }
    mPool =
      routing_table::SelectPool(*mRoute, Hash64(mRelayRequest.mId.Text()));
    return mPool == nullptr ? std::optional(error_kind::kNoEndpoint)
                            : std::nullopt;
  }

  void StartNextAttempt()
  {
    const time_point now = Now();
    if (now >= mProfile.mDeadline) {
      GiveUp(mMayHaveRun ? error_kind::kDeadlineExpiredRunning
                         : error_kind::kDeadlineUnmeetable);
      return;
    }
    if (ShouldForward(now) && Forward(now)) {
      return;
    }
    if (mDispatcher.Reach().IsConfirmedLost(*mPool, now)) {
      GiveUpUnsent(error_kind::kNoEndpoint);
      return;
    }
    relay_pool* pool = mDispatcher.Pool(*mPool);
    const auto pick = NextEndpoint(pool, now);
    if (!pick) {
      GiveUpUnsent(error_kind::kNoEndpoint);
      return;
    }
    if (!MaySend(*pick, pool->size(), now)) {
      return;
    }
    mPick = *pick;
    mTriedEndpoints.push_back(pick->mEndpoint);
    ResetAttempt(now);
    pool->OnSent(mPick, mProfile, now);
    mDispatcher.Reach().OnSent(*mPool, now);
    mChargedToPool = true;
    SendAttempt();
    ArmTimer();
  }

  // Forgets what is known of the attempt before.
  void ResetAttempt(time_point aNow)
  {
    mSentAt = aNow;
    mLastByte = aNow;
    mFirstByteReceived = false;
    mAnswer.BeginAttempt();
  }

  // Whether the next attempt goes to another instance rather than an endpoint.
  // A request that was forwarded stays with other instances while some are
  // left.
  bool ShouldForward(time_point aNow)
  {
    return !mIsForwarded && mTriedPeers.size() < kMaxForwards &&
           (mForwardFirst || !mTriedPeers.empty() ||
            mUnsent >= kForwardAfterUnsent ||
            mDispatcher.Reach().ShouldForward(*mPool, aNow));
  }

  // Sends the request to another instance that reaches the pool; returns false
  // if there is none.
  bool Forward(time_point aNow)
  {
    const auto peer = mDispatcher.Reach().ChoosePeer(*mPool, mTriedPeers);
    if (!peer) {
      return false;
    }
    mPeer = *peer;
    mTriedPeers.push_back(mPeer);
    mPick = relay_pick();
    mPlannedPick.reset();
    ResetAttempt(aNow);
    mDispatcher.Metrics().OnEvent("request_forwarded");
    mDispatcher.Reach().OnForwarded(mPeer);
    SendToPeer();
    ArmTimer();
    return true;
  }

  void SendToPeer()
  {
    const caller_request& request = mExchange->Request();
    relay_call call = MakeCall({ mPeer, 0 });
    call.mHeaders = ForwardHeaders(mDispatcher.Names(),
                                   request.mHeaders,
                                   mProfile.mDeadline - Now(),
                                   ResumeAfter(),
                                   { mAttempts, mTable->Document().mVersion });
    StartAttempt(std::move(call));
  }

  // The last event that the caller has of a stream.
  const std::string& ResumeAfter() const
  {
    return mAnswer.LastEventId().empty() ? mRelayRequest.mResumeAfter
                                         : mAnswer.LastEventId();
  }

  // Whether the request may be sent to the endpoint now. If not, the request
  // waits or has been ended.
  bool MaySend(const relay_pick& aPick, std::size_t aPoolSize, time_point aNow)
  {
    const send_decision decision =
      mDispatcher.Crashes().BeforeSend(SuspectAttempt(aPick, aPoolSize), aNow);
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
      GiveUpUnsent(error_kind::kSuspectHeld);
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

  suspect_attempt SuspectAttempt(const relay_pick& aPick,
                                 std::size_t aPoolSize) const
  {
    return { mFingerprint, mTicket, EndpointHash(aPick.mEndpoint), aPoolSize };
  }

  // Returns the endpoint of the next attempt. The endpoint of the first attempt
  // was chosen when the request was admitted.
  std::optional<relay_pick> NextEndpoint(relay_pool* aPool, time_point aNow)
  {
    if (aPool == nullptr) {
      return std::nullopt;
    }
    // The endpoint may have left, or asked for rest, while the request waited.
    if (auto planned = std::exchange(mPlannedPick, std::nullopt);
        planned && aPool->AcceptsNew(*planned, aNow)) {
      return planned;
    }
    return mDispatcher.Choose(*aPool, mProfile, mTriedEndpoints, aNow);
  }

  void SendAttempt()
  {
    const caller_request& request = mExchange->Request();
    attempt_facts facts;
    facts.mEndpoint = mPick.mEndpoint;
    facts.mTeam = mTeam == nullptr ? team_name() : mTeam->mName;
    facts.mTimeLeft = mProfile.mDeadline - Now();
    if (mProfile.mPromptTokens > 0) {
      facts.mPriority = mProfile.mEnginePriority;
      facts.mCopyPrefixFrom = mPick.mCopyFrom;
    }
    facts.mResumeAfter = ResumeAfter();
    relay_call call = MakeCall({ mPick.mAddress, mPick.mLifetime });
    call.mHeaders =
      AttemptHeaders(mDispatcher.Names(), request.mHeaders, facts);
    StartAttempt(std::move(call));
  }

  // Returns everything but the headers.
  relay_call MakeCall(endpoint_process aWhere) const
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

  void StartAttempt(relay_call aCall)
  {
    mAttempt =
      StartRelayAttempt(mDispatcher.Connections(),
                        mDispatcher.Names(),
                        std::move(aCall),
                        [self = boost::intrusive_ptr<relay_session>(this)](
                          relay_event aEvent) { self->OnEvent(aEvent); });
  }

  void OnEvent(relay_event& aEvent)
  {
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

  bool IsAtPeer() const { return !mPeer.empty(); }

  void OnHead(relay_answer_head& aHead)
  {
    if (const auto refused =
          IsAtPeer() ? ReadForwardingError(aHead.mHeaders) : std::nullopt) {
      OnPeerRefused(*refused, ReadRetryAfter(aHead.mHeaders));
      return;
    }
    const auto leaving = TakeMarks(aHead);
    const bool success =
      aHead.mStatus >= kStatusOk && aHead.mStatus < kStatusRedirect;
    if (aHead.mMarks.mNotRun) {
      OnFailure(attempt_failure::kDeclined,
                "status " + std::to_string(aHead.mStatus),
                false);
      return;
    }
    if (success && !aHead.mMarks.mSigned) {
      OnFailure(attempt_failure::kGarbled,
                "success status without a signature header",
                true);
      return;
    }
    if (!success && mAnswer.Begun()) {
      OnFailure(
        attempt_failure::kFailed, "endpoint did not resume the stream", true);
      return;
    }
    if (ImpliesNotRun(aHead.mStatus)) {
      OnFailure(attempt_failure::kFailed,
                "status " + std::to_string(aHead.mStatus),
                false);
      return;
    }
    // Another instance has made its own retries.
    if (aHead.mStatus >= kStatusServerError && !IsAtPeer() &&
        TakeRetryForServerError()) {
      mRetryCharged = true;
      OnFailure(attempt_failure::kFailed,
                "status " + std::to_string(aHead.mStatus),
                false);
      return;
    }
    mAnswer.OnHead(aHead,
                   { success && IsStream(mRoute->mKind),
                     IsAtPeer() && ReadForwardingOpenEnded(aHead.mHeaders) });
    if (leaving && mIsForwarded) {
      mAnswer.AddHeader(ForwardingLeavingHeader(*leaving));
    }
  }

  // Takes what the endpoint says of itself. Returns its process if it leaves.
  std::optional<endpoint_process_hash> TakeMarks(const relay_answer_head& aHead)
  {
    if (!IsAtPeer()) {
      return mDispatcher.OnAnswerMarks(mPick, aHead.mMarks, Now());
    }
    const auto leaving = ReadForwardingLeaving(aHead.mHeaders);
    if (leaving) {
      mDispatcher.OnLeavingReported({ *leaving }, Now());
    }
    return leaving;
  }

  // The other instance itself ended the request, rather than an endpoint.
  void OnPeerRefused(error_kind aKind, std::optional<duration> aRetryAfter)
  {
    LogFailedAttempt(attempt_failure::kDeclined,
                     "refused by an instance: " + std::string(Name(aKind)));
    mAttempt->Abandon();
    mTimer.cancel();
    EndAttempt(attempt_end::kDeclined);
    if (AnswerFor(aKind).mRan != ran::kNo) {
      mMayHaveRun = true;
      GiveUp(aKind);
      return;
    }
    if (MayServeElsewhere(aKind)) {
      StartNextAttempt();
      return;
    }
    if (mMayHaveRun || mAnswer.Begun()) {
      GiveUp(FinalError(Progress(attempt_failure::kDeclined)));
      return;
    }
    Refuse(aKind, aRetryAfter);
  }

  // Whether a server error may be retried at another endpoint. If so, charges
  // the retry to the budget; otherwise the caller receives the error unchanged.
  bool TakeRetryForServerError()
  {
    const relay_pool* pool = mDispatcher.Pool(*mPool);
    return NextStep(Progress(attempt_failure::kFailed)) == relay_step::kRetry &&
           pool != nullptr && pool->size() > mTriedEndpoints.size() &&
           mDispatcher.Retries().Spend(*mPool, Now());
  }

  void OnBytes(const std::string& aBytes)
  {
    RecordFirstByte();
    if (const auto fault = mAnswer.OnBytes(aBytes, Now())) {
      OnFailure(attempt_failure::kGarbled, std::string(*fault), true);
      return;
    }
    RecordPause();
  }

  void RecordFirstByte()
  {
    if (std::exchange(mFirstByteReceived, true)) {
      return;
    }
    const time_point now = Now();
    relay_pool* pool = mDispatcher.Pool(*mPool);
    if (pool != nullptr && mChargedToPool) {
      mDispatcher.Crashes().OnOutput(mFingerprint, mTicket, now);
      pool->OnFirstByte(mPick, mProfile, now - mSentAt, now);
    }
    if (!mFirstByte) {
      mFirstByte = now - mExchange->Arrival();
      mDispatcher.Metrics().OnFirstToken(mMetricsClass, *mFirstByte);
    }
  }

  void RecordPause()
  {
    if (const auto pause = mAnswer.LastPause()) {
      mDispatcher.Metrics().OnTokenGap(mMetricsClass, *pause);
    }
  }

  void OnAnswerEnd()
  {
    if (const answer_end end = mAnswer.JudgeEnd(); IsBrokenOff(end)) {
      OnFailure(attempt_failure::kBroken, std::string(Describe(end)), true);
      return;
    }
    if (!IsAtPeer()) {
      mDispatcher.Crashes().OnOutput(mFingerprint, mTicket, Now());
    }
    EndAttempt(attempt_end::kCompleted);
    if (mAnswer.IsOpenEnded()) {
      mDispatcher.Metrics().OnEvent("answer_ended_with_connection");
    }
    if (!mAnswer.SendEnd(Now())) {
      LogFailedAttempt(attempt_failure::kBroken,
                       "resumed stream ended with its connection");
      GiveUp(error_kind::kStreamBroken);
      return;
    }
    RecordPause();
    Finish("answered");
  }

  relay_progress Progress(
    attempt_failure aFailure = attempt_failure::kLost) const
  {
    relay_progress progress;
    progress.mKind = mRoute->mKind;
    progress.mFailure = aFailure;
    const bool sent = (mChargedToPool || IsAtPeer()) && Sent();
    progress.mAttempts = mAttempts + (sent ? 1 : 0);
    progress.mMaxAttempts = mRoute->mMaxAttempts;
    // Another instance that breaks off a stream has resumed it as often as the
    // route allows.
    if (IsAtPeer() && aFailure == attempt_failure::kBroken) {
      progress.mAttempts = std::max(progress.mAttempts, mRoute->mMaxAttempts);
    }
    progress.mAnswerBegun = mAnswer.Begun();
    progress.mMayHaveRun = mMayHaveRun || (!CertainlyNotRun(aFailure) && sent);
    return progress;
  }

  bool Sent() const { return mAttempt && mAttempt->Sent(); }

  // Ends the current attempt and starts the next one or gives up. `aClose`:
  // close the attempt's connection instead of reading the rest of the answer.
  void OnFailure(attempt_failure aFailure,
                 const std::string& aDetail,
                 bool aClose)
  {
    const relay_progress progress = Progress(aFailure);
    LogFailedAttempt(aFailure, aDetail);
    mAttempts = progress.mAttempts;
    mMayHaveRun = progress.mMayHaveRun;
    if (aFailure == attempt_failure::kNotSent) {
      ++mUnsent;
      mUnsentTime += Now() - mSentAt;
      mDispatcher.Metrics().OnEvent(IsAtPeer() ? "forward_connect_failed"
                                               : "endpoint_connect_failed");
    }
    if (aClose) {
      mAttempt->Close();
    } else {
      mAttempt->Abandon();
    }
    const bool mayHaveEnded = MayHaveEndedEndpoint(aFailure);
    ReportContact(aFailure);
    EndAttempt(ToAttemptEnd(aFailure));
    mTimer.cancel();
    if (!mayHaveEnded) {
      AfterFailure(aFailure, progress);
      return;
    }
    const relay_pool* pool = mDispatcher.Pool(*mPool);
    mDispatcher.Crashes().OnAttemptLost(
      { mRelayRequest.mId,
        SuspectAttempt(mPick, pool->size()),
        mPick.mEndpoint,
        { mPick.mAddress, mPick.mLifetime } },
      [self = boost::intrusive_ptr<relay_session>(this), aFailure, progress](
        bool /*aEnded*/) {
        if (!self->mDone) {
          self->AfterFailure(aFailure, progress);
        }
      });
  }

  // Reports a failure that may mean that this instance is cut off from the
  // endpoints.
  void ReportContact(attempt_failure aFailure)
  {
    if (IsAtPeer()) {
      return;
    }
    if (aFailure == attempt_failure::kNotSent) {
      mDispatcher.Reach().OnConnectFailed(*mPool, Now());
      mDispatcher.OnUnreachable(mPick, Now());
    } else if (aFailure == attempt_failure::kSilent) {
      mDispatcher.Reach().OnTrouble(*mPool, Now());
      mDispatcher.OnUnreachable(mPick, Now());
    } else if (aFailure == attempt_failure::kLost ||
               aFailure == attempt_failure::kBroken) {
      mDispatcher.Reach().OnTrouble(*mPool, Now());
    }
  }

  // Whether the endpoint's process may have ended under the request. The end of
  // an endpoint that is leaving is expected, and one that has produced output
  // for the request was not ended by it.
  bool MayHaveEndedEndpoint(attempt_failure aFailure) const
  {
    const relay_pool* pool = mDispatcher.Pool(*mPool);
    return !IsAtPeer() &&
           (aFailure == attempt_failure::kLost ||
            aFailure == attempt_failure::kBroken) &&
           !mFirstByteReceived && pool != nullptr && pool->IsInService(mPick);
  }

  // Makes another attempt or gives up.
  void AfterFailure(attempt_failure aFailure, const relay_progress& aProgress)
  {
    mDispatcher.Crashes().OnSendEnded(mFingerprint, mTicket, Now());
    mAnswer.DropUnfinished();
    const relay_step step = NextStep(aProgress);
    // A request that has not reached any endpoint has caused no load yet, so
    // its next attempt is not charged to the retry budget.
    const bool firstArrival = aProgress.mAttempts == 0;
    const bool retryCharged =
      std::exchange(mRetryCharged, false) || firstArrival;
    const bool allowed =
      step != relay_step::kGiveUp && MayRetryUnsent() &&
      (retryCharged || mDispatcher.Retries().Spend(*mPool, Now()));
    if (!allowed) {
      GiveUp(FinalError(aProgress));
      return;
    }
    mDispatcher.Metrics().OnRetry(ErrorOf(aFailure));
    StartNextAttempt();
  }

  // Whether another attempt may follow failed connection attempts. Guards
  // against refusing a request within milliseconds when some of many endpoints
  // have crashed, as their hosts refuse connections immediately.
  bool MayRetryUnsent() const
  {
    return mUnsent < kMaxUnsent && mUnsentTime < kMaxUnsentTime;
  }

  // Reports the end of the current attempt to the pool, once for each attempt.
  void EndAttempt(attempt_end aEnd)
  {
    if (IsAtPeer()) {
      mDispatcher.Reach().OnForwardEnded(std::exchange(mPeer, {}));
      return;
    }
    if (!std::exchange(mChargedToPool, false)) {
      return;
    }
    mDispatcher.Reach().OnEnded(*mPool);
    if (relay_pool* pool = mDispatcher.Pool(*mPool)) {
      const time_point now = Now();
      pool->OnEnded(
        mPick, mProfile, aEnd, mFirstByteReceived, now - mSentAt, now);
    }
  }

  void ArmTimer()
  {
    mTimer.expires_at(std::min(mProfile.mDeadline, SilenceDeadline()));
    mTimer.async_wait([self = boost::intrusive_ptr<relay_session>(this)](
                        const boost::system::error_code& aError) {
      if (!aError && !self->mDone) {
        self->OnTimer();
      }
    });
  }

  // Returns the time from which the current attempt counts as silent if no
  // bytes arrive before. A request that must not be repeated never counts as
  // silent, since it could not be sent elsewhere.
  time_point SilenceDeadline() const
  {
    if (!MayRepeat(mRoute->mKind)) {
      return time_point::max();
    }
    const time_point since =
      mLastByte + (IsAtPeer() ? kForwardSilenceMargin : duration::zero());
    if (IsStream(mRoute->mKind)) {
      return since + kStreamSilenceTimeout;
    }
    return since + std::max<duration>(kSilenceTargetFactor * mRoute->mTarget,
                                      kMinSilenceTimeout);
  }

  void OnTimer()
  {
    const time_point now = Now();
    if (now >= mProfile.mDeadline) {
      OnDeadline();
      return;
    }
    if (now >= SilenceDeadline() && CanRetryElsewhere()) {
      OnFailure(attempt_failure::kSilent,
                "no bytes received within the silence timeout",
                true);
      return;
    }
    if (now >= SilenceDeadline()) {
      // No other endpoint can take over, and the current one may still answer,
      // so the silence timeout starts again.
      mLastByte = now;
    }
    ArmTimer();
  }

  bool CanRetryElsewhere() const
  {
    return NextStep(Progress(attempt_failure::kSilent)) != relay_step::kGiveUp;
  }

  void OnDeadline()
  {
    const bool ran = Progress(attempt_failure::kSilent).mMayHaveRun;
    LogFailedAttempt(attempt_failure::kSilent, "deadline");
    if (mAttempt) {
      mAttempt->Close();
    }
    EndAttempt(attempt_end::kCancelled);
    GiveUp(ran ? error_kind::kDeadlineExpiredRunning
               : error_kind::kDeadlineUnmeetable);
  }

  // Ends a request that ends the endpoints that run it.
  void RejectSuspect()
  {
    mDispatcher.Crashes().OnRejected(mRelayRequest.mId, mFingerprint);
    if (mMayHaveRun) {
      GiveUp(FinalError(Progress()));
      return;
    }
    Refuse(error_kind::kRequestEndsEndpoints,
           mDispatcher.Crashes().RejectionTime(mFingerprint, Now()));
  }

  // Ends a request of which no attempt is in progress: with `aKind`, unless an
  // earlier attempt may have run it.
  void GiveUpUnsent(error_kind aKind)
  {
    GiveUp(mMayHaveRun ? FinalError(Progress()) : aKind);
  }

  // Ends the request with an error response to the caller.
  void GiveUp(error_kind aKind)
  {
    if (mAnswer.Begun()) {
      mDispatcher.Metrics().OnRefused(error_kind::kStreamBroken);
      mAnswer.SendAbort();
      Finish("broken");
      return;
    }
    Refuse(aKind);
  }

  void Refuse(error_kind aKind,
              std::optional<duration> aRetryAfter = std::nullopt)
  {
    mDispatcher.Metrics().OnRefused(aKind);
    const bool noneTook = aKind == error_kind::kNoEndpoint ||
                          aKind == error_kind::kEndpointDeclined;
    if (!aRetryAfter && noneTook && mPool != nullptr) {
      aRetryAfter = mDispatcher.RestLeft(*mPool, Now());
    }
    whole_reply reply =
      mDispatcher.Refusal(aKind, mRelayRequest.mId, aRetryAfter);
    mRefusalStatus = reply.mHttpStatus;
    if (mIsForwarded) {
      reply.mHeaders.push_back(
        { std::string(kForwardingErrorHeader), std::string(Name(aKind)) });
    }
    mExchange->Send(std::move(reply));
    Finish(Name(aKind));
  }

  void OnCallerLeft()
  {
    if (mDone) {
      return;
    }
    if (mAttempt) {
      mAttempt->Close();
    }
    EndAttempt(attempt_end::kCancelled);
    mDispatcher.Metrics().OnRefused(error_kind::kCallerLeft);
    Finish(Name(error_kind::kCallerLeft));
  }

  void Finish(std::string_view aOutcome)
  {
    mDone = true;
    mTimer.cancel();
    mDispatcher.Crashes().OnSendEnded(mFingerprint, mTicket, Now());
    mExchange->OnLeft(nullptr);
    LogOutcome(aOutcome);
    if (aOutcome == "answered") {
      mDispatcher.Metrics().OnCompleted(mMetricsClass, mAnswer.Events());
    }
  }

  void LogRejected(const admission_refusal& aRefusal)
  {
    mDispatcher.Log().WriteRequest(
      log_level::kInfo,
      "request_not_taken",
      { { "request", mRelayRequest.mId.Text() },
        { "why", std::string(Name(aRefusal.mKind)) },
        { "pool", mPool->Text() },
        { "wait_ms", ToMilliseconds(aRefusal.mWait) },
        { "seen_wait_ms", ToMilliseconds(aRefusal.mObservedWait) },
        { "longest_ms", ToMilliseconds(aRefusal.mMaxWait) },
        { "come_back_ms", ToMilliseconds(aRefusal.mRetryAfter) } });
  }

  void LogFailedAttempt(attempt_failure aFailure, const std::string& aDetail)
  {
    const time_point now = Now();
    mDispatcher.Log().WriteRequest(
      log_level::kInfo,
      "attempt_failed",
      { { "request", mRelayRequest.mId.Text() },
        { "fingerprint", Text(mFingerprint) },
        { "why", std::string(Name(aFailure)) },
        { "detail", aDetail },
        { "endpoint", mPick.mEndpoint.Text() },
        { "via", mPeer },
        { "reused", std::int64_t{ mAttempt && mAttempt->Reused() } },
        { "after_ms", ToMilliseconds(now - mSentAt) },
        { "expected_ms", ToMilliseconds(mPick.mExpectedWait) },
        { "begun", std::int64_t{ mAnswer.Begun() } } });
  }

  unsigned Status() const
  {
    return mRefusalStatus != 0 ? mRefusalStatus : mAnswer.Status();
  }

  std::string FramingText() const
  {
    const auto framing = mAnswer.ReceivedFraming();
    return framing ? std::string(Name(*framing)) : "";
  }

  void LogOutcome(std::string_view aOutcome)
  {
    const time_point now = Now();
    mDispatcher.Log().WriteRequest(
      log_level::kInfo,
      "request_done",
      { { "request", mRelayRequest.mId.Text() },
        { "fingerprint", Text(mFingerprint) },
        { "outcome", std::string(aOutcome) },
        { "status", std::int64_t{ Status() } },
        { "route", mRoute == nullptr ? "" : mRoute->mName },
        { "team", mTeam == nullptr ? "" : mTeam->mName.Text() },
        { "tier", std::int64_t{ mProfile.mTier } },
        { "endpoint", mPick.mEndpoint.Text() },
        { "attempts", static_cast<std::int64_t>(mTriedEndpoints.size()) },
        { "via", mTriedPeers.empty() ? "" : mTriedPeers.back() },
        { "forwarded", std::int64_t{ mIsForwarded } },
        { "prompt_tokens", std::int64_t{ mProfile.mPromptTokens } },
        { "to_read", std::int64_t{ mPick.mPrefillTokens } },
        { "target_ms", ToMilliseconds(mProfile.mTarget) },
        { "side", mPick.mBulk ? "bulk" : "interactive" },
        { "backlog", static_cast<std::int64_t>(mPick.mBacklogTokens) },
        { "expected_ms", ToMilliseconds(mPick.mExpectedWait) },
        { "longest_pause_ms", ToMilliseconds(mAnswer.LongestPause()) },
        { "framing", FramingText() },
        { "first_byte_ms", ToMilliseconds(mFirstByte.value_or(duration{})) },
        { "total_ms", ToMilliseconds(now - mExchange->Arrival()) },
        { "configuration",
          mTable ? static_cast<std::int64_t>(mTable->Document().mVersion)
                 : 0 } });
  }

  relay_dispatcher& mDispatcher;
  caller_exchange_ptr mExchange;
  // Whether the request was forwarded by another instance.
  bool mIsForwarded;
  routing_table_ptr mTable;
  boost::asio::steady_timer mTimer;
  relay_request mRelayRequest;
  const route* mRoute = nullptr;
  const routed_team* mTeam = nullptr;
  const pool_name* mPool = nullptr;
  request_profile mProfile;
  request_fingerprint mFingerprint;
  // Identifies this submission among those of the same content.
  std::uint64_t mTicket;
  // Since when the request waits for another submission of the same content.
  std::optional<time_point> mHeldSince;
  class_name mMetricsClass;
  std::shared_ptr<const std::string> mBody;

  // The current attempt.
  relay_attempt_ptr mAttempt;
  relay_pick mPick;
  // The instance to which the request is forwarded; empty while it is sent to
  // an endpoint.
  std::string mPeer;
  // Endpoint of the next attempt, if it has been chosen already.
  std::optional<relay_pick> mPlannedPick;
  time_point mSentAt{};
  time_point mLastByte{};
  // Whether the attempt is counted as in flight in the pool.
  bool mChargedToPool = false;
  bool mFirstByteReceived = false;
  // Endpoints tried by the attempts of the request so far. The members from
  // `mTriedEndpoints` on hold state over all attempts.
  std::vector<endpoint_name> mTriedEndpoints;
  // Instances to which the request was forwarded so far.
  std::vector<std::string> mTriedPeers;
  // Whether the first attempt goes to another instance, if there is one.
  bool mForwardFirst = false;
  std::uint32_t mAttempts = 0;
  std::uint32_t mUnsent = 0;
  duration mUnsentTime{};
  bool mMayHaveRun = false;
  // Whether the next retry has already been charged to the retry budget.
  bool mRetryCharged = false;
  relayed_answer mAnswer;
  // The HTTP status of this instance's own error response; 0 if there is none.
  unsigned mRefusalStatus = 0;
  std::optional<duration> mFirstByte;
  bool mDone = false;
};

} // namespace

void
StartRelaySession(relay_dispatcher& aDispatcher, caller_exchange_ptr aExchange)
{
  boost::intrusive_ptr<relay_session>(
    new relay_session(aDispatcher, std::move(aExchange), false))
    ->Start();
}

void
StartForwardedSession(relay_dispatcher& aDispatcher,
                      caller_exchange_ptr aExchange)
{
  boost::intrusive_ptr<relay_session>(
    new relay_session(aDispatcher, std::move(aExchange), true))
    ->Start();
}

} // namespace thornhollow
