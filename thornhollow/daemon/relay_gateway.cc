#include "thornhollow/daemon/relay_gateway.h"

#include <algorithm>
#include <ctime>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/handle_errors.hpp>

#include "thornhollow/daemon/drain_watch.h"
#include "thornhollow/daemon/metrics.h"
#include "thornhollow/daemon/operators_page.h"
#include "thornhollow/daemon/process_limits.h"
#include "thornhollow/daemon/relay_dispatcher.h"
#include "thornhollow/daemon/relay_peer_link.h"
#include "thornhollow/daemon/source_link.h"
#include "thornhollow/net/address.h"
#include "thornhollow/net/caller_server.h"
#include "thornhollow/net/clock.h"
#include "thornhollow/policy/clock_gap.h"
#include "thornhollow/request/forwarding_headers.h"

namespace thornhollow {
namespace {

using boost::system::error_code;

// The load balancer probes readiness once a second and removes an instance
// after two failed probes. For this long after a drain begins, new connections
// still arrive and are served; idle connections are closed when this time has
// passed.
constexpr duration kBalancerDetectionTime = Milliseconds(2'300);
// How long an instance reports a failed source call to its peers, during which
// one more instance of its domain reads the source. This period is longer than
// the source usually refuses calls, and short enough that the usual set of
// readers is soon restored.
constexpr duration kFailureReportPeriod = Seconds(5);
// How long the list of endpoints counts as current after the source's last
// answer to any instance. Without changes, a watch is answered after 20 s.
constexpr duration kListCurrentFor = Seconds(25);
// Part of the drain's grace period that is reserved for process exit, and for
// the answers to what has to be ended before.
constexpr duration kShutdownReserve = Milliseconds(400);
constexpr duration kFinalAnswerTime = Milliseconds(200);

// Maximum time that the body of a request may take to arrive; bodies are
// buffered completely.
constexpr duration kBodyTimeout = Seconds(10);

// Other instances reuse a connection for a shorter time than this.
constexpr duration kForwardIdleTimeout = Seconds(30);

server_limits
CallerLimits(const connection_limits& aConnections,
             const caller_connection_limits& aBounds)
{
  server_limits limits;
  limits.mMaxHeaderBytes = aBounds.mMaxHeaderBytes;
  limits.mMaxBodyBytes = aBounds.mMaxBodyBytes;
  Bound(limits, aConnections.mCallers, aConnections.mCallerSocketBytes);
  limits.mHeaderTimeout = aBounds.mHeaderTimeout;
  limits.mSendTimeout = aBounds.mHeaderTimeout + kBodyTimeout;
  limits.mIdleTimeout = aBounds.mIdleTimeout;
  return limits;
}

// Limits on requests that other instances forward. Headers are those of callers
// and what the forwarding instance adds.
server_limits
ForwardLimits(const connection_limits& aConnections,
              const caller_connection_limits& aBounds)
{
  constexpr std::uint32_t kAddedHeaderBytes = 1'024;
  server_limits limits = CallerLimits(aConnections, aBounds);
  Bound(limits, aConnections.mForwarded, aConnections.mForwardedSocketBytes);
  limits.mMaxHeaderBytes += kAddedHeaderBytes;
  limits.mIdleTimeout = kForwardIdleTimeout;
  return limits;
}

// Returns the time since boot, including time in suspend, which the steady
// clock does not count.
duration
TimeSinceBoot()
{
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::seconds(now.tv_sec) +
         std::chrono::nanoseconds(now.tv_nsec);
}

} // namespace

class relay_gateway::core
{
public:
  core(boost::asio::io_context& aIo,
       const relay_settings& aSettings,
       relay_adapter aAdapter,
       json_log& aLog,
       std::function<void()> aOnTick)
    : mIo(aIo)
    , mSettings(aSettings)
    , mLimits(ConnectionLimitsOf(aSettings))
    , mAdapter(std::move(aAdapter))
    , mLog(aLog)
    , mOnTick(std::move(aOnTick))
    , mDispatcher(aIo, aSettings, mAdapter.mNames, aLog, mMetrics)
    , mCallers(
        aIo,
        CallerLimits(mLimits, caller_connection_limits{}),
        [this](caller_exchange_ptr aExchange) {
          mDispatcher.Serve(std::move(aExchange));
        },
        [this](error_kind aKind) {
          return mDispatcher.AnswerUnreadable(aKind);
        })
    , mForwarded(
        aIo,
        ForwardLimits(mLimits, caller_connection_limits{}),
        [this](caller_exchange_ptr aExchange) {
          mDispatcher.ServeForwarded(std::move(aExchange));
        },
        [this](error_kind aKind) {
          whole_reply reply = mDispatcher.AnswerUnreadable(aKind);
          reply.mHeaders.push_back(
            { std::string(kForwardingErrorHeader), std::string(Name(aKind)) });
          return reply;
        })
    , mReadiness(
        aIo,
        OperatorServerLimits(mLimits.mOperators),
        [this](const caller_exchange_ptr& aExchange) {
          AnswerReadiness(aExchange);
        },
        [this](error_kind aKind) {
          return mDispatcher.AnswerUnreadable(aKind);
        })
    , mOperators(
        aIo,
        OperatorServerLimits(mLimits.mOperators),
        [this](const caller_exchange_ptr& aExchange) {
          AnswerOperators(aExchange);
        },
        [this](error_kind aKind) {
          return mDispatcher.AnswerUnreadable(aKind);
        })
    , mDocument(
        aIo,
        *mAdapter.mSource,
        mAdapter.mDocumentPrefix,
        "configuration",
        [this](const auto& aChanges) { OnDocument(aChanges); },
        aLog)
    , mEndpoints(
        aIo,
        *mAdapter.mSource,
        mAdapter.mEndpointPrefix,
        "endpoints",
        [this](const auto& aChanges) { OnEndpoints(aChanges); },
        aLog)
    , mRoster(roster_settings{})
    , mPeers(aIo, aSettings, PeerCallbacks(), aLog, mMetrics)
    , mTimer(aIo)
    , mDrain(aIo, { &mCallers, &mForwarded }, aLog)
  {
    mCallers.SetMemory(mDispatcher.Memory());
    mForwarded.SetMemory(mDispatcher.Memory());
    for (caller_server* each :
         { &mCallers, &mForwarded, &mReadiness, &mOperators }) {
      Report(*each, mLog, mMetrics);
    }
    mDispatcher.Processes().SetStatus(mAdapter.mStatusPath,
                                      mAdapter.mReadStartTime,
                                      mAdapter.mNames.mExpectedEndpoint);
    mDispatcher.Reach().SetPeers([this](const pool_name& aPool) {
      return mPeers.ForwardPeers(aPool, Now());
    });
    mDispatcher.Crashes().SetPeers({ [this] { return mPeers.Addresses(); },
                                     [this](const std::vector<std::string>& aTo,
                                            const crash_report& aReport) {
                                       mPeers.SendCrashReport(aTo, aReport);
                                     } });
    mDispatcher.Streams().SetPeers({ [this] { return mPeers.Instances(); },
                                     [this](const std::vector<std::string>& aTo,
                                            const origin_message& aMessage) {
                                       mPeers.SendOrigins(aTo, aMessage);
                                     },
                                     [this] { return ListIsCurrent(); } });
    mDispatcher.Loads().SetSender(
      [this](const std::string& aTo, const load_message& aMessage) {
        mPeers.SendLoad(aTo, aMessage);
      });
    mDispatcher.OnNewLeaving([this](endpoint_process_hash aProcess) {
      mPeers.SpreadLeaving(aProcess);
    });
    mDispatcher.Bounds().OnNewWord([this](endpoint_process_hash aProcess) {
      mPeers.SpreadBounds(aProcess);
    });
  }

