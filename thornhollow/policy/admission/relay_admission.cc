#include "thornhollow/policy/admission/relay_admission.h"

#include <algorithm>

namespace thornhollow {
namespace {

// Minimum requests per second for which a team counts as active: one request
// within three time constants of the rate.
constexpr double kMinTeamRate = 0.025;
constexpr duration kEvictionInterval = Seconds(1);
// Divisor that yields the maximum retry delay of a refused caller from the time
// left until the caller times out.
constexpr int kTimeLeftDivisor = 3;

} // namespace

relay_admission::relay_admission(const relay_admission_settings& aSettings)
  : mSettings(aSettings)
  , mRetrySchedule(aSettings.mRetrySchedule)
{
}

void
relay_admission::SetCapacity(double aTokensPerSecond)
{
  mCapacity = aTokensPerSecond;
}

double
relay_admission::PrefillTokensPerSecond(time_point aNow) const
{
  return std::max({ mStartedTokens.PerSecond(aNow),
                    mCapacity * mSettings.mMinPrefillFraction,
                    1.0 });
}

duration
relay_admission::ObservedWait(time_point aNow) const
{
  const double answers = mAnswers.PerSecond(aNow);
  return answers > 0 ? FromSeconds(mWaits.PerSecond(aNow) / answers)
                     : duration::zero();
}

std::optional<admission_refusal>
relay_admission::Decide(const admission_request& aRequest,
                        std::mt19937_64& aRandom,
                        time_point aNow)
{
  EvictIdleTeams(aNow);
  mRequests.Add(1, aNow);
  mRequestsByTeam[aRequest.mTeam].Add(1, aNow);
  mTiers.OnRequest(aRequest.mTier, aNow);
  if (OvertakesQueue(aRequest, aNow)) {
    return std::nullopt;
  }
  const duration wait = aRequest.mExpectedWait;
  const duration observed = ObservedWait(aNow);
  const double maxWait =
    ToSeconds(aRequest.mTarget) * WaitFactor(aRequest.mTeam, aNow);
  const bool meetsDeadline = wait < aRequest.mTimeLeft;
  const bool calm =
    ToSeconds(observed) < maxWait * mSettings.mMinObservedFraction;
  const bool soon = aRequest.mIsRetry || ToSeconds(wait) <= maxWait;
  const bool fits = calm || (meetsDeadline && soon);
  // A request without a target time has no maximum wait that a queue could
  // exceed.
  const bool promised = aRequest.mTarget > duration::zero();
  if (!mSettings.mAdmit || !promised ||
      (fits && !ExceedsCapacity(aRequest, aRandom, aNow))) {
    return std::nullopt;
  }
  const duration backlog =
    std::max(wait - FromSeconds(maxWait), duration::zero());
  const duration after = mRetrySchedule.ScheduleRetry(
    backlog, aRequest.mTokens, PrefillTokensPerSecond(aNow), aRandom, aNow);
  return admission_refusal{
    meetsDeadline ? error_kind::kQueueFull : error_kind::kDeadlineUnmeetable,
    std::min<duration>(after, aRequest.mTimeLeft / kTimeLeftDivisor),
    wait,
    observed,
    FromSeconds(maxWait)
  };
}

// The mean wait up to which a tier counts as served soon is lower for a team
// above its fair share, because a burst of that team alone could occupy all
// slots.
bool
relay_admission::OvertakesQueue(const admission_request& aRequest,
                                time_point aNow) const
{
  const double calm = ToSeconds(aRequest.mTarget) *
                      mSettings.mMinObservedFraction *
                      std::min(1.0, WaitFactor(aRequest.mTeam, aNow));
  return mTiers.HasLowerDemand(aRequest.mTier, aNow) &&
         ToSeconds(mTiers.MeanWait(aRequest.mTier, aNow)) < calm;
}

bool
relay_admission::ExceedsCapacity(const admission_request& aRequest,
                                 std::mt19937_64& aRandom,
                                 time_point aNow) const
{
  if (aRequest.mOverload < mSettings.mOverloadThreshold) {
    return false;
  }
  const double factor = aRequest.mIsRetry ? mSettings.mRetryFactor : 1;
  std::uniform_real_distribution<double> chance(0, 1);
  return chance(aRandom) * aRequest.mOverload >
         factor * WaitFactor(aRequest.mTeam, aNow);
}

double
relay_admission::WaitFactor(const team_name& aTeam, time_point aNow) const
{
  const auto found = mRequestsByTeam.find(aTeam);
  const double rate =
    found == mRequestsByTeam.end() ? 0 : found->second.PerSecond(aNow);
  const auto teams = std::max<std::size_t>(mRequestsByTeam.size(), 1);
  const double fairShare =
    mRequests.PerSecond(aNow) / static_cast<double>(teams);
  if (mRequestsByTeam.size() > 1 &&
      rate > fairShare * mSettings.mAboveShareThreshold) {
    return mSettings.mAboveShareFactor;
  }
  return rate < fairShare ? mSettings.mBelowShareFactor : 1;
}

void
relay_admission::EvictIdleTeams(time_point aNow)
{
  if (aNow < mNextEviction) {
    return;
  }
  mNextEviction = aNow + kEvictionInterval;
  std::erase_if(mRequestsByTeam, [aNow](const auto& aEntry) {
    return aEntry.second.PerSecond(aNow) < kMinTeamRate;
  });
}

void
relay_admission::OnSent(const admitted_prompt& aPrompt)
{
  mUnstartedTokens += aPrompt.mTokens;
  mTiers.OnSent(aPrompt.mTier);
}

void
relay_admission::OnStarted(const admitted_prompt& aPrompt,
                           duration aWait,
                           time_point aNow)
{
  mStartedTokens.Add(aPrompt.mTokens, aNow);
  mAnswers.Add(1, aNow);
  mWaits.Add(ToSeconds(aWait), aNow);
  mTiers.OnResponseStarted(aPrompt.mTier, aWait, aNow);
  ReduceUnstarted(aPrompt.mTokens);
}

void
relay_admission::OnAborted(const admitted_prompt& aPrompt)
{
  mTiers.OnAbandoned(aPrompt.mTier);
  ReduceUnstarted(aPrompt.mTokens);
}

void
relay_admission::ReduceUnstarted(std::uint32_t aTokens)
{
  mUnstartedTokens -= std::min<std::uint64_t>(mUnstartedTokens, aTokens);
  if (mUnstartedTokens == 0) {
    // The rates of responses and of their waits decay alike, so their ratio,
    // the mean wait, would stay at the wait of the last responses indefinitely.
    mAnswers = decaying_rate();
    mWaits = decaying_rate();
  }
}

} // namespace thornhollow
