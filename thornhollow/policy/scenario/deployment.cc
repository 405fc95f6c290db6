#include "thornhollow/policy/scenario/deployment.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <string_view>
#include <utility>

namespace thornhollow::scenario {
namespace {

constexpr int kInstances = 8;
constexpr int kTeams = 10;

using domain_names = std::array<std::string_view, 3>;

void
AddClass(declarations& aTo,
         const std::string& aName,
         service_level aLevel,
         double aMinimumShare,
         bool aIdempotent)
{
  aLevel.mName = level_name(aName);
  aTo.mClasses.push_back(
    { class_name(aName), aLevel.mName, aMinimumShare, aIdempotent, {} });
  aTo.mLevels.push_back(std::move(aLevel));
}

service_level
MakeLevel(int aTier, duration aFirstToken, duration aDeadline)
{
  return { {}, aTier, aFirstToken, Milliseconds(49), aDeadline };
}

void
AddEngines(declarations& aTo,
           std::string_view aPool,
           int aCount,
           std::uint32_t aSlots,
           const domain_names& aDomains)
{
  for (int index = 0; index < aCount; ++index) {
    aTo.mEndpoints.push_back(
      { endpoint_name(std::string(aPool) + "-" + std::to_string(index)),
        domain_name(std::string(aDomains[index % aDomains.size()])),
        "127.0.0.1:" + std::to_string(9000 + index),
        { pool_name(std::string(aPool)) },
        aSlots });
  }
  aTo.mModels.push_back({ model_name(std::string(aPool)) });
}

void
AddTeams(declarations& aTo)
{
  for (int index = 0; index < kTeams; ++index) {
    team next;
    next.mName = team_name("team-" + std::to_string(index));
    for (const request_class& each : aTo.mClasses) {
      next.mClasses.push_back(each.mName);
    }
    aTo.mTeams.push_back(std::move(next));
  }
}

void
AddInstances(deployment& aTo, const domain_names& aDomains)
{
  for (int index = 0; index < kInstances; ++index) {
    aTo.mInstanceDomains.emplace_back(
      std::string(aDomains[index % aDomains.size()]));
  }
}

class_traffic
MakeTraffic(std::string aClass,
            std::string aPool,
            double aShare,
            double aPrompt,
            double aOutput)
{
  class_traffic traffic;
  traffic.mClass = class_name(std::move(aClass));
  traffic.mPool = pool_name(std::move(aPool));
  traffic.mShareOfPool = aShare;
  traffic.mMedianPrompt = aPrompt;
  traffic.mMedianOutput = aOutput;
  traffic.mMaxOutput = static_cast<std::uint32_t>(aOutput * 16);
  traffic.mPrefixCount = 24;
  return traffic;
}

} // namespace

deployment
GraniteRelay()
{
  constexpr domain_names kDomains = { "worcester-hall",
                                      "nashua-hall",
                                      "bangor-hall" };
  deployment made;
  made.mName = "granite-relay";
  made.mInterDomainLatency = std::chrono::microseconds(1500);
  declarations& declared = made.mDeclared;
  AddClass(declared,
           "route-notes",
           MakeLevel(1, Milliseconds(500), Seconds(8)),
           0.2,
           true);
  AddClass(
    declared, "dispatch", MakeLevel(2, Seconds(1), Seconds(15)), 0.15, false);
  AddClass(declared,
           "pallet-plans",
           MakeLevel(3, Seconds(5), Seconds(90)),
           0.15,
           true);
  AddClass(
    declared, "summaries", MakeLevel(4, Seconds(10), Seconds(90)), 0.05, true);
  AddEngines(declared, "dispatch-assistant", 10, made.mEngine.mSlots, kDomains);
  AddEngines(declared, "warehouse-ledger", 3, made.mEngine.mSlots, kDomains);
  AddTeams(declared);
  AddInstances(made, kDomains);

  class_traffic plans =
    MakeTraffic("pallet-plans", "dispatch-assistant", 0.3, 1500, 600);
  // The prompts and outputs of this class vary most in length: one in forty is
  // more than seven times as long as the median.
  plans.mLengthLogStdDev = 1.0;
  made.mTraffic = {
    MakeTraffic("route-notes", "dispatch-assistant", 0.3, 400, 60),
    MakeTraffic("dispatch", "dispatch-assistant", 0.25, 600, 120),
    plans,
    MakeTraffic("summaries", "dispatch-assistant", 0.15, 1000, 250),
    MakeTraffic("dispatch", "warehouse-ledger", 0.4, 600, 120),
    MakeTraffic("pallet-plans", "warehouse-ledger", 0.6, 1500, 400),
  };
  return made;
}

deployment
FerreiraNetos()
{
  constexpr domain_names kDomains = { "sala-alcantara",
                                      "sala-loures",
                                      "sala-oeiras" };
  deployment made;
  made.mName = "ferreira-netos";
  made.mInterDomainLatency = std::chrono::microseconds(500);
  declarations& declared = made.mDeclared;
  AddClass(declared,
           "inspector",
           MakeLevel(1, Milliseconds(800), Seconds(15)),
           0.2,
           true);
  AddClass(
    declared, "crew-tags", MakeLevel(2, Seconds(1), Seconds(15)), 0.1, false);
  AddClass(declared,
           "resident-reports",
           MakeLevel(3, Seconds(3), Seconds(45)),
           0.25,
           true);
  AddClass(
    declared, "case-files", MakeLevel(4, Seconds(10), Seconds(90)), 0.1, true);
  AddEngines(declared, "fleet", 12, made.mEngine.mSlots, kDomains);
  AddEngines(declared, "portal", 3, made.mEngine.mSlots, kDomains);
  AddTeams(declared);
  AddInstances(made, kDomains);
  made.mTraffic = {
    MakeTraffic("inspector", "fleet", 0.25, 800, 120),
    MakeTraffic("crew-tags", "fleet", 0.1, 500, 40),
    MakeTraffic("resident-reports", "fleet", 0.4, 1200, 200),
    MakeTraffic("case-files", "fleet", 0.25, 1500, 400),
    MakeTraffic("inspector", "portal", 0.3, 500, 100),
    MakeTraffic("resident-reports", "portal", 0.7, 700, 150),
  };
  return made;
}

double
RequestRate(const deployment& aDeployment, const class_traffic& aTraffic)
{
  const engine_settings& engine = aDeployment.mEngine;
  const auto engines = std::ranges::count_if(
    aDeployment.mDeclared.mEndpoints, [&aTraffic](const endpoint& aEach) {
      return std::ranges::count(aEach.mPools, aTraffic.mPool) > 0;
    });
  // The mean of a log-normal distribution is above its median.
  const double mean =
    std::exp(aTraffic.mLengthLogStdDev * aTraffic.mLengthLogStdDev / 2);
  const double prefills =
    std::max(1.0, aTraffic.mMedianPrompt * mean / engine.mPrefillChunk);
  const double step = ToSeconds(engine.mBaseStep) +
                      ToSeconds(engine.mStepPerRunning) * engine.mSlots;
  const double slotSeconds =
    (prefills + aTraffic.mMedianOutput * mean) * step +
    prefills * ToSeconds(engine.mStepPerPrefill) * engine.mSlots;
  return aTraffic.mShareOfPool * static_cast<double>(engines) * engine.mSlots /
         slotSeconds;
}

} // namespace thornhollow::scenario
