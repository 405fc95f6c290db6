#include "thornhollow/daemon/control_plane.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>
#include <variant>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "thornhollow/daemon/configuration_keeper.h"
#include "thornhollow/daemon/peer_link.h"
#include "thornhollow/daemon/process_limits.h"
#include "thornhollow/listing/platform_list.h"
#include "thornhollow/listing/platform_watch.h"
#include "thornhollow/net/clock.h"

namespace thornhollow {
namespace {

constexpr std::string_view kInstancesPath = "/v1/instances";
constexpr duration kTickInterval = Milliseconds(100);
// At start-up, an instance waits this long for a first peer that it can query
// before it reads the platform. Without this wait, a stale platform replica
// could supply a configuration that the peers have already replaced.
constexpr duration kFirstPeerTimeout = Milliseconds(500);
constexpr duration kStatusTimeout = Milliseconds(500);
constexpr duration kForwardQueryTimeout = Milliseconds(500);
// An endpoint's own report that it is leaving expires after this time unless it
// is repeated.
constexpr duration kLeavingReportLifetime = Seconds(60);

// Returns a number that increases with each start of the process, provided that
// the system clock is not set back between starts.
std::uint64_t
NewEpoch()
{
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(since).count());
}

peer_link_settings
LinkSettings(const daemon_settings& aSettings, std::uint64_t aEpoch)
{
  return { aSettings.mName,
           aSettings.mDomain,
           aSettings.mPeerAddress,
           aSettings.mPeerKey,
           aSettings.mPeerSeeds,
           aEpoch,
           ConnectionLimitsOf(aSettings) };
}

std::vector<domain_name>
DomainsOf(const declarations& aDeclared)
{
  std::set<domain_name> domains;
  for (const endpoint& each : aDeclared.mEndpoints) {
    domains.insert(each.mDomain);
  }
  return { domains.begin(), domains.end() };
}

// Returns the answer if one arrived and it has the expected type, otherwise
// null.
template<class kind>
const kind*
AnswerAs(const std::optional<stream_message>& aAnswer)
{
  return aAnswer ? std::get_if<kind>(&*aAnswer) : nullptr;
}

key_claim_settings
KeySettings(const daemon_settings& aSettings)
{
  key_claim_settings settings;
  settings.mLifetime = aSettings.mKeys.mLifetime;
  settings.mViewLag = aSettings.mKeys.mViewLag;
  return settings;
}

} // namespace

class control_plane::core
{
public:
  core(boost::asio::io_context& aIo,
       const daemon_settings& aSettings,
       control_listener aListener,
       json_log& aLog,
       metrics& aMetrics)
    : mSettings(aSettings)
    , mListener(std::move(aListener))
    , mLog(aLog)
    , mMetrics(aMetrics)
    , mEpoch(NewEpoch())
    , mLink(aIo,
            LinkSettings(aSettings, mEpoch),
            PeerListener(),
            aLog,
            aMetrics)
    , mKeeper(aIo,
              { aSettings.mName,
                aSettings.mDomain,
                aSettings.mPlatformAddress,
                follower_settings{} },
              KeeperPeers(),
              KeeperListener())
    , mKeys(
        KeySettings(aSettings),
        { aSettings.mName, mEpoch },
        [this](const instance_name& aPeer,
               const claim_request& aRequest,
               std::function<void(std::optional<claim_answer>)> aDone) {
          SendClaim(aPeer, aRequest, std::move(aDone));
        },
        mListener.mKeys)
    , mInstances(aIo,
                 aSettings.mPlatformAddress,
                 std::string(kInstancesPath),
                 { [this](const platform_value& aValue) { OnList(aValue); },
                   [this] {
                     mViewIsFresh = true;
                     PublishView();
                   },
                   [this] { mMetrics.OnEvent("platform_list_unanswered"); },
                   [this](std::size_t aBytes) {
                     mMetrics.OnControlBytes("platform", aBytes);
                   } })
    , mTimer(aIo)
  {
  }

  result<void> Open()
  {
    BOOST_LEAF_CHECK(mLink.Open());
    mInstances.Start();
    mOpenedAt = Now();
    Tick();
    return {};
  }

  key_gate& Keys() { return mKeys; }

  void OnEndpointLeaving(const endpoint_name& aEndpoint)
  {
    const endpoint_state_changes changes =
      mStates.OnLeavingReported(aEndpoint, Now() + kLeavingReportLifetime);
    if (!changes.empty()) {
      mLink.ReportEndpointLeaving(aEndpoint);
    }
    Apply(changes);
  }

