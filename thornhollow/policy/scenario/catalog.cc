#include "thornhollow/policy/scenario/catalog.h"

#include <algorithm>
#include <utility>

namespace thornhollow::scenario {
namespace {

// Returns the name of the first declared class of the given tier.
class_name
ClassOfTier(const deployment& aDeployment, int aTier)
{
  for (const request_class& each : aDeployment.mDeclared.mClasses) {
    if (FindLevel(aDeployment.mDeclared, each.mLevel)->mTier == aTier) {
      return each.mName;
    }
  }
  return {};
}

scenario_spec
MakeScenario(std::string aName, std::string aDescription)
{
  scenario_spec made;
  made.mName = std::move(aName);
  made.mDescription = std::move(aDescription);
  return made;
}

scenario_spec
Burst(const deployment& aDeployment, int aTier)
{
  scenario_spec made =
    MakeScenario("burst_tier_" + std::to_string(aTier),
                 "For 15 s, one class sends eight times its usual load.");
  made.mSurges = {
    { Seconds(15), Seconds(30), 8, ClassOfTier(aDeployment, aTier), {} }
  };
  made.mRecoveryFrom = Seconds(30);
  return made;
}

scenario_spec
HotCaller(const deployment& aDeployment)
{
  scenario_spec made = MakeScenario(
    "hot_caller", "One team sends twelve times its usual load throughout.");
  made.mSurges = { { Seconds(0),
                     made.mLength,
                     12,
                     {},
                     aDeployment.mDeclared.mTeams.front().mName } };
  return made;
}

scenario_spec
HotPrefix()
{
  scenario_spec made = MakeScenario(
    "hot_prefix", "Seven in ten requests start with the same prefix.");
  made.mLoad = 0.9;
  made.mHotPrefixShare = 0.7;
  return made;
}

scenario_spec
SlowEndpoint()
{
  scenario_spec made = MakeScenario(
    "slow_endpoint",
    "For 30 s, each step of one engine takes eight times as long.");
  made.mFaults = {
    { injected_fault_kind::kSlow, Seconds(15), Seconds(45), 0, 8, {} }
  };
  made.mRecoveryFrom = Seconds(45);
  return made;
}

scenario_spec
EndpointCrash()
{
  scenario_spec made =
    MakeScenario("endpoint_crash",
                 "Two engines crash while streaming and restart after 20 s.");
  made.mFaults = {
    { injected_fault_kind::kCrash, Seconds(15), Seconds(35), 0, 1, {} },
    { injected_fault_kind::kCrash, Seconds(20), Seconds(40), 4, 1, {} },
  };
  made.mRecoveryFrom = Seconds(40);
  return made;
}

scenario_spec
LongAmongShort(const deployment& aDeployment)
{
  scenario_spec made = MakeScenario(
    "long_among_short",
    "The class with the longest responses sends four times its usual load.");
  made.mSurges = {
    { Seconds(10), Seconds(50), 4, ClassOfTier(aDeployment, 3), {} }
  };
  return made;
}

scenario_spec
Overload(const std::string& aName, double aLoad)
{
  scenario_spec made = MakeScenario(
    "overload_" + aName, "All classes together demand more than the capacity.");
  made.mLoad = aLoad;
  return made;
}

scenario_spec
AllRetrying()
{
  scenario_spec made = MakeScenario(
    "all_retrying",
    "The demand is twice the capacity, and every refused caller retries.");
  made.mLoad = 2;
  made.mRetryProbability = 1;
  made.mMaxRetries = 10;
  return made;
}

scenario_spec
ReportLag(const std::string& aName, duration aReportLag)
{
  scenario_spec made =
    MakeScenario("reports_" + aName,
                 "High load; the engines' load reports are delayed "
                 "or missing.");
  made.mLoad = 0.95;
  made.mReportLag = aReportLag;
  return made;
}

scenario_spec
SameLaggingView()
{
  scenario_spec made = MakeScenario(
    "same_lagging_view",
    "Eight instances receive the same reports 2 s late while the speed of "
    "one engine changes.");
  made.mLoad = 0.85;
  made.mReportLag = Seconds(2);
  made.mFaults = {
    { injected_fault_kind::kSlow, Seconds(10), Seconds(20), 1, 4, {} },
    { injected_fault_kind::kSlow, Seconds(30), Seconds(40), 2, 4, {} },
  };
  return made;
}

scenario_spec
DomainPartition(const deployment& aDeployment)
{
  scenario_spec made = MakeScenario(
    "domain_cut_off",
    "For 25 s, one failure domain is partitioned from the others.");
  made.mFaults = { { injected_fault_kind::kPartition,
                     Seconds(15),
                     Seconds(40),
                     0,
                     1,
                     aDeployment.mInstanceDomains.front() } };
  made.mRecoveryFrom = Seconds(40);
  return made;
}

// During the 10 s at five times the capacity, 40 s of work for all engines
// arrive in excess of the capacity. Afterwards new requests use half of the
// capacity, and the other half is left for retries of the refused requests.
scenario_spec
Recovery()
{
  scenario_spec made = MakeScenario(
    "recovery",
    "Five times the capacity for 10 s, then half of the capacity; most "
    "refused callers retry.");
  made.mLength = Seconds(150);
  made.mLoad = 0.5;
  made.mSurges = { { Seconds(10), Seconds(20), 10, {}, {} } };
  made.mRetryProbability = 0.8;
  made.mRecoveryFrom = Seconds(20);
  return made;
}

scenario_spec
SplitTiers()
{
  scenario_spec made = MakeScenario(
    "split_tiers",
    "One instance receives all requests of the highest tier and the others "
    "the rest, at twice the capacity.");
  made.mLoad = 2;
  made.mHighTierInstance = 0;
  return made;
}

scenario_spec
PausedInstance()
{
  scenario_spec made = MakeScenario(
    "paused_instance",
    "One instance is paused for 10 s and resumes with outdated state.");
  made.mFaults = {
    { injected_fault_kind::kPause, Seconds(20), Seconds(30), 1, 1, {} }
  };
  made.mRecoveryFrom = Seconds(30);
  return made;
}

// Adds one policy for each mechanism of the endpoint table, with only this
// mechanism switched off, and one policy with all these mechanisms switched
// off.
void
AddPoliciesWithoutEndpointMechanism(std::vector<named_policy>& aAll)
{
  scheduler_settings off;
  const auto without = [&aAll, &off](const std::string& aName, auto aSwitch) {
    scheduler_settings one;
    aSwitch(one.mEndpoints);
    aSwitch(off.mEndpoints);
    aAll.push_back({ "without_" + aName, one });
  };
  without("reports", [](endpoint_table_settings& aOf) {
    aOf.mRecord.mLoad.mUseReports = false;
  });
  without("limit", [](endpoint_table_settings& aOf) {
    aOf.mRecord.mLimit.mAdaptive = false;
  });
  without("health", [](endpoint_table_settings& aOf) {
    aOf.mRecord.mHealth.mEnabled = false;
  });
  without("prefixes",
          [](endpoint_table_settings& aOf) { aOf.mPrefix.mEnabled = false; });
  without("long_bound",
          [](endpoint_table_settings& aOf) { aOf.mLimitLongWork = false; });
  aAll.push_back({ "endpoints_off", off });
}

} // namespace

std::vector<scenario_spec>
AllScenarios(const deployment& aDeployment)
{
  return {
    MakeScenario("steady", "Seven tenths of the capacity, without faults."),
    Burst(aDeployment, 1),
    Burst(aDeployment, 3),
    HotCaller(aDeployment),
    HotPrefix(),
    SlowEndpoint(),
    EndpointCrash(),
    LongAmongShort(aDeployment),
    Overload("1.2", 1.2),
    Overload("2", 2),
    Overload("5", 5),
    AllRetrying(),
    ReportLag("100ms", Milliseconds(100)),
    ReportLag("1s", Seconds(1)),
    ReportLag("5s", Seconds(5)),
    ReportLag("missing", Milliseconds(-1)),
    SameLaggingView(),
    DomainPartition(aDeployment),
    Recovery(),
    SplitTiers(),
    PausedInstance(),
  };
}

scenario_spec
FindScenario(const deployment& aDeployment, const std::string& aName)
{
  const std::vector<scenario_spec> all = AllScenarios(aDeployment);
  return *std::ranges::find(all, aName, &scenario_spec::mName);
}

std::vector<named_policy>
AllPolicies()
{
  scheduler_settings off;
  std::vector<named_policy> all = { { "thornhollow", off } };
  const auto without = [&all, &off](const std::string& aName, auto aSwitch) {
    scheduler_settings one;
    aSwitch(one);
    aSwitch(off);
    all.push_back({ "without_" + aName, one });
  };
  without("tier_order",
          [](scheduler_settings& aOf) { aOf.mQueue.mPool.mTierOrder = false; });
  without("shares", [](scheduler_settings& aOf) {
    aOf.mQueue.mPool.mMinimumShares = false;
  });
  without("fair_teams",
          [](scheduler_settings& aOf) { aOf.mQueue.mPool.mFairTeams = false; });
  without("deadlines", [](scheduler_settings& aOf) {
    aOf.mQueue.mPool.mDeadlineCheck = false;
    aOf.mRunTimes.mQuantile = 0;
  });
  without("standing", [](scheduler_settings& aOf) {
    aOf.mQueue.mPool.mStandingQueue.mEnabled = false;
  });
  without("spread", [](scheduler_settings& aOf) {
    aOf.mQueue.mPool.mRetrySchedule.mSpread = false;
  });
  without("endpoint_queues", [](scheduler_settings& aOf) {
    aOf.mEndpointQueues.mEnabled = false;
  });
  scheduler_settings pressure;
  pressure.mApplyPressureToTieredPools = true;
  all.push_back({ "with_pressure", pressure });
  all.push_back({ "waiting_off", off });
  AddPoliciesWithoutEndpointMechanism(all);
  all.push_back({ "round_robin", round_robin{} });
  all.push_back({ "least_outstanding", least_outstanding{} });
  return all;
}

} // namespace thornhollow::scenario
