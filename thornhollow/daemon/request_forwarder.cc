#include "thornhollow/daemon/request_forwarder.h"

#include <memory>
#include <random>
#include <utility>
#include <variant>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "thornhollow/daemon/caller_reply.h"
#include "thornhollow/daemon/load_poller.h"
#include "thornhollow/daemon/relayed_answer.h"
#include "thornhollow/net/clock.h"
#include "thornhollow/net/http_fetch.h"
#include "thornhollow/net/relay_attempt.h"
#include "thornhollow/request/forwarding_headers.h"

namespace thornhollow {
namespace {

// Instances are a few milliseconds away; a lost SYN is retransmitted only after
// one second.
constexpr duration kConnectTimeout = Milliseconds(300);
// Instances to which one request is forwarded at most.
constexpr std::size_t kMaxForwards = 4;
// Polls in a row that no engine of a pool answered, after which the pool is
// checked. One engine that ended answers none of its own.
constexpr std::uint32_t kUnansweredPolls = 2;
// When to come back after a stream that broke.
constexpr duration kRetryDelay = Seconds(1);
constexpr std::string_view kEventStream = "text/event-stream";
// Instances name requests themselves, so that no identifier is echoed.
constexpr std::string_view kNoEcho = "Thornhollow-Forward-Id";

relay_names
ForwardNames()
{
  relay_names names;
  names.mRequestId = kNoEcho;
  return names;
}

// Each forwarded request has a connection of its own: without an identifier its
// answer is told by its place.
endpoint_connection_settings
NoneKept()
{
  endpoint_connection_settings settings;
  settings.mMaxIdle = 0;
  return settings;
}

// Whether another instance may serve a request that one refused for this
// reason.
bool
MayServeElsewhere(error_kind aKind)
{
  return aKind == error_kind::kNotReady || aKind == error_kind::kDraining ||
         aKind == error_kind::kTooManyConnections ||
         aKind == error_kind::kMemoryFull;
}

bool
IsEventStream(const relay_answer_head& aHead)
{
  return HeaderValue(aHead.mHeaders, "Content-Type").starts_with(kEventStream);
}

} // namespace

// One request on its way to other instances, and its answer.
class forwarded_call
  : public boost::intrusive_ref_counter<forwarded_call,
                                        boost::thread_unsafe_counter>
{
public:
  forwarded_call(request_forwarder& aOwner,
                 request_to_forward aRequest,
                 request_forwarder::unserved_handler aUnserved)
    : mOwner(aOwner)
    , mRequest(std::move(aRequest))
    , mUnserved(std::move(aUnserved))
    , mTimer(aOwner.mIo)
    , mAnswer(mRequest.mExchange, false, nullptr)
    , mBody(SharedBody(mRequest.mExchange))
  {
  }

  void Start()
  {
    const boost::intrusive_ptr<forwarded_call> self(this);
    mRequest.mExchange->OnLeft([self] { self->OnCallerLeft(); });
    mTimer.expires_at(mRequest.mDeadline);
    mTimer.async_wait([self](const boost::system::error_code& aError) {
      if (!aError && !self->mDone) {
        self->OnDeadline();
      }
    });
    SendToNext();
  }

private:
  void SendToNext()
  {
    const auto peer = mTried.size() < kMaxForwards
                        ? mOwner.mReach.ChoosePeer(mRequest.mPool, mTried)
                        : std::nullopt;
    if (!peer) {
      OnNobodyLeft();
      return;
    }
    mPeer = *peer;
    mTried.push_back(mPeer);
    mOwner.mReach.OnForwarded(mPeer);
    mOwner.mMetrics.OnEvent("request_forwarded");
    mAnswer.BeginAttempt();
    mAttempt = StartRelayAttempt(
      mOwner.mConnections,
      mOwner.mNames,
      MakeCall(),
      [self = boost::intrusive_ptr<forwarded_call>(this)](
        const relay_event& aEvent) { self->OnEvent(aEvent); });
  }

  relay_call MakeCall() const
  {
    const caller_request& request = mRequest.mExchange->Request();
    relay_call call;
    call.mWhere = { mPeer, 0 };
    call.mMethod = request.mMethod;
    call.mTarget = request.mTarget;
    call.mHeaders = ForwardHeaders(mOwner.mNames,
                                   request.mHeaders,
                                   mRequest.mDeadline - Now(),
                                   "",
                                   { 0, mOwner.mLink.mConfiguration() });
    call.mBody = mBody;
    call.mConnectTimeout = kConnectTimeout;
    return call;
  }

  void OnEvent(const relay_event& aEvent)
  {
    if (const auto* head = std::get_if<relay_answer_head>(&aEvent)) {
      OnHead(*head);
    } else if (const auto* bytes = std::get_if<relay_answer_bytes>(&aEvent)) {
      OnBytes(bytes->mBytes);
    } else if (std::holds_alternative<relay_answer_end>(aEvent)) {
      OnEnd();
    } else if (const auto* failed = std::get_if<relay_failure>(&aEvent)) {
      OnFailure(failed->mFailure, failed->mDetail);
    }
  }

  void OnHead(const relay_answer_head& aHead)
  {
    const auto refused = ReadForwardingError(aHead.mHeaders);
    if (refused && MayServeElsewhere(*refused)) {
      LogFailure(std::string(Name(*refused)));
      mAttempt->Abandon();
      EndAttempt();
      SendToNext();
      return;
    }
    // The refusal speaks for that instance alone: one that had the request
    // before may have run it.
    if (refused && mMayHaveRun && AnswerFor(*refused).mRan == ran::kNo) {
      LogFailure(std::string(Name(*refused)));
      mAttempt->Abandon();
      EndAttempt();
      Refuse(error_kind::kEndpointConnectionLost);
      return;
    }
    mAnswer.OnHead(
      aHead,
      { IsEventStream(aHead), ReadForwardingOpenEnded(aHead.mHeaders), {} });
  }

  void OnBytes(const std::string& aBytes)
  {
    const time_point now = Now();
    if (const auto fault = mAnswer.OnBytes(aBytes, now)) {
      mAttempt->Close();
      OnFailure(attempt_failure::kGarbled, std::string(*fault));
      return;
    }
    if (mAnswer.Begun() && !std::exchange(mFirstSent, true)) {
      mOwner.mMetrics.OnFirstToken(mRequest.mClass,
                                   now - mRequest.mExchange->Arrival());
    }
  }

  void OnEnd()
  {
    if (mAnswer.ReceivedFraming() == answer_framing::kConnection) {
      // The other instance frames what it has judged.
      OnFailure(attempt_failure::kBroken, "its connection ended");
      return;
    }
    if (const answer_end end = mAnswer.JudgeEnd(); IsBrokenOff(end)) {
      OnFailure(attempt_failure::kBroken, std::string(Describe(end)));
      return;
    }
    EndAttempt();
    mAnswer.SendEnd(Now());
    mOwner.mMetrics.OnCompleted(mRequest.mClass, mAnswer.Events());
    Finish();
  }

  void OnFailure(attempt_failure aFailure, const std::string& aDetail)
  {
    LogFailure(aDetail);
    EndAttempt();
    if (IsUnconnected(aFailure)) {
      mOwner.mMetrics.OnEvent("forward_connect_failed");
    }
    mMayHaveRun = mMayHaveRun || !CertainlyNotRun(aFailure);
    if (mAnswer.Begun()) {
      EndStreamWith(error_kind::kStreamBroken);
    } else if (!mMayHaveRun || mRequest.mIdempotent) {
      SendToNext();
    } else {
      Refuse(error_kind::kEndpointConnectionLost);
    }
  }

  void OnNobodyLeft()
  {
    if (mMayHaveRun) {
      Refuse(error_kind::kEndpointConnectionLost);
      return;
    }
    const caller_exchange_ptr exchange = mRequest.mExchange;
    Finish();
    mUnserved(exchange);
  }

  void OnDeadline()
  {
    const bool mayHaveRun = mMayHaveRun || (mAttempt && mAttempt->Sent());
    LogFailure("deadline");
    if (mAttempt) {
      mAttempt->Close();
    }
    EndAttempt();
    if (mAnswer.Begun()) {
      EndStreamWith(error_kind::kDeadlineExpiredRunning);
    } else {
      Refuse(mayHaveRun ? error_kind::kDeadlineExpiredRunning
                        : error_kind::kDeadlineUnmeetable);
    }
  }

  void OnCallerLeft()
  {
    if (mDone) {
      return;
    }
    if (mAttempt) {
      mAttempt->Close();
    }
    EndAttempt();
    mOwner.mMetrics.OnRefused(error_kind::kCallerLeft);
    Finish();
  }

  void Refuse(error_kind aKind)
  {
    mRequest.mExchange->Send(mOwner.mRefusal(aKind));
    Finish();
  }

  // Only whole events have been sent, so that the error is an event of its own.
  void EndStreamWith(error_kind aKind)
  {
    mOwner.mMetrics.OnRefused(aKind);
    mRequest.mExchange->Send(
      stream_text{ ErrorEvent(aKind, kRetryDelay, request_id()) });
    mRequest.mExchange->Send(stream_end{});
    Finish();
  }

  void EndAttempt()
  {
    if (!mPeer.empty()) {
      mOwner.mReach.OnForwardEnded(std::exchange(mPeer, {}));
    }
  }

  void Finish()
  {
    mDone = true;
    mTimer.cancel();
    mRequest.mExchange->OnLeft(nullptr);
  }

  void LogFailure(const std::string& aDetail)
  {
    mOwner.mLog.WriteRequest(log_level::kInfo,
                             "forward_failed",
                             { { "pool", mRequest.mPool.Text() },
                               { "class", mRequest.mClass.Text() },
                               { "via", mPeer },
                               { "detail", aDetail } });
  }

  request_forwarder& mOwner;
  request_to_forward mRequest;
  request_forwarder::unserved_handler mUnserved;
  boost::asio::steady_timer mTimer;
  relayed_answer mAnswer;
  std::shared_ptr<const std::string> mBody;
  relay_attempt_ptr mAttempt;
  // The instance that has the request now, and those that had it.
  std::string mPeer;
  std::vector<std::string> mTried;
  bool mMayHaveRun = false;
  bool mFirstSent = false;
  bool mDone = false;
};

request_forwarder::request_forwarder(boost::asio::io_context& aIo,
                                     json_log& aLog,
                                     metrics& aMetrics)
  : mIo(aIo)
  , mLog(aLog)
  , mMetrics(aMetrics)
  , mReach(aIo, aLog, aMetrics)
  , mOffers(forward_offers_settings{}, std::random_device()())
  , mConnections(aIo, NoneKept())
  , mNames(ForwardNames())
{
  mReach.SetPeers(
    [this](const pool_name& aPool) { return mOffers.Peers(aPool, Now()); });
}

void
request_forwarder::SetEndpoints(
  std::function<endpoint_reach::target_list(const pool_name&)> aEndpoints,
  std::function<bool(const pool_name&)> aIsEnginePool)
{
  mReach.SetEndpoints(std::move(aEndpoints));
  mReach.SetProbe([this, isEnginePool = std::move(aIsEnginePool)](
                    const pool_name& aPool,
                    const probe_target& aTarget,
                    duration aTimeout,
                    std::function<void(endpoint_probe)> aDone) {
    if (isEnginePool(aPool)) {
      ProbeEngine(aTarget, aTimeout, std::move(aDone));
    } else {
      ProbeEndpoint(mIo, aTarget.mProcess.mAddress, aTimeout, std::move(aDone));
    }
  });
}

// A connection that is accepted and then broken proves no contact.
void
request_forwarder::ProbeEngine(const probe_target& aTarget,
                               duration aTimeout,
                               std::function<void(endpoint_probe)> aDone)
{
  fetch_call call;
  call.mAddress = aTarget.mProcess.mAddress;
  call.mTarget = std::string(kLoadPath);
  call.mTimeout = aTimeout;
  Fetch(mIo, call, [done = std::move(aDone)](const fetch_outcome& aOutcome) {
    done({ aOutcome ? probe_verdict::kAccepts : probe_verdict::kUnknown,
           nullptr });
  });
}

void
request_forwarder::OnPolled(const endpoint& aEndpoint,
                            bool aAnswered,
                            time_point aNow)
{
  for (const pool_name& each : aEndpoint.mPools) {
    std::uint32_t& unanswered = mUnanswered[each];
    unanswered = aAnswered ? 0 : unanswered + 1;
    if (aAnswered) {
      mReach.OnAnswer(each, true, aNow);
    } else if (unanswered >= kUnansweredPolls) {
      mReach.OnConnectFailed(each, aNow);
    }
  }
}

void
request_forwarder::OnAttemptFailed(const pool_name& aPool, time_point aNow)
{
  mReach.OnTrouble(aPool, aNow);
}

bool
request_forwarder::ShouldForward(const pool_name& aPool, time_point aNow)
{
  // One without evidence for or against may serve: a service that nobody has
  // called lately isn't polled.
  return mReach.ShouldForward(aPool, aNow) &&
         !mOffers.Peers(aPool, aNow).empty();
}

void
request_forwarder::Forward(request_to_forward aRequest,
                           unserved_handler aUnserved)
{
  boost::intrusive_ptr<forwarded_call>(
    new forwarded_call(*this, std::move(aRequest), std::move(aUnserved)))
    ->Start();
}

bool
request_forwarder::IsForwarded(const caller_request& aRequest)
{
  return ReadForwardingFacts(aRequest.mHeaders).has_value();
}

bool
request_forwarder::MayServe(const caller_request& aRequest) const
{
  const auto facts = ReadForwardingFacts(aRequest.mHeaders);
  return !facts || facts->mConfiguration <= mLink.mConfiguration();
}

forward_offer
request_forwarder::Offer(const forward_query& aQuery,
                         std::size_t aInProgress,
                         time_point aNow) const
{
  const auto reached = mReach.Reached(aQuery.mPool, aNow);
  if (!reached.value_or(true) ||
      mLink.mConfiguration() < aQuery.mConfiguration) {
    return {};
  }
  return { mCallerAddress,
           reached.value_or(false),
           static_cast<std::uint32_t>(aInProgress) };
}

void
request_forwarder::Tick(time_point aNow)
{
  mReach.Tick(aNow);
  for (const pool_name& each : mReach.PoolsOutOfContact()) {
    AskOthers(each, aNow);
  }
}

void
request_forwarder::AskOthers(const pool_name& aPool, time_point aNow)
{
  const auto asked = mOffers.TakeQuestions(aPool, mLink.mCandidates(), aNow);
  for (const forward_candidate& each : asked) {
    mMetrics.OnEvent("forward_offer_asked");
    mLink.mAsk(each.mName,
               { aPool, mLink.mConfiguration() },
               [this, aPool, each](std::optional<forward_offer> aOffer) {
                 if (aOffer) {
                   mOffers.OnOffer(aPool, each, *aOffer, Now());
                 }
               });
  }
}

} // namespace thornhollow