  void ReportPressure(const std::vector<pool_pressure>& aPressures)
  {
    mLink.ReportPressure(aPressures);
  }
  std::vector<pool_pressure> PeerPressure() const
  {
    return mLink.PeerPressure();
  }

  void SendCrashReport(const std::vector<instance_name>& aTo,
                       const crash_report& aReport)
  {
    mLink.SendCrashReport(aTo, aReport);
  }

  std::vector<instance_name> OtherInstances() const
  {
    std::vector<instance_name> others;
    for (const listed_instance& each : mLink.Known()) {
      if (each.mName != mSettings.mName) {
        others.push_back(each.mName);
      }
    }
    return others;
  }

  std::vector<instance_name> AliveInstances() const
  {
    std::vector<instance_name> alive;
    for (const member_digest& each : mLink.Alive()) {
      alive.push_back(each.mName);
    }
    return alive;
  }

  std::vector<forward_candidate> ForwardCandidates() const
  {
    std::vector<forward_candidate> candidates;
    for (const listed_instance& each : mLink.Known()) {
      if (each.mName != mSettings.mName && !each.mLeaving) {
        candidates.push_back({ each.mName, each.mDomain == mSettings.mDomain });
      }
    }
    return candidates;
  }

  void AskToForward(const instance_name& aPeer,
                    const forward_query& aQuery,
                    std::function<void(std::optional<forward_offer>)> aDone)
  {
    mLink.Exchange(
      aPeer,
      aQuery,
      kForwardQueryTimeout,
      [done = std::move(aDone)](const std::optional<stream_message>& aAnswer) {
        const auto* offer = AnswerAs<forward_offer>(aAnswer);
        done(offer == nullptr ? std::nullopt : std::optional(*offer));
      });
  }

  void Drain() { mLink.Drain(); }
  void Leave() { mLink.Leave(); }

  std::optional<revision> InForce() const { return mKeeper.InForce(); }
  const std::optional<refused_state>& Refused() const
  {
    return mKeeper.Refused();
  }
  std::size_t PeersAlive() const { return mLink.Alive().size(); }

private:
  peer_listener PeerListener()
  {
    peer_listener listener;
    listener.mOwnStatus = [this] { return mKeeper.Status(); };
    listener.mOwnHint = [this] { return mKeeper.Hint(); };
    listener.mOnHint = [this](const instance_name& aPeer,
                              const config_hint& aHint) {
      mKeeper.OnHint(aPeer, aHint);
    };
    listener.mOnClaim = [this](const claim_request& aRequest) {
      return mKeys.OnPeerClaim(aRequest);
    };
    listener.mOnForwardQuery = mListener.mOnForwardQuery;
    listener.mOnPart =
      [this](const std::string& aDigest) -> std::optional<std::string> {
      const bytes_ptr held = mKeeper.Held(aDigest);
      return held == nullptr ? std::nullopt : std::optional(held->mText);
    };
    listener.mCrashDigest = mListener.mCrashDigest;
    listener.mOnCrashDigest = mListener.mOnCrashDigest;
    listener.mOnCrashReport = mListener.mOnCrashReport;
    listener.mOnMembers = [this] { OnMembers(); };
    listener.mOnEndpointLeaving = [this](const endpoint_name& aEndpoint,
                                         time_point aUntil) {
      Apply(mStates.OnLeavingReported(aEndpoint, aUntil));
    };
    // Scheduler, holder and witness detect a pause through their own ticks. The
    // instance list dates from before the pause. Until the platform has been
    // read again, holder and witness get no view, as they would treat it as
    // fresh.
    listener.mOnPaused = [this](duration) { mViewIsFresh = false; };
    listener.mOnSuperseded = [this] { mListener.mSuperseded(); };
    return listener;
  }

  keeper_peers KeeperPeers()
  {
    keeper_peers peers;
    peers.mQueryStatus =
      [this](const instance_name& aPeer,
             std::function<void(std::optional<config_word>)> aDone) {
        QueryStatus(aPeer, std::move(aDone));
      };
    peers.mFetchPart =
      [this](const instance_name& aPeer,
             const std::string& aDigest,
             std::function<void(std::optional<std::string>)> aDone) {
        FetchPart(aPeer, aDigest, std::move(aDone));
      };
    peers.mAnnounce = [this](std::uint64_t aVersion) {
      mLink.Announce(aVersion);
    };
    return peers;
  }

