// One run of a scenario: callers, entry instances each with its own policy, and
// the engines they share, in virtual time. Judged by what callers received.
//
//   const outcome got = Run(GraniteRelay(), Overload(2.0), policy, 7);
//   got.mClasses[0].Attainment();
//
#ifndef THORNHOLLOW_POLICY_SCENARIO_SIMULATION_H_
#define THORNHOLLOW_POLICY_SCENARIO_SIMULATION_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "thornhollow/policy/scenario/baselines.h"
#include "thornhollow/policy/scenario/deployment.h"
#include "thornhollow/policy/scheduler.h"

namespace thornhollow::scenario {

// The policy under test: the project's scheduler, or a baseline.
using policy_choice =
  std::variant<scheduler_settings, round_robin, least_outstanding>;

// From `mFrom` to `mUntil` after the start, the traffic that matches is
// multiplied. An empty class or team matches all.
struct surge
{
  duration mFrom{};
  duration mUntil{};
  double mFactor = 1;
  class_name mClass;
  team_name mTeam;
};

enum class injected_fault_kind : std::uint8_t
{
  // The engine takes `mFactor` times as long for each step.
  kSlow,
  // The engine loses all work and refuses connections.
  kCrash,
  // Instances and engines of `mDomain` reach each other only.
  kPartition,
  // The instance's process stands still.
  kPause,
};

struct injected_fault
{
  injected_fault_kind mKind = injected_fault_kind::kSlow;
  duration mFrom{};
  duration mUntil{};
  // Index of the endpoint in the declarations, or of the instance.
  std::size_t mIndex = 0;
  double mFactor = 1;
  domain_name mDomain;
};

struct scenario_spec
{
  std::string mName;
  std::string mDescription;
  duration mLength = Seconds(60);
  // Work asked for, as a part of what the engines can do.
  double mLoad = 0.7;
  std::vector<surge> mSurges;
  std::vector<injected_fault> mFaults;
  // The first team's part of each class's requests; the others share the rest
  // evenly.
  double mFirstTeamShare = 0.1;
  // Chance that a caller that was refused comes back, and how often it does.
  double mRetryProbability = 0.5;
  int mMaxRetries = 3;
  // Age of a load report when it arrives; none arrive where it is negative.
  duration mReportLag = Milliseconds(500);
  // The part of requests that use the first prefix, where above 0.
  double mHotPrefixShare = 0;
  // The one instance that gets all of tier 1, and nothing else; none where
  // negative.
  int mHighTierInstance = -1;
  // From when on all should be as before; zero where nothing disturbs.
  duration mRecoveryFrom{};
};

inline constexpr std::size_t kRefusalKinds = kErrorKindCount;

struct class_outcome
{
  class_name mClass;
  int mTier = kLowestTier;
  std::uint32_t mRequests = 0;
  // First token within the level's target, mean gap between tokens too, and
  // the whole answer received.
  std::uint32_t mAttained = 0;
  std::uint32_t mCompleted = 0;
  // Its part of `outcome::mTokensPerSecond`.
  double mTokensPerSecond = 0;
  std::vector<double> mFirstTokenSeconds;

  double Attainment() const;
  double Completion() const;
  // Of the completed; 0 where there are none.
  double FirstTokenQuantile(double aQuantile) const;
};

struct outcome
{
  std::vector<class_outcome> mClasses;
  // Over all classes, of every team but the first.
  double mOtherTeamsAttainment = 0;
  // Useful work a second: of whole answers, received within their deadline.
  double mTokensPerSecond = 0;
  double mRequestsPerSecond = 0;
  // Tokens computed for answers that nobody received, of all computed; a
  // prompt token counts as `kPromptTokenCost` of one put out.
  double mWastedFraction = 0;
  // Answers with an error, by kind.
  std::array<std::uint32_t, kRefusalKinds> mErrors{};
  // Seconds from `mRecoveryFrom` until attainment stays at or above nine in
  // ten.
  double mRecoverySeconds = 0;
  // Largest part of the requests told to come back that came within one and
  // the same 100 ms.
  double mRetryPeak = 0;
};

outcome
Run(const deployment& aDeployment,
    const scenario_spec& aScenario,
    const policy_choice& aPolicy,
    std::uint64_t aSeed);

} // namespace thornhollow::scenario

#endif // THORNHOLLOW_POLICY_SCENARIO_SIMULATION_H_
