#include "thornhollow/daemon/relay_session.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "thornhollow/daemon/final_refusal.h"
#include "thornhollow/daemon/internal/relay_session.h"
#include "thornhollow/daemon/relay_profile.h"
#include "thornhollow/net/clock.h"
#include "thornhollow/request/forwarding_headers.h"

namespace thornhollow {
namespace {

// A request whose timeout is below this fraction of its route's timeout counts
// as a retry: the caller has spent the rest on an earlier attempt. Refused
// callers are told to wait at least a tenth of most timeouts before they retry,
// so a retry has at most this fraction left.
constexpr double kRetryTimeoutFraction = 0.9;

} // namespace

relay_session::relay_session(relay_dispatcher& aDispatcher,
                             caller_exchange_ptr aExchange,
                             bool aForwarded)
  : mDispatcher(aDispatcher)
  , mExchange(std::move(aExchange))
  , mIsForwarded(aForwarded)
  , mTable(aDispatcher.Table())
  , mTimer(aDispatcher.Io())
  , mTicket(aDispatcher.Crashes().NextTicket())
  , mAnswer(mExchange, aForwarded, aDispatcher.Memory())
{
  mDispatcher.OnSessionBegin(*this);
}

relay_session::~relay_session()
{
  mDispatcher.OnSessionEnd();
}

void
relay_session::Start()
{
  const caller_request& request = mExchange->Request();
  mRelayRequest = ReadRelayRequest(mDispatcher.Names(), request.mHeaders);
  if (mIsForwarded && !TakeForwardingFacts()) {
    Refuse(error_kind::kNotReady);
    return;
  }
  if (const auto error = FindRoute()) {
    Refuse(FinalIfCurrent(
      *error, mDispatcher.MayBeBehind(Now()), mDispatcher.Metrics()));
    return;
  }
  mProfile = ProfileOf(mRelayRequest, *mRoute, EffectiveTier(*mRoute, mTeam));
  const duration timeout = std::min(
    mRelayRequest.mTimeLeft.value_or(mRoute->mTimeout), mRoute->mTimeout);
  if (!mDispatcher.Accepts(timeout, Now())) {
    Refuse(error_kind::kDraining);
    return;
  }
  mProfile.mVersion = mOrigin;
  mProfile.mTeam = mTeam == nullptr ? team_name() : mTeam->mName;
  mFeatures = ReadFeatures();
  const relay_pool* pool = mDispatcher.Pool(*mPool);
  if (!IsStream(mRoute->mKind) && (pool == nullptr || !pool->ServesEngines())) {
    // What no engine generates may run at two endpoints: the second one gets as
    // long as the first.
    mHandover = silence_handover({ .mMaxOverlap = SilenceTimeout(*mRoute) });
  }
  mProfile.mDeadline = mExchange->Arrival() + timeout;
  mProfile.mIsRetry =
    ToSeconds(timeout) < ToSeconds(mRoute->mTimeout) * kRetryTimeoutFraction;
  mMetricsClass = MetricsClass(*mRoute, mProfile.mTier);
  mDispatcher.Metrics().OnRequest(mMetricsClass);
  if (mDispatcher.Crashes().IsRejected(mFeatures, Now())) {
    RejectSuspect();
    return;
  }
  mBody = SharedBody(mExchange);
  mExchange->OnLeft([self = boost::intrusive_ptr<relay_session>(this)] {
    self->OnCallerLeft();
  });
  if (ContinuesUnknownStream()) {
    FindOrigin();
    return;
  }
  Admit();
}

request_features
relay_session::ReadFeatures() const
{
  const caller_request& request = mExchange->Request();
  const request_fingerprint content =
    FingerprintOf({ .mMethod = request.mMethod,
                    .mTarget = request.mTarget,
                    .mTeam = mProfile.mTeam.Text(),
                    .mBody = request.mBody });
  // The last part of a prompt is the request's own, as its content is.
  std::vector<std::string_view> shared;
  for (const prompt_part& each : mRelayRequest.mParts) {
    shared.push_back(each.mId);
  }
  if (!shared.empty()) {
    shared.pop_back();
  }
  return { ContentFeature(content), PartFeatures(mPool->Text(), shared) };
}

void
relay_session::Admit()
{
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
  if (pool == nullptr || mForwardFirst) {
    StartNextAttempt();
    return;
  }
  const std::vector<endpoint_name> best =
    pool->Shortlist(mProfile, load_exchange::kAskedEndpoints, Now());
  if (best.size() < 2) {
    AdmitAmong(best);
    return;
  }
  mDispatcher.LearnLoads(
    *mPool, best, [self = boost::intrusive_ptr<relay_session>(this), best] {
      if (!self->mDone) {
        self->AdmitAmong(best);
      }
    });
}

void
relay_session::AdmitAmong(const std::vector<endpoint_name>& aEndpoints)
{
  if (relay_pool* pool = mDispatcher.Pool(*mPool)) {
    const auto verdict = pool->Admit(
      mProfile, mProfile.mDeadline - mExchange->Arrival(), Now(), aEndpoints);
    if (const auto* refused = std::get_if<admission_refusal>(&verdict)) {
      LogRejected(*refused);
      Refuse(refused->mKind, refused->mRetryAfter);
      return;
    }
    mPlannedPick = std::get<std::optional<relay_pick>>(verdict);
  }
  StartNextAttempt();
}

bool
relay_session::TakeForwardingFacts()
{
  const auto facts = ReadForwardingFacts(mExchange->Request().mHeaders);
  if (!facts || !mTable ||
      mTable->Document().mVersion < facts->mConfiguration) {
    return false;
  }
  mAttempts = facts->mAttempts;
  if (facts->mWantsAttempts) {
    mAttemptsKnown = mAttempts + 1;
  }
  mOrigin = facts->mVersion;
  return true;
}

std::optional<error_kind>
relay_session::FindRoute()
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
  mPool = routing_table::SelectPool(*mRoute, Hash64(mRelayRequest.mId.Text()));
  return mPool == nullptr ? std::optional(error_kind::kNoEndpoint)
                          : std::nullopt;
}