  keeper_listener KeeperListener()
  {
    keeper_listener listener;
    listener.mInForce = [this](const catalog_ptr& aCatalog,
                               const revision& aRevision) {
      OnInForce(aCatalog, aRevision);
    };
    listener.mRefused = [this](const revision& aRevision,
                               const faults& aFaults) {
      mMetrics.OnConfigurationRefused();
      mLog.Write(
        log_level::kError,
        "configuration_refused",
        { { "first_fault", aFaults.empty() ? "" : Text(aFaults.front()) },
          { "revision", static_cast<std::int64_t>(aRevision.mVersion) },
          { "faults", static_cast<std::int64_t>(aFaults.size()) } });
    };
    listener.mLowerVersion = [this](std::uint64_t aVersion,
                                    const revision& aInForce) {
      mMetrics.OnEvent("configuration_lower_version_ignored");
      mLog.Write(
        log_level::kWarning,
        "configuration_lower_version_ignored",
        { { "version", static_cast<std::int64_t>(aVersion) },
          { "in_force", static_cast<std::int64_t>(aInForce.mVersion) } });
    };
    listener.mPlatformBytes = [this](std::size_t aBytes) {
      mMetrics.OnControlBytes("platform", aBytes);
    };
    return listener;
  }

  void OnInForce(const catalog_ptr& aCatalog, const revision& aRevision)
  {
    mDomains = DomainsOf(aCatalog->Declared());
    mMetrics.OnConfiguration(aRevision.mVersion);
    mLog.Write(
      log_level::kInfo,
      "configuration_in_force",
      { { "digest", aRevision.mDigest },
        { "revision", static_cast<std::int64_t>(aRevision.mVersion) } });
    mListener.mInForce(aCatalog);
    PublishView();
  }

  void QueryStatus(const instance_name& aPeer,
                   std::function<void(std::optional<config_word>)> aDone)
  {
    mLink.Exchange(
      aPeer,
      config_status_exchange{ mKeeper.Status() },
      kStatusTimeout,
      [done = std::move(aDone)](const std::optional<stream_message>& aAnswer) {
        const auto* status = AnswerAs<config_status_exchange>(aAnswer);
        done(status == nullptr ? std::nullopt : std::optional(status->mStatus));
      });
  }

  void FetchPart(const instance_name& aPeer,
                 const std::string& aDigest,
                 std::function<void(std::optional<std::string>)> aDone)
  {
    mLink.Exchange(
      aPeer,
      part_request{ aDigest },
      follower_settings{}.mFetchTimeout,
      [done = std::move(aDone)](const std::optional<stream_message>& aAnswer) {
        const auto* part = AnswerAs<part_answer>(aAnswer);
        done(part == nullptr || !part->mFound ? std::nullopt
                                              : std::optional(part->mBytes));
      });
  }

  void SendClaim(const instance_name& aPeer,
                 const claim_request& aRequest,
                 std::function<void(std::optional<claim_answer>)> aDone)
  {
    mLink.Exchange(
      aPeer,
      aRequest,
      key_claim_settings{}.mRequestTimeout,
      [done = std::move(aDone)](const std::optional<stream_message>& aAnswer) {
        const auto* claim = AnswerAs<claim_answer>(aAnswer);
        done(claim == nullptr ? std::nullopt : std::optional(*claim));
      });
  }

  void OnList(const platform_value& aValue)
  {
    auto list = ReadPlatformList(aValue.mBytes, aValue.mVersion);
    if (!list) {
      mMetrics.OnEvent("platform_list_unreadable");
      return;
    }
    std::set<endpoint_name> leaving;
    for (const platform_endpoint& each : list->mEndpoints) {
      if (each.mLeaving) {
        leaving.insert(each.mName);
      }
    }
    Apply(mStates.OnPlatformList(std::move(leaving)));
    mList = std::move(list->mRouters);
    mViewIsFresh = true;
    mLink.OnInstances(*mList);
    PublishView();
  }

  // Passes the instance list on to holder and witness. Also called when the
  // platform confirms an unchanged list: after a pause, holders refuse
  // submissions until their view is known to be fresh.
  void PublishView()
  {
    if (mList && mViewIsFresh && !mDomains.empty()) {
      mKeys.OnView({ mDomains, *mList });
    }
  }