  result<listening_addresses> Start()
  {
    BOOST_LEAF_AUTO(caller, mCallers.Listen(mSettings.mCallerAddress));
    if (!mSettings.mForwardAddress.empty()) {
      BOOST_LEAF_AUTO(forwarded, mForwarded.Listen(mSettings.mForwardAddress));
      BOOST_LEAF_AUTO(address, ParseAddress(forwarded));
      mForwardPort = address.mPort;
    }
    BOOST_LEAF_CHECK(mReadiness.Listen(mSettings.mReadinessAddress));
    BOOST_LEAF_AUTO(operators, mOperators.Listen(mSettings.mOperatorAddress));
    BOOST_LEAF_CHECK(mPeers.Open());
    mDocument.Start();
    mEndpoints.Start();
    mLog.Write(log_level::kInfo,
               "started",
               { { "name", mSettings.mName.Text() },
                 { "domain", mSettings.mDomain.Text() },
                 { "caller_address", caller },
                 { "operator_address", operators } });
    LogLimits(mLimits, mLog);
    // Deferred, because the caller writes the line with the listening addresses
    // to the same output, and it must precede all log lines.
    boost::asio::post(mIo, [this] { Tick(); });
    return listening_addresses{ caller, operators };
  }

  void BeginStop()
  {
    if (mDrain.Begun()) {
      return;
    }
    const duration grace = mSettings.mDrainGrace - kShutdownReserve;
    mDispatcher.BeginDrain({ Now(), grace });
    mCallers.CloseAfterAnswers();
    mForwarded.CloseAfterAnswers();
    mDrain.Begin(
      { .mBalancerDetectionTime = kBalancerDetectionTime,
        .mGrace = grace,
        .mFinalAnswerTime = kFinalAnswerTime },
      [this] { return mDispatcher.InProgress(); },
      [this] { mDispatcher.EndRequests(); },
      [this] { mIo.stop(); });
  }

private:
  relay_peer_callbacks PeerCallbacks()
  {
    relay_peer_callbacks callbacks;
    callbacks.mKnownRevisions = [this] {
      return known_revisions{ mDocument.Mirror().Revision(),
                              mEndpoints.Mirror().Revision() };
    };
    callbacks.mChangeRevisions = [this] {
      return known_revisions{ mDocument.Mirror().LastChangeRevision(),
                              mEndpoints.Mirror().LastChangeRevision() };
    };
    callbacks.mSourceFails = [this] { return Now() < mSourceFailsUntil; };
    callbacks.mSourceAnswered = [this] { return SourceAnswered(); };
    callbacks.mWork = [this] { return LocalWork(); };
    callbacks.mDemand = [this] { return mDispatcher.LocalViews(Now()); };
    callbacks.mForwarding = [this] {
      return mDispatcher.Forwarding(mForwardPort, Now());
    };
    callbacks.mOnMessage = [this](const domain_name& aDomain) {
      mDispatcher.OnPeerMessage(aDomain, Now());
    };
    callbacks.mCrashDigest = [this] { return mDispatcher.Crashes().Digest(); };
    callbacks.mOnCrashDigest = [this](const std::string& aPeer,
                                      std::uint64_t aDigest) {
      mDispatcher.Crashes().OnDigest(aPeer, aDigest);
    };
    callbacks.mOnCrashReport = [this](const crash_report& aReport) {
      mDispatcher.Crashes().OnReport(aReport);
    };
    AddEndpointWords(callbacks);
    callbacks.mOnLoad = [this](const std::string& aFrom,
                               const load_message& aMessage) {
      mDispatcher.Loads().OnMessage(aFrom, aMessage, Now());
    };
    callbacks.mOnOrigins = [this](const std::string& aFrom,
                                  const origin_message& aMessage) {
      mDispatcher.Streams().OnMessage(aFrom, aMessage);
    };
    callbacks.mOnItemsRequest = [this](const items_request& aRequest) {
      return MakeCopy(aRequest);
    };
    callbacks.mOnCopy = [this](const items_request& aRequest,
                               const items_answer& aCopy) {
      ApplyCopy(aRequest, aCopy);
    };
    return callbacks;
  }

