#include "thornhollow/daemon/daemon.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>
#include <variant>

#include <boost/asio/io_context.hpp>

#include "thornhollow/config/catalog.h"
#include "thornhollow/daemon/control_plane.h"
#include "thornhollow/daemon/drain_watch.h"
#include "thornhollow/daemon/load_poller.h"
#include "thornhollow/daemon/metrics.h"
#include "thornhollow/daemon/operators_page.h"
#include "thornhollow/daemon/process_limits.h"
#include "thornhollow/daemon/router.h"
#include "thornhollow/net/caller_server.h"
#include "thornhollow/net/clock.h"

namespace thornhollow {
namespace {

// After the readiness check starts to fail, the load balancer keeps sending
// requests until it detects the change. During this time these requests are
// answered with "not run" instead of hitting a closed port.
constexpr duration kBalancerDetectionTime = Seconds(2);

// A body is held as it came, as it was read, and as it is sent.
constexpr std::uint64_t kBodyCopies = 3;

server_limits
CallerServerLimits(const daemon_settings& aSettings,
                   const connection_limits& aConnections)
{
  server_limits limits;
  limits.mMaxHeaderBytes = aSettings.mLimits.mMaxHeaderBytes;
  limits.mMaxBodyBytes = aSettings.mLimits.mMaxBodyBytes;
  Bound(limits, aConnections.mCallers, aConnections.mCallerSocketBytes);
  limits.mBodyCopies = kBodyCopies;
  limits.mHeaderTimeout = aSettings.mLimits.mSendTimeout;
  limits.mSendTimeout = aSettings.mLimits.mSendTimeout;
  limits.mWriteTimeout = aSettings.mLimits.mSendTimeout;
  limits.mIdleTimeout = aSettings.mTimeouts.mIdleConnection;
  return limits;
}

// Returns the model endpoints among those that this instance uses. Plain
// services are left out because they publish no load.
std::vector<endpoint>
ModelEngines(const declarations& aDeclared,
             const std::vector<endpoint_status>& aUsed)
{
  std::set<endpoint_name> used;
  for (const endpoint_status& each : aUsed) {
    used.insert(each.mName);
  }
  std::set<pool_name> models;
  for (const model& each : aDeclared.mModels) {
    models.insert(PoolOf(each.mName));
  }
  std::vector<endpoint> engines;
  for (const endpoint& each : aDeclared.mEndpoints) {
    const bool isEngine =
      std::ranges::any_of(each.mPools, [&](const pool_name& aPool) {
        return models.contains(aPool);
      });
    if (isEngine && used.contains(each.mName)) {
      engines.push_back(each);
    }
  }
  return engines;
}

router_settings
RouterSettings(const daemon_settings& aSettings)
{
  router_settings settings;
  settings.mOwnDomain = aSettings.mDomain;
  settings.mOwnName = aSettings.mName;
  settings.mTimeouts = aSettings.mTimeouts;
  return settings;
}

// Where other instances reach this listener. One that listens on all addresses
// of its host is reached at that of `aPeerAddress`.
std::string
ReachableAddress(const std::string& aListening, const std::string& aPeerAddress)
{
  for (const std::string_view any : { "0.0.0.0:", "[::]:" }) {
    if (aListening.starts_with(any)) {
      const std::string port = aListening.substr(any.size());
      return aPeerAddress.substr(0, aPeerAddress.rfind(':') + 1) + port;
    }
  }
  return aListening;
}

} // namespace

class daemon::core
{
public:
  core(boost::asio::io_context& aIo,
       const daemon_settings& aSettings,
       json_log& aLog)
    : mIo(aIo)
    , mSettings(aSettings)
    , mLimits(ConnectionLimitsOf(aSettings))
    , mLog(aLog)
    , mMemory(new memory_account(MemoryLimits(aSettings.mMemoryMegabytes)))
    , mRouter(aIo, RouterSettings(aSettings), aLog, mMetrics)
    , mCallers(
        aIo,
        CallerServerLimits(aSettings, mLimits),
        [this](caller_exchange_ptr aExchange) {
          mRouter.Serve(std::move(aExchange));
        },
        [this](error_kind aKind) { return mRouter.AnswerUnreadable(aKind); })
    , mOperators(
        aIo,
        OperatorServerLimits(mLimits.mOperators),
        [this](const caller_exchange_ptr& aExchange) {
          mMetrics.SetHeld(mRouter.HeldByPool());
          mMetrics.SetMemory(mMemory->Use());
          mMetrics.SetContact(mRouter.Forwarder().LostPools(),
                              mRouter.Forwarder().InProgress());
          aExchange->Send(
            OperatorsPage(aExchange->Request(), Status(), mMetrics));
        },
        [this](error_kind aKind) { return mRouter.AnswerUnreadable(aKind); })
    , mControl(aIo, aSettings, ControlListener(), aLog, mMetrics)
    , mLoadPoller(
        aIo,
        [this](const endpoint_name& aName, const load_report& aReport) {
          mRouter.OnLoadReport(aName, aReport);
        },
        [this](const endpoint& aEndpoint, bool aAnswered) {
          mRouter.Forwarder().OnPolled(aEndpoint, aAnswered, Now());
          if (!aAnswered) {
            mRouter.OnLoadUnanswered(aEndpoint.mName);
          }
        },
        [this](std::size_t aBytes) { mMetrics.OnControlBytes("load", aBytes); })
    , mDrain(aIo, { &mCallers }, aLog)
  {
    mRouter.SetKeyGate(&mControl.Keys());
    for (caller_server* each : { &mCallers, &mOperators }) {
      Report(*each, mLog, mMetrics);
    }
    mCallers.SetMemory(mMemory);
    Report(*mMemory, mLog, mMetrics);
    mRouter.Crashes().SetPeers(CrashGuardPeers());
    mRouter.Forwarder().SetLink(ForwarderLink());
    mRouter.OnEndpointLeaving([this](const endpoint_name& aEndpoint) {
      mControl.OnEndpointLeaving(aEndpoint);
    });
  }

