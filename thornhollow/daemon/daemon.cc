#include "thornhollow/daemon/daemon.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <set>
#include <utility>
#include <variant>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "thornhollow/config/catalog.h"
#include "thornhollow/config/yaml_reader.h"
#include "thornhollow/daemon/load_poller.h"
#include "thornhollow/daemon/metrics.h"
#include "thornhollow/daemon/operators_page.h"
#include "thornhollow/daemon/router.h"
#include "thornhollow/net/caller_server.h"
#include "thornhollow/platform/platform_list.h"
#include "thornhollow/platform/platform_watch.h"

namespace thornhollow {
namespace {

using boost::system::error_code;

constexpr std::string_view kManifestPath = "/v1/values/thornhollow/manifest";
constexpr std::string_view kInstancesPath = "/v1/instances";

// After readiness goes off, the balancer still sends requests for about as long
// as it takes to notice; they are answered with "not run" instead of meeting a
// closed port.
constexpr duration kBalancerNotices = Seconds(2);
// How often a stopping instance looks whether it is done.
constexpr duration kDrainCheck = Milliseconds(50);

server_limits
CallerServerLimits(const daemon_settings& aSettings)
{
  server_limits limits;
  limits.mMaxHeaderBytes = aSettings.mLimits.mMaxHeaderBytes;
  limits.mMaxBodyBytes = aSettings.mLimits.mMaxBodyBytes;
  limits.mMaxConnections = aSettings.mLimits.mMaxConnections;
  limits.mSendTimeout = aSettings.mLimits.mSendTimeout;
  limits.mWriteTimeout = aSettings.mLimits.mSendTimeout;
  return limits;
}

server_limits
OperatorServerLimits()
{
  server_limits limits;
  limits.mMaxBodyBytes = 1024;
  limits.mMaxConnections = 64;
  return limits;
}

// Endpoints of models; plain services publish no load.
std::vector<endpoint>
ModelEngines(const declarations& aDeclared)
{
  std::set<pool_name> models;
  for (const model& each : aDeclared.mModels) {
    models.insert(PoolOf(each.mName));
  }
  std::vector<endpoint> engines;
  for (const endpoint& each : aDeclared.mEndpoints) {
    if (std::ranges::any_of(each.mPools, [&](const pool_name& aPool) {
          return models.contains(aPool);
        })) {
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
  settings.mTimeouts = aSettings.mTimeouts;
  return settings;
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
    , mLog(aLog)
    , mRouter(aIo, RouterSettings(aSettings), aLog, mMetrics)
    , mCallers(
        aIo,
        CallerServerLimits(aSettings),
        [this](caller_exchange_ptr aOne) { mRouter.Serve(std::move(aOne)); },
        [this](error_kind aKind) { return mRouter.AnswerUnreadable(aKind); })
    , mOperators(
        aIo,
        OperatorServerLimits(),
        [this](const caller_exchange_ptr& aOne) {
          aOne->Send(OperatorsPage(aOne->Request(), Status(), mMetrics));
        },
        [this](error_kind aKind) { return mRouter.AnswerUnreadable(aKind); })
    , mManifest(
        aIo,
        aSettings.mPlatformAddress,
        std::string(kManifestPath),
        [this](const platform_value& aValue) { OnManifest(aValue); },
        [this] { mMetrics.OnEvent("platform_manifest_unanswered"); })
    , mInstances(
        aIo,
        aSettings.mPlatformAddress,
        std::string(kInstancesPath),
        [this](const platform_value& aValue) { OnInstances(aValue); },
        [this] { mMetrics.OnEvent("platform_instances_unanswered"); })
    , mLoadPoller(
        aIo,
        [this](const endpoint_name& aName, const load_report& aReport) {
          mRouter.OnLoadReport(aName, aReport);
        })
    , mDrainTimer(aIo)
  {
  }

  result<listening_addresses> Start()
  {
    BOOST_LEAF_AUTO(caller, mCallers.Listen(mSettings.mCallerAddress));
    BOOST_LEAF_AUTO(operators, mOperators.Listen(mSettings.mOperatorAddress));
    mManifest.Start();
    mInstances.Start();
    mLoadPoller.Start();
    mLog.Write(log_level::kInfo,
               "started",
               { { "name", mSettings.mName.Text() },
                 { "domain", mSettings.mDomain.Text() },
                 { "caller_address", caller },
                 { "operator_address", operators } });
    return listening_addresses{ caller, operators };
  }

  void BeginStop()
  {
    if (std::exchange(mDraining, true)) {
      return;
    }
    mLog.Write(
      log_level::kInfo,
      "drain_begun",
      { { "in_progress", static_cast<std::int64_t>(mRouter.InProgress()) } });
    mRouter.BeginDrain();
    mDrainBegun = std::chrono::steady_clock::now();
    CheckDrained();
  }

private:
  void OnManifest(const platform_value& aValue)
  {
    const std::array<source_file, 1> files{ source_file{ "manifest",
                                                         aValue.mBytes } };
    read_verdict verdict = ReadDeclarations(files);
    if (const auto* wrong = std::get_if<faults>(&verdict)) {
      Refuse(aValue.mVersion, *wrong);
      return;
    }
    mRevision = aValue.mVersion;
    auto declared = std::get<declarations>(std::move(verdict));
    mLoadPoller.SetEndpoints(ModelEngines(declared));
    mRouter.PutInForce(MakeCatalog(std::move(declared)));
    mMetrics.OnConfiguration(aValue.mVersion);
    mLog.Write(log_level::kInfo,
               "configuration_in_force",
               { { "revision", static_cast<std::int64_t>(aValue.mVersion) } });
  }

  void Refuse(std::uint64_t aVersion, const faults& aFaults)
  {
    mRefusedRevision = aVersion;
    mRefusedFaults.clear();
    for (const fault& each : aFaults) {
      mRefusedFaults.push_back(Text(each));
    }
    mMetrics.OnConfigurationRefused();
    mLog.Write(log_level::kError,
               "configuration_refused",
               { { "first_fault", mRefusedFaults.front() },
                 { "revision", static_cast<std::int64_t>(aVersion) },
                 { "faults", static_cast<std::int64_t>(aFaults.size()) } });
  }

  void OnInstances(const platform_value& aValue)
  {
    const auto list = ReadPlatformList(aValue.mBytes, aValue.mVersion);
    if (!list) {
      mMetrics.OnEvent("platform_instances_unreadable");
      return;
    }
    for (const listed_endpoint& each : list->mEndpoints) {
      mRouter.OnEndpointState(each.mName,
                              each.mLeaving ? endpoint_state::kLeaving
                                            : endpoint_state::kLive);
    }
  }

  instance_status Status() const
  {
    instance_status status;
    status.mName = mSettings.mName;
    status.mDomain = mSettings.mDomain;
    status.mReady = mRevision.has_value() && !mDraining;
    status.mDraining = mDraining;
    status.mRevision = mRevision;
    status.mRefusedRevision = mRefusedRevision;
    status.mRefusedFaults = mRefusedFaults;
    status.mInProgress = mRouter.InProgress();
    return status;
  }

  void CheckDrained()
  {
    const duration since = std::chrono::steady_clock::now() - mDrainBegun;
    if (since >= kBalancerNotices) {
      mCallers.BeginDrain();
    }
    const bool idle = mRouter.InProgress() == 0 && mCallers.InProgress() == 0;
    if ((idle && since >= kBalancerNotices) || since >= mSettings.mDrainGrace) {
      mLog.Write(log_level::kInfo,
                 "stopped",
                 { { "left_in_progress",
                     static_cast<std::int64_t>(mRouter.InProgress()) } });
      mCallers.StopListening();
      mIo.stop();
      return;
    }
    mDrainTimer.expires_after(kDrainCheck);
    mDrainTimer.async_wait([this](const error_code& aWrong) {
      if (!aWrong) {
        CheckDrained();
      }
    });
  }

  boost::asio::io_context& mIo;
  daemon_settings mSettings;
  json_log& mLog;
  metrics mMetrics;
  router mRouter;
  caller_server mCallers;
  caller_server mOperators;
  platform_watch mManifest;
  platform_watch mInstances;
  load_poller mLoadPoller;
  boost::asio::steady_timer mDrainTimer;
  std::optional<std::uint64_t> mRevision;
  std::optional<std::uint64_t> mRefusedRevision;
  std::vector<std::string> mRefusedFaults;
  bool mDraining = false;
  time_point mDrainBegun{};
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