  // What instances tell each other of endpoints: that they leave, what they
  // take, that their domains are back.
  void AddEndpointWords(relay_peer_callbacks& aOut)
  {
    aOut.mLatelyLeaving = [this](std::size_t aMaxCount) {
      return mDispatcher.LatelyLeaving(aMaxCount, Now());
    };
    aOut.mOnLeaving =
      [this](const std::vector<endpoint_process_hash>& aProcesses) {
        mDispatcher.OnLeavingReported(aProcesses, Now());
      };
    aOut.mBounds = [this](std::size_t aMaxCount) {
      return mDispatcher.Bounds().Words(aMaxCount, Now());
    };
    aOut.mBoundsOf = [this](endpoint_process_hash aProcess) {
      return mDispatcher.Bounds().WordOf(aProcess);
    };
    aOut.mOnBounds = [this](const std::vector<bounds_word>& aWords) {
      mDispatcher.OnBoundsReported(aWords);
    };
    aOut.mReturned = [this] { return mDispatcher.LatelyReturned(Now()); };
    aOut.mOnReturned = [this](const std::vector<returned_domain>& aReturned) {
      mDispatcher.OnReturnsReported(aReturned, Now());
    };
  }

  source_link& LinkOf(copied_items aWhich)
  {
    return aWhich == copied_items::kConfiguration ? mDocument : mEndpoints;
  }

