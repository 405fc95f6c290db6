// Simulates one run of a scenario in virtual time: callers, entry instances
// with a policy each, and the engines that they share. The outcome is measured
// at the callers.
//
//   const deployment site = GraniteRelay();
//   const outcome got = Run(site, FindScenario(site, "overload_2"), policy, 7);
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

#include "thornhollow/policy/queues/scheduler.h"
#include "thornhollow/policy/scenario/baselines.h"
#include "thornhollow/policy/scenario/deployment.h"

namespace thornhollow::scenario {

// The policy under test: the project's scheduler or a baseline.
using policy_choice =
  std::variant<scheduler_settings, round_robin, least_outstanding>;

// Multiplies the matching traffic by `mFactor` from `mFrom` to `mUntil`,
// measured from the end of the warm-up. An empty class or team matches all
// classes or teams.
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
  // The instances and engines of `mDomain` can reach only each other.
  kPartition,
  // The instance's process is paused.
  kPause,
};

struct injected_fault
{
  injected_fault_kind mKind = injected_fault_kind::kSlow;
  duration mFrom{};
  duration mUntil{};
  // Index of the endpoint in the declarations (`kSlow`, `kCrash`) or of the
  // instance (`kPause`).
  std::size_t mIndex = 0;
  double mFactor = 1;
  domain_name mDomain;
};

struct scenario_spec
{
  std::string mName;
  std::string mDescription;
  duration mLength = Seconds(60);
  // Total demand as a fraction of the engines' capacity.
  double mLoad = 0.7;
  std::vector<surge> mSurges;
  std::vector<injected_fault> mFaults;
  // The first team's fraction of each class's requests. The remaining
  // requests are divided evenly between the other teams.
  double mFirstTeamShare = 0.1;
  // Probability that a caller retries after a retryable error, and the maximum
  // number of its retries.
  double mRetryProbability = 0.5;
  int mMaxRetries = 3;
  // Age of an engine's load report when it arrives at an instance. If negative,
  // no load reports arrive.
  duration mReportLag = Milliseconds(500);
  // Fraction of the requests that use their class's first prefix regardless of
  // the 1/n frequencies.
  double mHotPrefixShare = 0;
  // Index of the instance that receives all requests of the highest tier and no
  // requests of other tiers. If negative, requests go to random instances.
  int mHighTierInstance = -1;
  // Start of the recovery period, when the disturbance is over. Zero if the
  // scenario has no recovery to measure.
  duration mRecoveryFrom{};
};

inline constexpr std::size_t kRefusalKinds = kErrorKindCount;

struct class_outcome
{
  class_name mClass;
  int mTier = kLowestTier;
  std::uint32_t mRequests = 0;
  // Number of requests completed with the time to first token and the mean time
  // between tokens within the targets of their class's service level.
  std::uint32_t mAttained = 0;
  std::uint32_t mCompleted = 0;
  // The class's contribution to the goodput, `outcome::mTokensPerSecond`.
  double mTokensPerSecond = 0;
  std::vector<double> mFirstTokenSeconds;

  double Attainment() const;
  double Completion() const;
  // Time to first token in seconds at `aQuantile` (0 to 1) of the completed
  // requests; 0 if no request was completed.
  double FirstTokenQuantile(double aQuantile) const;
};

struct outcome
{
  std::vector<class_outcome> mClasses;
  // Attainment (see `mAttained`) of all teams except the first, over all
  // classes.
  double mOtherTeamsAttainment = 0;
  // Goodput: tokens per second in complete responses received within their
  // deadline.
  double mTokensPerSecond = 0;
  double mRequestsPerSecond = 0;
  // Fraction of the computed tokens that did not contribute to a complete
  // response. A prompt token counts as `kPromptTokenCost` output tokens.
  double mWastedFraction = 0;
  // Number of responses with an error, by kind.
  std::array<std::uint32_t, kRefusalKinds> mErrors{};
  // Seconds from `scenario_spec::mRecoveryFrom` until the attainment stays at
  // or above 0.9.
  double mRecoverySeconds = 0;
  // Largest fraction of all retries that arrived within the same interval of
  // 100 ms.
  double mRetryPeak = 0;
};

outcome
Run(const deployment& aDeployment,
    const scenario_spec& aScenario,
    const policy_choice& aPolicy,
    std::uint64_t aSeed);

} // namespace thornhollow::scenario

#endif // THORNHOLLOW_POLICY_SCENARIO_SIMULATION_H_