  void OnMembers()
  {
    std::vector<follower_member> members;
    std::vector<instance_name> routers{ mSettings.mName };
    for (const listed_instance& each : mLink.Known()) {
      if (each.mLeaving) {
        continue;
      }
      members.push_back({ each.mName, each.mDomain });
      if (each.mDomain == mSettings.mDomain && each.mName != mSettings.mName) {
        routers.push_back(each.mName);
      }
    }
    mKeeper.SetMembers(std::move(members));
    mListener.mRouters(routers);
  }

  void Tick()
  {
    StartKeeperWhenDue();
    mKeys.Tick();
    Apply(mStates.Advance(Now()));
    mListener.mTick();
    mTimer.expires_after(kTickInterval);
    mTimer.async_wait([this](const boost::system::error_code& aError) {
      if (!aError) {
        Tick();
      }
    });
  }

  void StartKeeperWhenDue()
  {
    if (mKeeperStarted) {
      return;
    }
    std::vector<instance_name> peers;
    for (const listed_instance& each : mLink.Known()) {
      if (each.mName != mSettings.mName && !each.mLeaving) {
        peers.push_back(each.mName);
      }
    }
    if (peers.empty() && Now() < mOpenedAt + kFirstPeerTimeout) {
      return;
    }
    mKeeperStarted = true;
    OnMembers();
    mKeeper.Start(peers);
  }

  void Apply(const endpoint_state_changes& aChanges)
  {
    for (const endpoint_state_change& each : aChanges) {
      mListener.mEndpointState(each);
    }
  }

  daemon_settings mSettings;
  control_listener mListener;
  json_log& mLog;
  metrics& mMetrics;
  std::uint64_t mEpoch;
  endpoint_states mStates;
  std::optional<instance_list> mList;
  // Whether the list has been read or confirmed since the last pause.
  bool mViewIsFresh = false;
  std::vector<domain_name> mDomains;
  peer_link mLink;
  configuration_keeper mKeeper;
  key_gate mKeys;
  platform_watch mInstances;
  boost::asio::steady_timer mTimer;
  time_point mOpenedAt{};
  bool mKeeperStarted = false;
};

control_plane::control_plane(boost::asio::io_context& aIo,
                             const daemon_settings& aSettings,
                             control_listener aListener,
                             json_log& aLog,
                             metrics& aMetrics)
  : mCore(std::make_unique<core>(aIo,
                                 aSettings,
                                 std::move(aListener),
                                 aLog,
                                 aMetrics))
{
}

control_plane::~control_plane() = default;

result<void>
control_plane::Open()
{
  return mCore->Open();
}

key_gate&
control_plane::Keys()
{
  return mCore->Keys();
}

void
control_plane::OnEndpointLeaving(const endpoint_name& aEndpoint)
{
  mCore->OnEndpointLeaving(aEndpoint);
}

void
control_plane::ReportPressure(const std::vector<pool_pressure>& aPressures)
{
  mCore->ReportPressure(aPressures);
}

std::vector<pool_pressure>
control_plane::PeerPressure() const
{
  return mCore->PeerPressure();
}

void
control_plane::SendCrashReport(const std::vector<instance_name>& aTo,
                               const crash_report& aReport)
{
  mCore->SendCrashReport(aTo, aReport);
}

std::vector<instance_name>
control_plane::OtherInstances() const
{
  return mCore->OtherInstances();
}

std::vector<instance_name>
control_plane::AliveInstances() const
{
  return mCore->AliveInstances();
}

std::vector<forward_candidate>
control_plane::ForwardCandidates() const
{
  return mCore->ForwardCandidates();
}

void
control_plane::AskToForward(
  const instance_name& aPeer,
  const forward_query& aQuery,
  std::function<void(std::optional<forward_offer>)> aDone)
{
  mCore->AskToForward(aPeer, aQuery, std::move(aDone));
}

void
control_plane::Drain()
{
  mCore->Drain();
}

void
control_plane::Leave()
{
  mCore->Leave();
}

std::optional<revision>
control_plane::InForce() const
{
  return mCore->InForce();
}

const std::optional<refused_state>&
control_plane::Refused() const
{
  return mCore->Refused();
}

std::size_t
control_plane::PeersAlive() const
{
  return mCore->PeersAlive();
}

} // namespace thornhollow