  // Returns only the changes if the mirror still has them, otherwise all items.
  // The listing of a large site has 30 KB and a change 300 bytes, and every
  // change causes a copy to every instance.
  items_answer MakeCopy(const items_request& aRequest)
  {
    const item_mirror& mirror = LinkOf(aRequest.mWhich).Mirror();
    items_answer answer{ aRequest.mWhich, 0, false, {} };
    if (mirror.Revision() <= aRequest.mAfter) {
      return answer;
    }
    answer.mAt = mirror.Revision();
    if (aRequest.mWhich == copied_items::kEndpoints) {
      answer.mSourceBackFor = mRoster.TimeSinceRecovery(Now());
    }
    if (auto changes = mirror.ChangesSince(aRequest.mAfter)) {
      answer.mChangesOnly = true;
      answer.mItems = std::move(*changes);
      return answer;
    }
    for (const source_item& each : mirror.Items()) {
      answer.mItems.push_back({ each.mKey, each.mValue, each.mRevision });
    }
    return answer;
  }

  void ApplyCopy(const items_request& aRequest, const items_answer& aCopy)
  {
    source_link& link = LinkOf(aCopy.mWhich);
    // An instance that reads the source observes the source's recoveries itself
    // and ignores recoveries that peers report.
    if (aCopy.mSourceBackFor && !mReadsSource) {
      mRoster.OnRecoveryReported(Now() - *aCopy.mSourceBackFor);
    }
    if (aCopy.mChangesOnly) {
      link.OnPeerChanges(aCopy.mItems, aRequest.mAfter, aCopy.mAt);
      return;
    }
    std::vector<source_item> items;
    items.reserve(aCopy.mItems.size());
    for (const item_change& each : aCopy.mItems) {
      items.push_back(
        { each.mKey, each.mValue.value_or(std::string()), each.mRevision });
    }
    link.OnPeerListing(items, aCopy.mAt);
  }

  std::vector<reported_load> LocalWork() const
  {
    std::vector<reported_load> work;
    for (const relay_load& each : mDispatcher.LocalLoads()) {
      if (each.mPrefillTokens > 0 || each.mPrefillNanoseconds > 0 ||
          each.mInFlight > 0) {
        work.push_back({ EndpointHash(each.mName),
                         each.mPrefillTokens,
                         each.mPrefillNanoseconds,
                         each.mInFlight });
      }
    }
    return work;
  }

  void UpdateReading(time_point aNow)
  {
    if (mDocument.Failing() || mEndpoints.Failing()) {
      mSourceFailsUntil = aNow + kFailureReportPeriod;
    }
    RecordSourceAnswers();
    if (Now() < mSourceFailsUntil || mPeers.SourceFailsElsewhere(aNow)) {
      mRoster.OnSourceFailed(aNow);
    }
    mReadsSource = mPeers.ShouldReadSource(aNow);
    const watch_stagger turn = mPeers.Turn(aNow);
    for (source_link* each : { &mDocument, &mEndpoints }) {
      each->SetReading(mReadsSource);
      each->SetStagger(turn);
    }
    SuspectWatches(aNow);
  }

  // Returns when the source last answered this instance; nullopt if it never
  // did.
  std::optional<time_point> SourceAnswered() const
  {
    return std::max(mDocument.LastAnswerTime(), mEndpoints.LastAnswerTime());
  }