void
relay_session::RejectSuspect()
{
  mDispatcher.Crashes().OnRejected(mRelayRequest.mId, mFeatures);
  if (mMayHaveRun) {
    GiveUp(FinalError(Progress()), give_up_reason::kHeldBack);
    return;
  }
  Refuse(error_kind::kRequestEndsEndpoints,
         mDispatcher.Crashes().RejectionTime(mFeatures, Now()));
}

void
relay_session::GiveUpUnsent(error_kind aKind, give_up_reason aReason)
{
  GiveUp(mMayHaveRun ? FinalError(Progress()) : aKind, aReason);
}

void
relay_session::GiveUp(error_kind aKind, give_up_reason aReason)
{
  mGaveUpFor = aReason;
  if (mAnswer.Begun()) {
    mDispatcher.Metrics().OnEvent("stream_cut_" + std::string(Name(aReason)));
    mDispatcher.Metrics().OnRefused(error_kind::kStreamBroken);
    mAnswer.SendAbort();
    Finish("broken");
    return;
  }
  Refuse(aKind);
}

void
relay_session::Refuse(error_kind aKind, std::optional<duration> aRetryAfter)
{
  mDispatcher.Metrics().OnRefused(aKind);
  const bool noneTook =
    aKind == error_kind::kNoEndpoint || aKind == error_kind::kEndpointDeclined;
  if (!aRetryAfter && noneTook && mPool != nullptr) {
    aRetryAfter = mDispatcher.OutOfServiceLeft(*mPool, Now());
  }
  if (!aRetryAfter && noneTook && mPool != nullptr) {
    aRetryAfter = mDispatcher.RestLeft(*mPool, mProfile, Now());
  }
  if (!aRetryAfter && aKind == error_kind::kEndpointsAtBound) {
    aRetryAfter = mDispatcher.BoundLeft(*mPool, mProfile, Now());
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

void
relay_session::OnCallerLeft()
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

void
relay_session::Finish(std::string_view aOutcome)
{
  mDone = true;
  mTimer.cancel();
  if (mStandby) {
    DropStandby(attempt_end::kCancelled, "the request has ended");
  }
  LeaveRoomQueue();
  mDispatcher.Crashes().OnSendEnded(mFeatures, mTicket, Now());
  mExchange->OnLeft(nullptr);
  ReportStreamEnded();
  LogOutcome(aOutcome);
  mDispatcher.Metrics().OnEvent("answer_ended_by_" +
                                std::string(Name(EndAtCaller())));
  if (aOutcome == "answered") {
    mDispatcher.Metrics().OnCompleted(mMetricsClass, mAnswer.Events());
  }
}

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