  core(const core&) = delete;
  core& operator=(const core&) = delete;
  ~core() { mMemory->OnEvent(nullptr); }

  result<listening_addresses> Start()
  {
    BOOST_LEAF_AUTO(caller, mCallers.Listen(mSettings.mCallerAddress));
    BOOST_LEAF_AUTO(operators, mOperators.Listen(mSettings.mOperatorAddress));
    mRouter.Forwarder().SetCallerAddress(
      ReachableAddress(caller, mSettings.mPeerAddress));
    BOOST_LEAF_CHECK(mControl.Open());
    mLoadPoller.Start();
    mLog.Write(log_level::kInfo,
               "started",
               { { "name", mSettings.mName.Text() },
                 { "domain", mSettings.mDomain.Text() },
                 { "caller_address", caller },
                 { "operator_address", operators } });
    LogLimits(mLimits, mLog);
    return listening_addresses{ caller, operators };
  }

  void BeginStop()
  {
    if (mDrain.Begun()) {
      return;
    }
    mDrain.Begin(
      { .mBalancerDetectionTime = kBalancerDetectionTime,
        .mGrace = mSettings.mDrainGrace },
      [this] { return mRouter.InProgress(); },
      [] {},
      [this] {
        mControl.Leave();
        mIo.stop();
      });
    mRouter.BeginDrain();
    mControl.Drain();
  }

private:
  control_listener ControlListener()
  {
    control_listener listener;
    listener.mInForce = [this](const catalog_ptr& aCatalog) {
      mRouter.PutInForce(aCatalog);
      mLoadPoller.SetEndpoints(
        ModelEngines(aCatalog->Declared(), mRouter.Endpoints()));
    };
    listener.mEndpointState = [this](const endpoint_state_change& aChange) {
      mRouter.OnEndpointState(aChange.mEndpoint, aChange.mState);
    };
    listener.mKeys.mRun = [this](submission_id aSubmission) {
      mRouter.OnKeyRun(aSubmission);
    };
    listener.mKeys.mRefused = [this](submission_id aSubmission,
                                     error_kind aKind) {
      mRouter.OnKeyRefused(aSubmission, aKind);
    };
    listener.mCrashDigest = [this] { return mRouter.Crashes().Digest(); };
    listener.mOnCrashDigest = [this](const instance_name& aPeer,
                                     std::uint64_t aDigest) {
      mRouter.Crashes().OnDigest(aPeer.Text(), aDigest);
    };
    listener.mOnCrashReport = [this](const crash_report& aReport) {
      mRouter.Crashes().OnReport(aReport);
    };
    listener.mOnForwardQuery = [this](const forward_query& aQuery) {
      return mRouter.OnForwardQuery(aQuery);
    };
    listener.mRouters = [this](const std::vector<instance_name>& aRouters) {
      mRouter.SetRouters(mSettings.mName, aRouters);
    };
    listener.mTick = [this] {
      mRouter.SetOtherInstances(mControl.AliveInstances());
      mRouter.Tick();
      mControl.ReportPressure(mRouter.Pressure());
      mRouter.OnPeerPressure(mControl.PeerPressure());
    };
    listener.mSuperseded = [this] { BeginStop(); };
    return listener;
  }

