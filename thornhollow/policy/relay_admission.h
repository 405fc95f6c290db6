// Admission control for prompts that may be queued for a short time, based on
// the waits of prompts admitted before.
//
//   relay_admission admission(relay_admission_settings{});
//   if (const auto refusal = admission.Decide(request, random, now)) {
//     ... answer with refusal->mKind and refusal->mRetryAfter ...
//   }
//   admission.OnSent(prompt);
//   admission.OnStarted(prompt, wait, now);   // or OnAborted(prompt)
//
// Load pattern: for ten seconds, twice as many long prompts arrive as engines
// can prefill. Engines that accept them all serve them in order: after a few
// seconds every response starts late, and a third of the callers leave before
// theirs starts, when most of the work for it is done. Admission therefore
// accepts only as many prompts as can start in time and tells the other callers
// at once when to retry. In such half minutes with ninety engines of 16 slots
// each, responses reached 0.37 of their maximum value to callers instead of
// 0.26, and 0.31 instead of 0.18 in a second one (real processes, one run
// each).
//
// The wait is the one that placement expects for the best engine, from what
// this and other instances have sent there. It is used only while responses
// were observed to start late, because data about the prompts of other
// instances is stale. Retries of refused requests are admitted as long as they
// can be served before their deadline, except in a clear overload.
//
// Data about the prompts of other instances is too stale when ninety instances
// send thousands of prompts per second: each saw free engines, and of 2,000
// prompts per second 30 started in time, where engines could prefill 460 to
// 1,450. Therefore, once the demand summed over all instances exceeds
// `mOverloadThreshold` times the prefill capacity, only the fraction of it that
// fits the capacity is admitted.
//
// Tiers: while there is demand in a lower tier, a tier whose own responses
// start soon is admitted regardless of the wait in lower tiers, since engines
// serve it first. Otherwise it would be refused because of a queue that it
// overtakes.
//
// Teams: a team that exceeds its fair share is refused at half of the maximum
// wait, one below its share at a quarter more than it. A team that sends many
// times its usual load thus queues behind itself. Shares are counted in
// requests rather than tokens: with tokens, any team that sent a prompt from
// the largest tenth counted as exceeding its share, and the value of those
// prompts was 0.25 instead of 0.34.
#ifndef THORNHOLLOW_POLICY_RELAY_ADMISSION_H_
#define THORNHOLLOW_POLICY_RELAY_ADMISSION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>

#include "thornhollow/base/error.h"
#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/policy/decaying_rate.h"
#include "thornhollow/policy/retry_schedule.h"
#include "thornhollow/policy/tier_waits.h"

namespace thornhollow {

struct relay_admission_settings
{
  // False: all requests are admitted.
  bool mAdmit = true;
  // Nothing is refused while the mean observed wait is below this fraction of
  // the maximum wait. The queue of one instance consists of a few prompts of
  // very different lengths and is too noisy a signal on its own.
  double mMinObservedFraction = 0.4;
  // Minimum fraction of their time that engines spend on prefill: a full batch
  // of streams takes the other half.
  double mMinPrefillFraction = 0.5;
  // Ratio of demand to capacity from which only the fraction that fits the
  // capacity is admitted. The estimates of demand and capacity are each
  // accurate to about a fifth.
  double mOverloadThreshold = 1.5;
  // Factor on the admission probability of retries in that case.
  double mRetryFactor = 1.5;
  // Factors on the maximum wait for teams above and below their fair share, far
  // enough apart that the queue of one team does not reach the limit of others.
  double mAboveShareFactor = 0.5;
  double mBelowShareFactor = 1.25;
  // Multiple of the fair share above which a team counts as exceeding it: two
  // requests where others have one are within chance.
  double mAboveShareThreshold = 2;
  // From the prefill time of a few prompts to a third of the 15 s for which
  // callers wait.
  retry_schedule_settings mRetrySchedule = { .mMinDelay = Milliseconds(500),
                                             .mMaxDelay = Seconds(5) };

  friend bool operator==(const relay_admission_settings&,
                         const relay_admission_settings&) = default;
};

struct admission_request
{
  team_name mTeam = {};
  // Priority tier; 0 is served first.
  std::uint32_t mTier = 0;
  // Prompt tokens to prefill.
  std::uint32_t mTokens = 0;
  // Target time to the first event.
  duration mTarget{};
  // Time until the caller times out.
  duration mTimeLeft{};
  // Time to the first event as predicted by placement.
  duration mExpectedWait{};
  // The caller has been refused before.
  bool mIsRetry = false;
  // Ratio of the demand over all instances to the prefill capacity.
  double mOverload = 0;

  friend bool operator==(const admission_request&,
                         const admission_request&) = default;
};

// A prompt that was admitted.
struct admitted_prompt
{
  std::uint32_t mTier = 0;
  std::uint32_t mTokens = 0;

  friend bool operator==(const admitted_prompt&,
                         const admitted_prompt&) = default;
};

struct admission_refusal
{
  error_kind mKind = error_kind::kQueueFull;
  duration mRetryAfter{};
  // Inputs of the decision: the predicted wait, the mean wait of responses that
  // started lately, and the maximum wait allowed for this team.
  duration mWait{};
  duration mObservedWait{};
  duration mMaxWait{};

  friend bool operator==(const admission_refusal&,
                         const admission_refusal&) = default;
};

class relay_admission
{
public:
  explicit relay_admission(const relay_admission_settings& aSettings);

  // This instance's fraction of the prefill capacity of the engines for this
  // work, in prompt tokens per second at full speed.
  void SetCapacity(double aTokensPerSecond);

  // Returns nothing if the request is admitted, and the reason otherwise. The
  // request counts towards the team's demand either way.
  std::optional<admission_refusal> Decide(const admission_request& aRequest,
                                          std::mt19937_64& aRandom,
                                          time_point aNow);

  void OnSent(const admitted_prompt& aPrompt);
  // The response started, `aWait` after the prompt was sent.
  void OnStarted(const admitted_prompt& aPrompt,
                 duration aWait,
                 time_point aNow);
  // The request ended before its response started.
  void OnAborted(const admitted_prompt& aPrompt);

  // Mean wait of responses that started lately; zero once no prompt is waiting.
  duration ObservedWait(time_point aNow) const;

private:
  double PrefillTokensPerSecond(time_point aNow) const;
  // Whether engines serve the request before the queued ones of lower tiers.
  bool OvertakesQueue(const admission_request& aRequest, time_point aNow) const;
  void ReduceUnstarted(std::uint32_t aTokens);
  // Whether the request falls, by chance, into the fraction of an overload that
  // exceeds the prefill capacity.
  bool ExceedsCapacity(const admission_request& aRequest,
                       std::mt19937_64& aRandom,
                       time_point aNow) const;
  // Factor on the maximum wait that applies to the team.
  double WaitFactor(const team_name& aTeam, time_point aNow) const;
  void EvictIdleTeams(time_point aNow);

  relay_admission_settings mSettings;
  double mCapacity = 0;
  std::uint64_t mUnstartedTokens = 0;
  decaying_rate mStartedTokens;
  // Responses that started, and their waits in seconds.
  decaying_rate mAnswers;
  decaying_rate mWaits;
  tier_waits mTiers;
  // Requests received, admitted or not; by team for recently active teams.
  decaying_rate mRequests;
  std::map<team_name, decaying_rate> mRequestsByTeam;
  time_point mNextEviction{};
  retry_schedule mRetrySchedule;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_RELAY_ADMISSION_H_