  // Whether the source has lately answered any instance, so that a change of
  // the list would be known here. Not while calls from here fail: an instance
  // or a domain that is cut off would take its old list for current, while
  // streams begin at endpoints that it hasn't heard of.
  bool ListIsCurrent() const
  {
    if (mEndpoints.Failing()) {
      return false;
    }
    const auto answered = std::max(SourceAnswered(), mPeers.SourceAnswered());
    return answered && Now() - *answered < kListCurrentFor;
  }

  void RecordSourceAnswers()
  {
    for (const auto& each : { SourceAnswered(), mPeers.SourceAnswered() }) {
      if (each) {
        mRoster.OnSourceAnswered(*each);
        mDispatcher.OnSourceAnswered(*each);
      }
    }
  }

  void SuspectWatches(time_point aNow)
  {
    const bool peerFails = mPeers.SourceFailsElsewhere(aNow);
    for (const auto& [link, other] : { std::pair(&mDocument, &mEndpoints),
                                       std::pair(&mEndpoints, &mDocument) }) {
      if (other->Failing()) {
        link->OnWatchSuspected(suspicion_reason::kOtherCallFails, aNow);
      }
      if (peerFails) {
        link->OnWatchSuspected(suspicion_reason::kPeerFails, aNow);
      }
    }
  }

  // Applies which instances share the bounds that endpoints name.
  void ShareBounds(time_point aNow)
  {
    mDispatcher.Bounds().OnPeersHeard(mPeers.Alive() > 0, aNow);
    mDispatcher.SetBoundInstances(
      [this, aNow](const pool_name& aPool) {
        return mPeers.PeersInContact(aPool, aNow);
      },
      mPeers.Present(aNow),
      aNow);
  }

  // Applies the endpoints' load and the pools' demand that other instances have
  // reported.
  void ApplyPeerState(time_point aNow)
  {
    mDispatcher.SetInstanceCount(mPeers.Count(aNow),
                                 [this, aNow](const pool_name& aPool) {
                                   return mPeers.CutOffPeers(aPool, aNow);
                                 });
    ShareBounds(aNow);
    mDispatcher.SetRemoteWork(mPeers.OthersWork(aNow), aNow);
    mDispatcher.SetViews(mPeers.AllViews(mDispatcher.LocalViews(aNow), aNow),
                         aNow);
  }

  bool Ready() const
  {
    return !mDrain.Begun() && mDispatcher.Table() &&
           mEndpoints.Mirror().Revision() > 0;
  }

  void AnswerReadiness(const caller_exchange_ptr& aExchange)
  {
    const bool known = aExchange->Request().mPath == mAdapter.mReadinessPath;
    const unsigned status = Ready() ? 200 : 503;
    aExchange->Send(whole_reply{ known ? status : 404, {}, "text/plain", "" });
  }

  void AnswerOperators(const caller_exchange_ptr& aExchange)
  {
    const instance_status status = Status();
    mMetrics.SetHeld(mDispatcher.HeldByPool());
    mMetrics.SetContact(mDispatcher.Reach().LostPools(),
                        mDispatcher.Reach().Forwarded());
    mMetrics.SetMemory(mDispatcher.Memory()->Use());
    mMetrics.SetWarmingUp(mDispatcher.Bounds().WarmingUp());
    for (const held_items& each : status.mHeld) {
      mMetrics.SetSource(each.mWhat, each.mAt, each.mAge);
    }
    aExchange->Send(OperatorsPage(aExchange->Request(), status, mMetrics));
  }

  static held_items HeldBy(const source_link& aLink, std::string aWhat)
  {
    return { std::move(aWhat),
             aLink.Mirror().Revision(),
             aLink.Mirror().size(),
             aLink.AnswerAge(Now()),
             aLink.Failing() };
  }

  instance_status Status() const
  {
    instance_status status;
    status.mName = mSettings.mName;
    status.mDomain = mSettings.mDomain;
    status.mReady = Ready();
    status.mDraining = mDrain.Begun();
    if (mDispatcher.Table()) {
      status.mRevision = mDispatcher.Table()->Document().mVersion;
    }
    status.mPeersAlive = mPeers.Alive();
    status.mInProgress = mDispatcher.InProgress();
    status.mHeld = { HeldBy(mDocument, "configuration"),
                     HeldBy(mEndpoints, "endpoints") };
    return status;
  }