  // Instances are addressed by their names here.
  crash_guard_peers CrashGuardPeers()
  {
    crash_guard_peers peers;
    peers.mAddresses = [this] {
      std::vector<std::string> names;
      for (const instance_name& each : mControl.OtherInstances()) {
        names.push_back(each.Text());
      }
      return names;
    };
    peers.mSend = [this](const std::vector<std::string>& aTo,
                         const crash_report& aReport) {
      std::vector<instance_name> names;
      names.reserve(aTo.size());
      for (const std::string& each : aTo) {
        names.emplace_back(each);
      }
      mControl.SendCrashReport(names, aReport);
    };
    return peers;
  }

  forwarder_link ForwarderLink()
  {
    forwarder_link link;
    link.mCandidates = [this] { return mControl.ForwardCandidates(); };
    link.mAsk =
      [this](const instance_name& aPeer,
             const forward_query& aQuery,
             std::function<void(std::optional<forward_offer>)> aDone) {
        mControl.AskToForward(aPeer, aQuery, std::move(aDone));
      };
    link.mConfiguration = [this] {
      const auto inForce = mControl.InForce();
      return inForce ? inForce->mVersion : 0;
    };
    return link;
  }

  instance_status Status() const
  {
    instance_status status;
    status.mName = mSettings.mName;
    status.mDomain = mSettings.mDomain;
    const auto inForce = mControl.InForce();
    status.mReady = inForce.has_value() && !mDrain.Begun();
    status.mDraining = mDrain.Begun();
    if (inForce) {
      status.mRevision = inForce->mVersion;
    }
    if (const auto& refused = mControl.Refused()) {
      status.mRefusedRevision = refused->mRevision.mVersion;
      for (const fault& each : refused->mFaults) {
        status.mRefusedFaults.push_back(Text(each));
      }
    }
    status.mPeersAlive = mControl.PeersAlive();
    status.mInProgress = mRouter.InProgress();
    return status;
  }

  boost::asio::io_context& mIo;
  daemon_settings mSettings;
  connection_limits mLimits;
  json_log& mLog;
  metrics mMetrics;
  memory_account_ptr mMemory;
  router mRouter;
  caller_server mCallers;
  caller_server mOperators;
  control_plane mControl;
  load_poller mLoadPoller;
  drain_watch mDrain;
};

daemon::daemon(boost::asio::io_context& aIo,
               const daemon_settings& aSettings,
               json_log& aLog)
  : mCore(std::make_unique<core>(aIo, aSettings, aLog))
{
}

daemon::~daemon() = default;

result<listening_addresses>
daemon::Start()
{
  return mCore->Start();
}

void
daemon::BeginStop()
{
  mCore->BeginStop();
}

} // namespace thornhollow
