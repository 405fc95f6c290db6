#include "thornhollow/policy/relay_admission.h"

#include <algorithm>

namespace thornhollow {
namespace {

// A team counts while it asks for at least so many requests a second: one
// within three times the rate's memory.
constexpr double kLeastTeamRate = 0.025;
constexpr duration kForgetEvery = Seconds(1);
// Callers come back only within a third of the time that they have left.
constexpr int kPartOfTimeLeft = 3;

} // namespace

relay_admission::relay_admission(const relay_admission_settings& aSettings)
  : mSettings(aSettings)
  , mReturns(aSettings.mReturns)
{
}

void
relay_admission::SetCapacity(double aTokensPerSecond)
{
  mCapacity = aTokensPerSecond;
}

double
relay_admission::Rate(time_point aNow) const
{
  return std::max(
    { mStarted.PerSecond(aNow), mCapacity * mSettings.mLeastReading, 1.0 });
}

duration
relay_admission::SeenWait(time_point aNow) const
{
  const double answers = mAnswers.PerSecond(aNow);
  return answers > 0 ? FromSeconds(mWaits.PerSecond(aNow) / answers)
                     : duration::zero();
}

std::optional<admission_refusal>
relay_admission::Judge(const admission_request& aRequest,
                       std::mt19937_64& aRandom,
                       time_point aNow)
{
  ForgetIdleTeams(aNow);
  mAsked.Add(1, aNow);
  mAskedByTeam[aRequest.mTeam].Add(1, aNow);
  mTiers.OnRequest(aRequest.mTier, aNow);
  if (ServedFirst(aRequest, aNow)) {
    return std::nullopt;
  }
  const duration wait = aRequest.mExpected;
  const duration seen = SeenWait(aNow);
  const double longest =
    ToSeconds(aRequest.mTarget) * PartFor(aRequest.mTeam, aNow);
  const bool inTime = wait < aRequest.mTimeLeft;
  const bool calm = ToSeconds(seen) < longest * mSettings.mSeenPartOfTarget;
  const bool soon = aRequest.mReturns || ToSeconds(wait) <= longest;
  const bool fits = calm || (inTime && soon);
  // A route without a target promises nothing that a queue could break.
  const bool promised = aRequest.mTarget > duration::zero();
  if (!mSettings.mAdmit || !promised ||
      (fits && !InExcess(aRequest, aRandom, aNow))) {
    return std::nullopt;
  }
  const duration backlog =
    std::max(wait - FromSeconds(longest), duration::zero());
  const duration after = mReturns.ComeBackAfter(
    backlog, aRequest.mTokens, Rate(aNow), aRandom, aNow);
  return admission_refusal{
    inTime ? error_kind::kQueueFull : error_kind::kDeadlineUnmeetable,
    std::min<duration>(after, aRequest.mTimeLeft / kPartOfTimeLeft),
    wait,
    seen,
    FromSeconds(longest)
  };
}

// For a team that asks for more than its even part its tier has to wait less:
// its burst alone could take all slots.
bool
relay_admission::ServedFirst(const admission_request& aRequest,
                             time_point aNow) const
{
  const double calm = ToSeconds(aRequest.mTarget) *
                      mSettings.mSeenPartOfTarget *
                      std::min(1.0, PartFor(aRequest.mTeam, aNow));
  return mTiers.HasLowerDemand(aRequest.mTier, aNow) &&
         ToSeconds(mTiers.MeanWait(aRequest.mTier, aNow)) < calm;
}

bool
relay_admission::InExcess(const admission_request& aRequest,
                          std::mt19937_64& aRandom,
                          time_point aNow) const
{
  if (aRequest.mOverload < mSettings.mClearOverload) {
    return false;
  }
  const double more = aRequest.mReturns ? mSettings.mForReturning : 1;
  std::uniform_real_distribution<double> chance(0, 1);
  return chance(aRandom) * aRequest.mOverload >
         more * PartFor(aRequest.mTeam, aNow);
}

double
relay_admission::PartFor(const team_name& aTeam, time_point aNow) const
{
  const auto found = mAskedByTeam.find(aTeam);
  const double its =
    found == mAskedByTeam.end() ? 0 : found->second.PerSecond(aNow);
  const auto teams = std::max<std::size_t>(mAskedByTeam.size(), 1);
  const double even = mAsked.PerSecond(aNow) / static_cast<double>(teams);
  if (mAskedByTeam.size() > 1 && its > even * mSettings.mMoreFrom) {
    return mSettings.mForMore;
  }
  return its < even ? mSettings.mForLess : 1;
}

void
relay_admission::ForgetIdleTeams(time_point aNow)
{
  if (aNow < mNextForget) {
    return;
  }
  mNextForget = aNow + kForgetEvery;
  std::erase_if(mAskedByTeam, [aNow](const auto& aOne) {
    return aOne.second.PerSecond(aNow) < kLeastTeamRate;
  });
}

void
relay_admission::OnSent(const admitted_prompt& aPrompt)
{
  mUnstarted += aPrompt.mTokens;
  mTiers.OnSent(aPrompt.mTier);
}

void
relay_admission::OnStarted(const admitted_prompt& aPrompt,
                           duration aWait,
                           time_point aNow)
{
  mStarted.Add(aPrompt.mTokens, aNow);
  mAnswers.Add(1, aNow);
  mWaits.Add(ToSeconds(aWait), aNow);
  mTiers.OnResponseStarted(aPrompt.mTier, aWait, aNow);
  OnUnstartedLess(aPrompt.mTokens);
}

void
relay_admission::OnLost(const admitted_prompt& aPrompt)
{
  mTiers.OnAbandoned(aPrompt.mTier);
  OnUnstartedLess(aPrompt.mTokens);
}

void
relay_admission::OnUnstartedLess(std::uint32_t aTokens)
{
  mUnstarted -= std::min<std::uint64_t>(mUnstarted, aTokens);
  if (mUnstarted == 0) {
    // Both rates fade alike, so their ratio would say forever how long the last
    // answers had waited.
    mAnswers = faded_rate();
    mWaits = faded_rate();
  }
}

} // namespace thornhollow