  void OnDocument(const std::vector<item_change>& aChanges)
  {
    for (const item_change& each : aChanges) {
      if (each.mKey == mAdapter.mDocumentKey) {
        if (each.mValue) {
          ApplyDocument(*each.mValue, each.mRevision);
        }
      } else {
        ApplyDomainState(each);
      }
    }
  }

  // Takes the failure domain that the item names, if it names one, out of
  // service, or back if the item is gone.
  void ApplyDomainState(const item_change& aChange)
  {
    boost::leaf::try_handle_all(
      [&]() -> result<void> {
        BOOST_LEAF_AUTO(domain, mAdapter.mReadOutOfService(aChange.mKey));
        if (domain) {
          SetOutOfService(*domain, aChange);
        }
        return {};
      },
      [&](const failure& aFailure) {
        mLog.Write(log_level::kWarning,
                   "domain_item_refused",
                   { { "key", aChange.mKey }, { "detail", aFailure.mDetail } });
      },
      [&] {
        mLog.Write(log_level::kWarning,
                   "domain_item_refused",
                   { { "key", aChange.mKey }, { "detail", "unreadable" } });
      });
  }

  void SetOutOfService(const domain_name& aDomain, const item_change& aChange)
  {
    const bool isOut = aChange.mValue.has_value();
    mDispatcher.SetOutOfService(aDomain, isOut, Now());
    mMetrics.SetDomainsOutOfService(mDispatcher.DomainsOutOfService());
    const auto age = mDocument.AnswerAge(Now());
    mLog.Write(log_level::kInfo,
               isOut ? "domain_out_of_service" : "domain_back_in_service",
               { { "domain", aDomain.Text() },
                 { "at", static_cast<std::int64_t>(aChange.mRevision) },
                 { "answer_age_ms", age ? ToMilliseconds(*age) : -1 } });
    mPeers.OnItemsChanged();
  }

  // Puts a configuration document in force, unless the document cannot be
  // parsed or is older than the current one.
  void ApplyDocument(const std::string& aBytes, std::uint64_t aRevision)
  {
    boost::leaf::try_handle_all(
      [&]() -> result<void> {
        BOOST_LEAF_AUTO(document, mAdapter.mReadDocument(aBytes));
        const auto& present = mDispatcher.Table();
        if (present && document.mVersion < present->Document().mVersion) {
          return Fail(error_kind::kInternal,
                      "document version is older than the one in force");
        }
        mLog.Write(
          log_level::kInfo,
          "configuration_in_force",
          { { "version", static_cast<std::int64_t>(document.mVersion) },
            { "at", static_cast<std::int64_t>(aRevision) },
            { "routes", static_cast<std::int64_t>(document.mRoutes.size()) },
            { "teams", static_cast<std::int64_t>(document.mTeams.size()) } });
        mCallers.SetLimits(CallerLimits(mLimits, document.mCallers));
        mForwarded.SetLimits(ForwardLimits(mLimits, document.mCallers));
        mDispatcher.SetRoutingTable(MakeRoutingTable(std::move(document)));
        mPeers.OnItemsChanged();
        return {};
      },
      [&](const failure& aFailure) {
        OnDocumentRefused(aFailure.mDetail, aRevision);
      },
      [&] { OnDocumentRefused("unreadable", aRevision); });
  }

  void OnDocumentRefused(const std::string& aWhy, std::uint64_t aRevision)
  {
    mMetrics.OnConfigurationRefused();
    mLog.Write(
      log_level::kError,
      "configuration_refused",
      { { "detail", aWhy }, { "at", static_cast<std::int64_t>(aRevision) } });
  }

  void OnEndpoints(const std::vector<item_change>& aChanges)
  {
    RecordSourceAnswers();
    for (const item_change& each : aChanges) {
      if (each.mValue) {
        OnEntry(each);
      } else {
        OnEntryRemoved(mAdapter.mEndpointName(each.mKey));
      }
    }
    mPeers.OnItemsChanged();
  }

