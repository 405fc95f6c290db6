// Whether a prompt that may wait a little is taken, by how long the ones taken
// before it wait.
//
//   relay_admission admission(relay_admission_settings{});
//   if (const auto refused = admission.Judge(request, random, now)) {
//     ... answer with refused->mKind, to come back after that time ...
//   }
//   admission.OnSent(prompt);
//   admission.OnStarted(prompt, wait, now);   // or OnLost(prompt)
//
// Load pattern: for ten seconds twice as many long prompts as engines can read.
// Engines take them all and serve them in order: after a few seconds every
// answer begins late, and a third of the callers has left before theirs began,
// when most of the work for it was done. Taken are then only as many as begin
// in time; the others are told at once when to come back. Answers of such a
// half minute, on ninety engines with 16 places each, were worth 0.37 of what
// they could be to callers instead of 0.26, and 0.31 instead of 0.18 on a
// second one (real processes, one run each).
//
// The wait is what placement expects of the best engine, by what this instance
// and others have sent there. It is believed only while answers were seen to
// begin late, as news of others' prompts is old. Who was refused before and
// comes back is taken as long as its caller is served at all, but in a clear
// overload.
//
// News of others' prompts is too old where ninety instances send thousands of
// prompts a second: each saw engines with room, and of 2,000 prompts a second
// 30 began in time, where engines could read 460 to 1,450. So once more is
// asked for than `mClearOverload` times what engines can read, by sums over all
// instances, no more than that part of it is taken.
//
// Tiers: while a lower one is asked for, a tier whose own answers begin soon is
// taken, whatever the lower ones wait: engines serve it first. Else it would be
// refused for a queue that it doesn't stand in.
//
// Teams: one that asks for more than its even part is refused at half of that
// wait, one that asks for less at a quarter more. So a team that sends many
// times its usual waits behind itself. They are counted by requests: by tokens,
// whoever sent a prompt of the largest tenth counted as asking for more, and
// those prompts were worth 0.25 instead of 0.34.
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
#include "thornhollow/policy/faded_rate.h"
#include "thornhollow/policy/retry_schedule.h"
#include "thornhollow/policy/tier_waits.h"

namespace thornhollow {

struct relay_admission_settings
{
  // False: all are taken.
  bool mAdmit = true;
  // Nothing is refused while answers began sooner than this part of the target
  // lately, in the mean: one instance's queue is a few prompts of very
  // different length, and says by itself too little.
  double mSeenPartOfTarget = 0.4;
  // Part of their time for which engines read at the least: a full batch of
  // streams takes the other half.
  double mLeastReading = 0.5;
  // From here on only the part that engines can read is taken: what is counted
  // as work and what engines can do are known to a fifth or so each.
  double mClearOverload = 1.5;
  // Who comes back is taken so much more often then.
  double mForReturning = 1.5;
  // Of the longest wait, for teams above and below their even part: enough
  // apart for the queue of one not to reach the others' bound.
  double mForMore = 0.5;
  double mForLess = 1.25;
  // Above this many times the even part a team counts as asking for more: two
  // requests where others have one are chance.
  double mMoreFrom = 2;
  // From a few prompts' reading to the third of 15 s that callers wait for.
  retry_schedule_settings mReturns = { .mMinDelay = Milliseconds(500),
                                       .mMaxDelay = Seconds(5) };

  friend bool operator==(const relay_admission_settings&,
                         const relay_admission_settings&) = default;
};

struct admission_request
{
  team_name mTeam = {};
  // 0 is served first.
  std::uint32_t mTier = 0;
  // Prompt tokens to be read for it.
  std::uint32_t mTokens = 0;
  // To its first event.
  duration mTarget{};
  // Until its caller stops waiting.
  duration mTimeLeft{};
  // Until its first event, as placement expects it.
  duration mExpected{};
  // Its caller has asked before.
  bool mReturns = false;
  // What is asked for over all instances, for each token that engines can read.
  double mOverload = 0;

  friend bool operator==(const admission_request&,
                         const admission_request&) = default;
};

// One that was taken.
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
  duration mComeBackAfter{};
  // What decided: the wait as worked out, the mean of answers that began
  // lately, and the longest wait that this team may have.
  duration mWait{};
  duration mSeenWait{};
  duration mLongest{};

  friend bool operator==(const admission_refusal&,
                         const admission_refusal&) = default;
};

class relay_admission
{
public:
  explicit relay_admission(const relay_admission_settings& aSettings);

  // Prompt tokens that the engines for this work read a second at full speed,
  // this instance's part of them.
  void SetCapacity(double aTokensPerSecond);

  // Nothing where the request is taken. It counts as asked for either way.
  std::optional<admission_refusal> Judge(const admission_request& aRequest,
                                         std::mt19937_64& aRandom,
                                         time_point aNow);

  void OnSent(const admitted_prompt& aPrompt);
  // Its answer begins.
  void OnStarted(const admitted_prompt& aPrompt,
                 duration aWait,
                 time_point aNow);
  // It ended before.
  void OnLost(const admitted_prompt& aPrompt);

  // Of answers that began lately, in the mean; zero once nothing waits.
  duration SeenWait(time_point aNow) const;

private:
  double Rate(time_point aNow) const;
  // Whether engines serve it before what waits.
  bool ServedFirst(const admission_request& aRequest, time_point aNow) const;
  void OnUnstartedLess(std::uint32_t aTokens);
  // Whether it is among those that can't be read.
  bool InExcess(const admission_request& aRequest,
                std::mt19937_64& aRandom,
                time_point aNow) const;
  // Of the longest wait, what the team may have.
  double PartFor(const team_name& aTeam, time_point aNow) const;
  void ForgetIdleTeams(time_point aNow);

  relay_admission_settings mSettings;
  double mCapacity = 0;
  std::uint64_t mUnstarted = 0;
  faded_rate mStarted;
  // Answers that began, and the seconds that they waited.
  faded_rate mAnswers;
  faded_rate mWaits;
  tier_waits mTiers;
  // Requests asked for, taken or not; by team those that asked lately.
  faded_rate mAsked;
  std::map<team_name, faded_rate> mAskedByTeam;
  time_point mNextForget{};
  retry_schedule mReturns;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_RELAY_ADMISSION_H_
