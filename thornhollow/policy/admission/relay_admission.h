// Admission control for prompts that may wait at engines for a short time.
// Prompts are admitted or refused by the waits of prompts admitted earlier.
//
//   relay_admission admission(relay_admission_settings{});
//   if (const auto refusal = admission.Decide(request, random, now)) {
//     ... answer with refusal->mKind and refusal->mRetryAfter ...
//   }
//   admission.OnSent(prompt);
//   admission.OnStarted(prompt, wait, now);   // or OnAborted(prompt)
//
// Load pattern: for ten seconds, twice as many long prompts arrive as engines
// can prefill. Engines that accept them all serve them in order of arrival:
// after a few seconds every response starts late, and a third of the callers
// disconnect before their response starts, when most of its prefill is done.
// Admission therefore accepts only as many prompts as can start in time and
// tells the other callers at once when to retry. In a run of half a minute with
// such an overload, with ninety engines of 16 slots each, responses reached
// 0.37 of their maximum value to callers with admission and 0.26 without; in a
// second run, 0.31 and 0.18. Both were measured with real processes, one run
// each.
//
// The wait of a new request is predicted by placement for the engine that it
// chose, from the prompts that this and other instances have sent there. The
// prediction is used only while responses are observed to start late, because
// data about the prompts of other instances is stale. Retries of refused
// requests are admitted as long as they can be served before their deadline;
// while the demand exceeds `mOverloadThreshold`, only a part of them is.
//
// With ninety instances that send thousands of prompts per second in total,
// predictions from stale data fail: every instance saw free engines, and of
// 2,000 prompts per second only 30 started in time, although engines could
// prefill 460 to 1,450 per second. Therefore, once the demand summed over all
// instances exceeds `mOverloadThreshold` times the prefill capacity, each
// instance admits at random only the fraction of its requests that fits the
// capacity.
//
// Tiers: while lower tiers have demand, requests of a tier whose own responses
// start soon are admitted however long lower tiers wait, since engines serve
// the higher tier first. Without this rule they would be refused because of
// queued requests that engines serve after them.
//
// Teams: for a team that exceeds its fair share of the requests, the maximum
// wait is halved; for a team below its share it is a quarter longer. A team
// that sends many times its usual load is thus refused before it delays the
// others. Shares are counted in requests rather than tokens: with tokens, any
// team that sent one of the largest tenth of prompts counted as exceeding its
// share, and the responses to those prompts reached 0.25 of their maximum value
// instead of 0.34.
#ifndef THORNHOLLOW_POLICY_ADMISSION_RELAY_ADMISSION_H_
#define THORNHOLLOW_POLICY_ADMISSION_RELAY_ADMISSION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>

#include "thornhollow/base/error.h"
#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/policy/admission/retry_schedule.h"
#include "thornhollow/policy/admission/tier_waits.h"
#include "thornhollow/policy/decaying_rate.h"

namespace thornhollow {

struct relay_admission_settings
{
  // Whether requests may be refused; if false, all requests are admitted.
  bool mAdmit = true;
  // While the mean observed wait is below this fraction of the maximum wait,
  // requests are not refused for their predicted wait. The few prompts that one
  // instance has waiting differ too much in length for the prediction alone to
  // be reliable.
  double mMinObservedFraction = 0.4;
  // Lower bound for the fraction of an engine's time that is spent on prefill:
  // the decoding steps of a full batch of streams take the other half.
  double mMinPrefillFraction = 0.5;
  // Ratio of demand to prefill capacity from which only the fraction of
  // requests that fits the capacity is admitted. The ratio is well above 1
  // because the estimates of demand and capacity may each be off by about 20%.
  double mOverloadThreshold = 1.5;
  // Factor on the probability that a retry is admitted while
  // `mOverloadThreshold` is exceeded.
  double mRetryFactor = 1.5;
  // Factors on the maximum wait for teams above and below their fair share. The
  // two factors differ enough that the queue caused by a team above its share
  // does not reach the maximum wait of teams below their share.
  double mAboveShareFactor = 0.5;
  double mBelowShareFactor = 1.25;
  // Multiple of the fair share above which a team counts as exceeding it. A
  // team often sends twice as many requests as others by chance.
  double mAboveShareThreshold = 2;
  // Retry delays range from 0.5 s, the prefill time of a few prompts, to 5 s, a
  // third of the 15 s for which callers wait.
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
  // Number of prompt tokens to prefill for the request.
  std::uint32_t mTokens = 0;
  // Target for the time to the first event; zero if the request has none.
  duration mTarget{};
  // Time until the caller times out.
  duration mTimeLeft{};
  // Time to the first event as predicted by placement.
  duration mExpectedWait{};
  // Whether the caller retries this request after a refusal.
  bool mIsRetry = false;
  // Ratio of the demand, summed over all instances, to the prefill capacity.
  double mOverload = 0;

  friend bool operator==(const admission_request&,
                         const admission_request&) = default;
};

// A prompt admitted to engines, with the number of its tokens to prefill.
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
  // Inputs of the decision to refuse the request: the predicted wait, the mean
  // wait of responses that started recently, and the maximum wait allowed for
  // this team.
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

  // Sets this instance's part of the engines' prefill capacity for the requests
  // passed to `Decide`, in prompt tokens per second when engines do nothing but
  // prefill.
  void SetCapacity(double aTokensPerSecond);

  // Admits or refuses the request. Returns nullopt if the request is admitted,
  // and the reason and retry delay if it is refused. Admitted and refused
  // requests both count towards the team's demand.
  std::optional<admission_refusal> Decide(const admission_request& aRequest,
                                          std::mt19937_64& aRandom,
                                          time_point aNow);

  void OnSent(const admitted_prompt& aPrompt);
  // To be called when the response to a prompt started, `aWait` after the
  // prompt was sent.
  void OnStarted(const admitted_prompt& aPrompt,
                 duration aWait,
                 time_point aNow);
  // To be called when a request that was sent ended before its response
  // started.
  void OnAborted(const admitted_prompt& aPrompt);

  // Mean wait of responses that started recently; zero once no admitted prompt
  // waits for its response.
  duration ObservedWait(time_point aNow) const;

private:
  double PrefillTokensPerSecond(time_point aNow) const;
  // Whether the request will be served soon although requests of lower tiers
  // are queued, because engines serve the request's higher tier first.
  bool OvertakesQueue(const admission_request& aRequest, time_point aNow) const;
  void ReduceUnstarted(std::uint32_t aTokens);
  // Decides at random whether the request is refused in an overload, such that
  // the admitted requests fit the prefill capacity. True: it is refused.
  bool ExceedsCapacity(const admission_request& aRequest,
                       std::mt19937_64& aRandom,
                       time_point aNow) const;
  // Factor on the maximum wait of requests of the team, which depends on
  // whether the team is above or below its fair share.
  double WaitFactor(const team_name& aTeam, time_point aNow) const;
  void EvictIdleTeams(time_point aNow);

  relay_admission_settings mSettings;
  double mCapacity = 0;
  std::uint64_t mUnstartedTokens = 0;
  decaying_rate mStartedTokens;
  // Responses that started, per second.
  decaying_rate mAnswers;
  // Waits of the responses counted in `mAnswers`, in seconds per second.
  decaying_rate mWaits;
  tier_waits mTiers;
  // Rate of requests received, whether admitted or not: over all teams, and for
  // each recently active team.
  decaying_rate mRequests;
  std::map<team_name, decaying_rate> mRequestsByTeam;
  time_point mNextEviction{};
  retry_schedule mRetrySchedule;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ADMISSION_RELAY_ADMISSION_H_
