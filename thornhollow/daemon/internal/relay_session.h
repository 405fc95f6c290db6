// The state of one relayed request and its steps; each step has a source file
// of its own. See daemon/relay_session.h.
#ifndef THORNHOLLOW_DAEMON_INTERNAL_RELAY_SESSION_H_
#define THORNHOLLOW_DAEMON_INTERNAL_RELAY_SESSION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "thornhollow/base/request_feature.h"
#include "thornhollow/daemon/relay_dispatcher.h"
#include "thornhollow/daemon/relayed_answer.h"
#include "thornhollow/net/caller_server.h"
#include "thornhollow/net/relay_attempt.h"
#include "thornhollow/request/open_end.h"
#include "thornhollow/request/relay_retry.h"
#include "thornhollow/request/silence_handover.h"

namespace thornhollow {

class relay_session final
  : public boost::intrusive_ref_counter<relay_session,
                                        boost::thread_unsafe_counter>
  , public relayed_work
{
public:
  // `aForwarded`: the request comes from another instance.
  relay_session(relay_dispatcher& aDispatcher,
                caller_exchange_ptr aExchange,
                bool aForwarded);
  relay_session(const relay_session&) = delete;
  relay_session& operator=(const relay_session&) = delete;
  ~relay_session();

  // Answers the request, possibly asynchronously.
  void Start();

  void OnShutdown() override;

private:
  // ---- Beginning and end: relay_session.cc

  // Returns whether this instance may decide on the forwarded request: its
  // configuration must not be older than the one by which the request was
  // accepted, or a new route would be unknown and a removed token valid.
  bool TakeForwardingFacts();
  // Looks up route, team and pool. Returns the reason for a refusal, or nullopt
  // on success.
  std::optional<error_kind> FindRoute();
  request_features ReadFeatures() const;
  // Admits the request, or refuses it, and makes its first attempt. Asks before
  // that what other instances have at the endpoints that seem best.
  void Admit();
  void AdmitAmong(const std::vector<endpoint_name>& aEndpoints);
  // Ends a request that ends the endpoints that run it.
  void RejectSuspect();
  // Ends a request of which no attempt is in progress: with `aKind`, unless an
  // earlier attempt may have run it.
  void GiveUpUnsent(error_kind aKind, give_up_reason aReason);
  // Ends the request with an error response to the caller.
  void GiveUp(error_kind aKind, give_up_reason aReason);
  void Refuse(error_kind aKind,
              std::optional<duration> aRetryAfter = std::nullopt);
  void OnCallerLeft();
  void Finish(std::string_view aOutcome);

  // ---- Choosing where to send it, and sending: relay_session_attempt.cc

  void StartNextAttempt();
  // Forgets what is known of the attempt before.
  void ResetAttempt(time_point aNow);
  // Whether the next attempt goes to another instance rather than an endpoint.
  // A request that was forwarded stays with other instances while some are
  // left.
  bool ShouldForward(time_point aNow);
  // Sends the request to another instance that reaches the pool; returns false
  // if there is none.
  bool Forward(time_point aNow);
  void ForwardTo(const std::string& aPeer, time_point aNow);
  relay_call PeerCall(const std::string& aPeer, std::uint32_t aAttempts) const;
  // Tells the forwarding instance, before the request is sent on, to how many
  // endpoints it will have been sent. Guards against a request that runs at
  // more endpoints than its route allows where this instance stands still after
  // that and the other one has the request served elsewhere.
  void TellAttempts(std::uint32_t aAttempts);
  // The last event that the caller has of a stream.
  const std::string& ResumeAfter() const;
  // Whether the request may be sent to the endpoint now. If not, the request
  // waits or has been ended.
  bool MaySend(const relay_pick& aPick, std::size_t aPoolSize, time_point aNow);
  suspect_attempt SuspectAttempt(const relay_pick& aPick,
                                 std::size_t aPoolSize,
                                 std::uint64_t aTicket) const;
  // No endpoint takes the request now: another instance may have room at the
  // bounds that they named, or the request waits for some; otherwise it ends.
  void OnNoEndpoint(const relay_pool* aPool, time_point aNow);
  bool ForwardForRoom(time_point aNow);
  bool WaitForRoom(time_point aNow);
  void OnRoomVerdict(room_verdict aVerdict);
  void LeaveRoomQueue();
  // Chooses an endpoint that was not tried; one that did not respond lately
  // only if there is no other.
  std::optional<relay_pick> ChooseResponsive(relay_pool& aPool,
                                             time_point aNow);
  void SetUnresponsive(const endpoint_name& aEndpoint);
  // Returns the endpoint of the next attempt. The endpoint of the first attempt
  // was chosen when the request was admitted.
  std::optional<relay_pick> NextEndpoint(relay_pool* aPool, time_point aNow);
  relay_call EndpointCall(const relay_pick& aPick);
  // Returns everything but the headers.
  relay_call MakeCall(endpoint_process aWhere) const;
  // Returns the attempt, whose events come to `OnEvent` with `aNumber`.
  relay_attempt_ptr StartAttempt(relay_call aCall, std::uint64_t aNumber);
  void OnEvent(std::uint64_t aNumber, relay_event& aEvent);
  void OnAttemptEvent(relay_event& aEvent);
  bool IsAtPeer() const { return !mPeer.empty(); }

  // ---- The answer: relay_session_answer.cc

  void OnHead(relay_answer_head& aHead);
  // Whether the answer is taken, of which `aSuccess` tells the status. If not,
  // the attempt has been ended.
  bool AcceptsHead(const relay_answer_head& aHead, bool aSuccess);
  // Takes what the endpoint says of itself. Returns its process if it leaves.
  std::optional<endpoint_process_hash> TakeMarks(
    const relay_answer_head& aHead);
  // The other instance itself ended the request, rather than an endpoint.
  void OnPeerRefused(error_kind aKind, std::optional<duration> aRetryAfter);
  // Whether a server error may be retried at another endpoint. If so, charges
  // the retry to the budget; otherwise the caller receives the error unchanged.
  bool TakeRetryForServerError();
  void OnBytes(const std::string& aBytes);
  void RecordFirstByte();
  void RecordPause();
  // Tells how far the attempt's answer has got, as evidence of whether its
  // request ends endpoints.
  void RecordProgress(run_progress aProgress);
  void OnAnswerEnd();
  // Whether an answer that has nothing of a stream shows that the stream was
  // whole before.
  bool ConfirmsEnd(answer_end aEnd) const;
  // The answer ended with its connection: finds out whether somebody vouches
  // for that end, and ends the answer, or goes on elsewhere, accordingly.
  void JudgeOpenEnd();
  void OnOpenEndJudged(open_end_ground aGround, duration aTook);
  // The attempt's answer is taken as its endpoint framed it.
  void CompleteAnswer();

  // ---- Streams and their versions: relay_session_stream.cc

  // Whether the caller continues a stream, and it is yet to be found out at
  // which version it began.
  bool ContinuesUnknownStream() const;
  void FindOrigin();
  void OnOrigin(const origin_verdict& aVerdict);
  // Refuses to continue the caller's stream.
  void RefuseToContinue(error_kind aKind, const origin_verdict& aVerdict);
  // Notes which version began the stream, once its first event was sent.
  void RecordOrigin();
  // Asks which process began it; unknown until that has answered.
  void ConfirmOrigin(time_point aConnectionMadeAt);
  // `aEndpoint`: the one that began it, if its version is only known from the
  // list; empty otherwise.
  void TakeOrigin(endpoint_version_hash aVersion,
                  const endpoint_name& aEndpoint);
  // Whether the request must not be sent before it is known that the listed
  // process gets it.
  bool MustConfirmFirst() const;
  void ReportStreamBegun(const endpoint_name& aEndpoint);
  void ReportStreamEnded();
  // The version of endpoints that brings the present attempt's answer.
  endpoint_version_hash AttemptVersion() const;
  // Keys of the stream by this submission, and by the one that the caller
  // names.
  stream_key OwnKey() const;
  stream_key ContinuedKey() const;

  // ---- Failed and silent attempts: relay_session_failure.cc

  relay_progress Progress(
    attempt_failure aFailure = attempt_failure::kLost) const;
  bool Sent() const;
  // Ends the current attempt and starts the next one or gives up, or goes on
  // with the standby attempt if that was sent. `aClose`: close the attempt's
  // connection instead of reading the rest of the answer.
  void OnFailure(attempt_failure aFailure,
                 const std::string& aDetail,
                 bool aClose);
  // Reports a failure that may mean that this instance is cut off from the
  // endpoints.
  void ReportContact(attempt_failure aFailure, const relay_pick& aPick);
  // Whether the endpoint's process may have ended under the request. The end of
  // an endpoint that is leaving is expected, and one that has produced output
  // for the request for long was not ended by it.
  bool MayHaveEndedEndpoint(attempt_failure aFailure) const;
  // An attempt under which its endpoint may have ended.
  lost_attempt LostAttempt(const relay_pick& aPick,
                           std::uint64_t aTicket,
                           run_progress aProgress) const;
  // Makes another attempt or gives up.
  void AfterFailure(attempt_failure aFailure, const relay_progress& aProgress);
  // Whether another attempt may follow failed connection attempts. Guards
  // against refusing a request within milliseconds when some of many endpoints
  // have crashed, as their hosts refuse connections immediately.
  bool MayRetryUnsent() const;
  // What keeps the request from another attempt; `kNone` if nothing does, and
  // the retry budget has been charged.
  give_up_reason ChargeRetry(const relay_progress& aProgress);
  // Reports the end of the current attempt to the pool, once for each attempt.
  void EndAttempt(attempt_end aEnd);
  // Counts an attempt at an endpoint of the pool, and its end, wherever the
  // load of the endpoint is known.
  void CountSent(relay_pool& aPool, const relay_pick& aPick, time_point aNow);
  void CountEnded(const relay_pick& aPick,
                  attempt_end aEnd,
                  bool aStarted,
                  time_point aSentAt);
  void ArmTimer();
  // Returns the time from which the current attempt counts as silent if no
  // bytes arrive before. A request that must not be repeated never counts as
  // silent, since it could not be sent elsewhere.
  time_point SilenceDeadline() const;
  // When the silence is to be looked at next.
  time_point NextSilenceCheck(time_point aNow) const;
  void OnTimer();
  bool CanRetryElsewhere() const;
  void OnDeadline();
  // Cancels what is in progress and ends the request.
  void EndUnfinished(error_kind aKind, give_up_reason aReason);

  // ---- From a silent attempt to another one: relay_session_handover.cc

  // An attempt beside the one that has fallen silent, at another endpoint or
  // instance. It begins once the endpoint has shown that it responds.
  struct standby_attempt
  {
    relay_attempt_ptr mAttempt;
    std::uint64_t mNumber = 0;
    relay_pick mPick;
    // Empty unless it is at another instance.
    std::string mPeer;
    std::uint64_t mTicket = 0;
    time_point mSentAt{};
    // Whether it is counted as in flight in the pool.
    bool mCharged = false;
    // Endpoints to which the other instance says that it sent the request.
    std::uint32_t mToldAttempts = 0;
  };

  // The attempt has exceeded its silence timeout.
  void OnSilent(time_point aNow);
  // Whether the silent attempt may be closed though the standby one, to which
  // the request was sent, has brought nothing yet.
  bool MaySwitchUnanswered() const;
  // Asks another endpoint whether it responds, and sends it the request then.
  // Returns false if there is none now.
  bool PrepareStandby(time_point aNow);
  bool StandByAtPeer(time_point aNow);
  bool StandByAt(const relay_pick& aPick, time_point aNow);
  void ConnectStandby();
  // Decides whether the standby attempt may be sent, on a connection that was
  // made at `aMadeAt`.
  void AllowStandby(std::uint64_t aNumber,
                    time_point aMadeAt,
                    std::function<void(bool)> aDone);
  void SendStandby(std::uint64_t aNumber,
                   const std::function<void(bool)>& aDone);
  bool ChargeStandby(time_point aNow);
  bool IsStandby(std::uint64_t aNumber) const
  {
    return mStandby && mStandby->mNumber == aNumber;
  }
  void OnStandbyEvent(relay_event& aEvent);
  void ReportStandbyLost(attempt_failure aFailure);
  void OnStandbyHead(relay_event& aEvent, relay_answer_head& aHead);
  std::optional<attempt_end> WhyNotInstead(
    const relay_answer_head& aHead) const;
  // Ends the standby attempt; the silent one goes on.
  void DropStandby(attempt_end aEnd, std::string_view aWhy);
  bool HasSentStandby() const
  {
    return mStandby && mStandby->mAttempt && mStandby->mAttempt->Sent();
  }
  // The attempt has sent something.
  void EndSilence();
  // Closes the silent attempt; the standby one takes its place.
  void SwitchToStandby();
  // The attempt has ended. The standby attempt takes its place if it was sent;
  // otherwise it is dropped. Returns whether it does.
  bool InstallStandby();

  // ---- Log lines: relay_session_log.cc

  void LogRejected(const admission_refusal& aRefusal);
  void LogNotContinued(error_kind aKind, const origin_verdict& aVerdict);
  void LogFailedAttempt(attempt_failure aFailure, const std::string& aDetail);
  void LogStandby(std::string_view aEvent,
                  const standby_attempt& aStandby,
                  std::string_view aWhy,
                  bool aSent);
  unsigned Status() const;
  std::string FramingText() const;
  // How the connection told the caller where the answer ends.
  caller_end EndAtCaller() const;
  void LogOutcome(std::string_view aOutcome);

  // ---- State

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
  request_features mFeatures;
  // Identifies this submission among those of the same content.
  std::uint64_t mTicket;
  // Since when the request waits for another submission of the same content.
  std::optional<time_point> mHeldSince;
  class_name mMetricsClass;
  std::shared_ptr<const std::string> mBody;

  // The current attempt, and its number among those of the request.
  relay_attempt_ptr mAttempt;
  std::uint64_t mAttemptNumber = 0;
  relay_pick mPick;
  // The version that brings the stream, as another instance tells.
  endpoint_version_hash mPeerVersion = kUnknownVersion;
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
  // Of the attempt, as evidence of whether its request ends endpoints.
  time_point mOutputAt{};
  run_progress mRunProgress = run_progress::kNoOutput;
  // What goes on beside the attempt while it is silent.
  silence_handover mHandover;
  std::optional<standby_attempt> mStandby;
  // Endpoints that did not respond, or did not take the place of a silent
  // attempt: they are passed over while there are others.
  std::vector<endpoint_name> mUnresponsive;
  std::uint64_t mLastAttemptNumber = 0;
  // Endpoints tried by the attempts of the request so far. The members from
  // `mTriedEndpoints` on hold state over all attempts.
  std::vector<endpoint_name> mTriedEndpoints;
  // Instances to which the request was forwarded so far.
  std::vector<std::string> mTriedPeers;
  // Whether the first attempt goes to another instance, if there is one.
  bool mForwardFirst = false;
  // Times that the request was forwarded only for room at the endpoints'
  // bounds.
  std::uint32_t mForwardsForRoom = 0;
  // While the request waits for room, and after that its place and the time
  // from which it waits no more.
  bool mWaitsForRoom = false;
  std::optional<room_ticket> mRoomTicket;
  time_point mRoomUntil{};
  std::uint32_t mAttempts = 0;
  // The number that the forwarding instance knows of; unset if it doesn't want
  // to be told.
  std::optional<std::uint32_t> mAttemptsKnown;
  std::uint32_t mUnsent = 0;
  duration mUnsentTime{};
  bool mMayHaveRun = false;
  // Why nothing more is tried; `kNone` while that isn't so.
  give_up_reason mGaveUpFor = give_up_reason::kNone;
  // Whether the next retry has already been charged to the retry budget.
  bool mRetryCharged = false;
  relayed_answer mAnswer;
  // Set while it is found out whether somebody vouches for the answer's end.
  bool mJudgesEnd = false;
  // A stream was broken off since nobody vouched for its end, after a whole
  // event, and nothing has followed so far.
  bool mEndIsOpen = false;
  // On which ground the last open end was judged, and how long that took; unset
  // if there was none.
  std::optional<open_end_ground> mOpenEndGround;
  duration mOpenEndTook{};
  // The HTTP status of this instance's own error response; 0 if there is none.
  unsigned mRefusalStatus = 0;
  std::optional<duration> mFirstByte;
  // Version of the endpoints that began the stream, and its name if this
  // instance knows it: set once an event of the stream is with the caller.
  // Nothing before, when any version may serve the request.
  std::optional<endpoint_version_hash> mOrigin;
  software_version mOriginName;
  // Whether the endpoint is being asked, and the next attempt waits for that.
  bool mOriginIsAsked = false;
  bool mAwaitsOrigin = false;
  // Whether the stream's beginning has been noted, to be told to the other
  // instances.
  bool mStreamReported = false;
  bool mDone = false;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_INTERNAL_RELAY_SESSION_H_