  // Applies a changed endpoint entry. An entry that cannot be parsed removes
  // only its own endpoint.
  void OnEntry(const item_change& aChange)
  {
    boost::leaf::try_handle_all(
      [&]() -> result<void> {
        BOOST_LEAF_AUTO(entry,
                        mAdapter.mReadEndpoint(aChange.mKey, *aChange.mValue));
        mDispatcher.Apply(mRoster.OnListed(entry, Now()));
        return {};
      },
      [&](const failure& aFailure) {
        OnEntryRefused(aChange.mKey, aFailure.mDetail);
      },
      [&] { OnEntryRefused(aChange.mKey, "unreadable"); });
  }

  void OnEntryRefused(const std::string& aKey, const std::string& aWhy)
  {
    mMetrics.OnEvent("endpoint_entry_refused");
    mLog.Write(log_level::kWarning,
               "endpoint_entry_refused",
               { { "key", aKey }, { "detail", aWhy } });
    OnEntryRemoved(mAdapter.mEndpointName(aKey));
  }

  void OnEntryRemoved(const endpoint_name& aName)
  {
    const time_point now = Now();
    mDispatcher.Apply(mRoster.OnRemoved(aName, now));
    if (mRoster.Contains(aName)) {
      const auto sourceBackFor = mRoster.TimeSinceRecovery(now);
      mLog.Write(
        log_level::kInfo,
        "endpoint_removal_put_off",
        { { "endpoint", aName.Text() },
          { "source_back_for_ms",
            ToMilliseconds(sourceBackFor.value_or(duration::zero())) } });
    }
  }

  void Tick()
  {
    const time_point now = Now();
    CheckClockGap(now);
    mDocument.Tick(now);
    mEndpoints.Tick(now);
    mDispatcher.Apply(mRoster.Tick(now));
    UpdateReading(now);
    mPeers.Tick(now);
    mDispatcher.Loads().Tick(mPeers.Addresses(), now);
    ApplyPeerState(now);
    mDispatcher.Tick(now);
    mOnTick();
    mTimer.expires_after(clock_gap::kTickInterval);
    mTimer.async_wait([this](const error_code& aError) {
      if (!aError) {
        Tick();
      }
    });
  }

  // After a pause, pending answers and kept connections are out of date by the
  // length of the pause, so they are discarded and the source is read again.
  void CheckClockGap(time_point aNow)
  {
    const bool paused = mSteadyGap.Tick(aNow);
    const bool suspended = mBootGap.Tick(time_point(TimeSinceBoot()));
    if (!paused && !suspended) {
      return;
    }
    mMetrics.OnEvent("paused");
    mLog.Write(log_level::kWarning,
               "paused",
               { { "suspended", std::int64_t{ suspended && !paused } } });
    mDispatcher.OnClockGap(aNow);
    mDocument.Restart();
    mEndpoints.Restart();
  }

  boost::asio::io_context& mIo;
  relay_settings mSettings;
  connection_limits mLimits;
  relay_adapter mAdapter;
  json_log& mLog;
  std::function<void()> mOnTick;
  metrics mMetrics;
  relay_dispatcher mDispatcher;
  caller_server mCallers;
  // Takes requests that other instances forward.
  caller_server mForwarded;
  caller_server mReadiness;
  caller_server mOperators;
  source_link mDocument;
  source_link mEndpoints;
  endpoint_roster mRoster;
  relay_peer_link mPeers;
  clock_gap mSteadyGap;
  clock_gap mBootGap;
  boost::asio::steady_timer mTimer;
  drain_watch mDrain;
  // Whether this instance reads the source itself rather than receiving copies
  // from peers.
  bool mReadsSource = true;
  // 0 if no forwarded requests are taken.
  std::uint16_t mForwardPort = 0;
  time_point mSourceFailsUntil{};
};

relay_gateway::relay_gateway(boost::asio::io_context& aIo,
                             const relay_settings& aSettings,
                             relay_adapter aAdapter,
                             json_log& aLog,
                             std::function<void()> aOnTick)
  : mCore(std::make_unique<core>(aIo,
                                 aSettings,
                                 std::move(aAdapter),
                                 aLog,
                                 std::move(aOnTick)))
{
}

relay_gateway::~relay_gateway() = default;

result<listening_addresses>
relay_gateway::Start()
{
  return mCore->Start();
}

void
relay_gateway::BeginStop()
{
  mCore->BeginStop();
}

} // namespace thornhollow
