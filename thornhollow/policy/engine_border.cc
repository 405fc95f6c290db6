#include "thornhollow/policy/engine_border.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <span>

namespace thornhollow {
namespace {

// Of an engine's slots, what requests may take in the mean: each one more makes
// all others slower, and the rest is for clumps of arrivals.
constexpr double kSlotsInUse = 0.6;
// Engines for bulk work when kinds are kept apart first: what arrived until
// then is too little to go by, and long prompts need more of them.
constexpr double kFirstPart = 0.62;
// Kinds of which less comes than this many requests a second don't count.
constexpr double kLeastRequests = 0.05;

// When a side counts as full.
struct side_bounds
{
  // Part of the time for which its engines read.
  double mBusy = 0;
  // What each hundredth of its slots beyond `kSlotsInUse` counts for, as
  // compared to one before.
  double mBeyondSlots = 1;
};

// How full so many engines are with these kinds: 1 where they read for as long,
// or have as many requests, as they should.
double
Full(std::span<const kind_demand> aKinds,
     std::size_t aEngines,
     const side_bounds& aBounds,
     const engine_facts& aFacts)
{
  double tokens = 0;
  double open = 0;
  for (const kind_demand& each : aKinds) {
    tokens += each.mTokens;
    open += each.mOpen;
  }
  const auto engines = static_cast<double>(aEngines);
  const double slots =
    engines * static_cast<double>(aFacts.mSlots) * kSlotsInUse;
  const double taken = slots > 0 ? open / slots : 0;
  const double beyond = std::max(taken - 1, 0.0);
  return std::max(tokens / (engines * aFacts.mReadPerSecond * aBounds.mBusy),
                  std::min(taken, 1.0) + beyond * aBounds.mBeyondSlots);
}

// The nearest whole number of engines to a part of them.
std::size_t
PartOf(double aPart, std::size_t aEngines)
{
  return static_cast<std::size_t>(
    std::lround(aPart * static_cast<double>(aEngines)));
}

// The size of a prompt, weighted by size: what a token that is read belongs to.
double
WeightedTokens(const kind_demand& aKind)
{
  return aKind.mSquares / std::max(aKind.mTokens, 1.0);
}

} // namespace

engine_border::engine_border(const engine_border_settings& aSettings)
  : mSettings(aSettings)
{
}

void
engine_border::Observe(const demand_sums& aDemand,
                       const engine_facts& aFacts,
                       time_point aNow)
{
  if (!mSettings.mSeparate || aFacts.mEngines < mSettings.mLeastEngines) {
    mEngines = aFacts.mEngines;
    mBulk = aFacts.mEngines;
    mBulkKinds.clear();
    return;
  }
  if (mEngines != aFacts.mEngines) {
    mEngines = aFacts.mEngines;
    mBulk = std::clamp<std::size_t>(PartOf(mPart, mEngines),
                                    mBulkKinds.empty() ? 1 : Least(),
                                    mBulkKinds.empty() ? mEngines
                                                       : mEngines - Least());
  }
  demand_sums arriving;
  std::ranges::copy_if(
    aDemand, std::back_inserter(arriving), [](const kind_demand& aOne) {
      return aOne.mRequests >= kLeastRequests;
    });
  if (!arriving.empty() && aFacts.mReadPerSecond > 0) {
    mFirstDemand = mFirstDemand.value_or(aNow);
    ChooseKinds(arriving, aFacts, aNow);
    ChooseCount(arriving, aFacts, aNow);
  }
}

// The longest kinds that make up a quarter of all reading, if a few of their
// prompts in a row take longer to read than streams of another kind may pause.
std::vector<work_kind>
engine_border::Harmful(demand_sums aArriving, const engine_facts& aFacts) const
{
  std::ranges::sort(aArriving, std::ranges::greater(), WeightedTokens);
  double all = 0;
  for (const kind_demand& each : aArriving) {
    all += each.mTokens;
  }
  std::vector<work_kind> bulk;
  double read = 0;
  double shortest = 0;
  std::size_t at = 0;
  for (; at < aArriving.size() && read < all * mSettings.mBulkReads; ++at) {
    read += aArriving[at].mTokens;
    shortest = WeightedTokens(aArriving[at]);
    bulk.push_back(aArriving[at].mKind);
  }
  const double row =
    mBulkKinds.empty() ? mSettings.mRow : mSettings.mRowToLeave;
  const double spell = shortest / aFacts.mReadPerSecond * row;
  const bool harms =
    std::any_of(aArriving.begin() + static_cast<std::ptrdiff_t>(at),
                aArriving.end(),
                [spell](const kind_demand& aOne) {
                  return aOne.mKind.mPause > duration::zero() &&
                         ToSeconds(aOne.mKind.mPause) < spell;
                });
  if (!harms) {
    bulk.clear();
  }
  std::sort(bulk.begin(), bulk.end());
  return bulk;
}

void
engine_border::ChooseKinds(const demand_sums& aArriving,
                           const engine_facts& aFacts,
                           time_point aNow)
{
  std::vector<work_kind> bulk = Harmful(aArriving, aFacts);
  if (bulk == mBulkKinds) {
    mKindsDiffer.reset();
    return;
  }
  if (!mKindsDiffer) {
    mKindsDiffer = aNow;
  }
  if (!mBulkKinds.empty() && aNow - *mKindsDiffer < HoldKinds(aNow)) {
    return;
  }
  mKindsDiffer.reset();
  mBulkKinds = std::move(bulk);
  if (mBulkKinds.empty()) {
    mBulk = mEngines;
  } else if (mBulk == mEngines) {
    mBulk = std::clamp<std::size_t>(
      PartOf(kFirstPart, mEngines), LeastBulk(aFacts), mEngines - Least());
  }
  Remember(aNow);
}

void
engine_border::ChooseCount(const demand_sums& aArriving,
                           const engine_facts& aFacts,
                           time_point aNow)
{
  if (mBulkKinds.empty() || (mMoved && aNow - *mMoved < mSettings.mHold)) {
    return;
  }
  const sides apart = Apart(aArriving);
  const double present = Fullest(apart, mBulk, aFacts);
  const std::size_t best = Best(apart, aFacts);
  if (present <= mSettings.mFull || best == mBulk ||
      Fullest(apart, best, aFacts) * mSettings.mBetterBy > present) {
    return;
  }
  mBulk = best > mBulk ? std::min(best, mBulk + Step())
                       : std::max(best, mBulk - std::min(mBulk, Step()));
  Remember(aNow);
}

// What came in the first moment says little, and few streams have begun on the
// wrong engines: a first choice is taken back sooner.
duration
engine_border::HoldKinds(time_point aNow) const
{
  return std::min(mSettings.mHoldKinds, (aNow - *mFirstDemand) / 2);
}

engine_border::sides
engine_border::Apart(const demand_sums& aArriving) const
{
  sides apart;
  for (const kind_demand& each : aArriving) {
    (IsBulk(each.mKind) ? apart.mBulk : apart.mInteractive).push_back(each);
  }
  return apart;
}

double
engine_border::Fullest(const sides& aApart,
                       std::size_t aBulk,
                       const engine_facts& aFacts) const
{
  const side_bounds bulk{ mSettings.mBulkBusy, 1 };
  const side_bounds interactive{ mSettings.mInteractiveBusy,
                                 mSettings.mBeyondSlots };
  return std::max(
    Full(aApart.mBulk, aBulk, bulk, aFacts),
    Full(aApart.mInteractive, mEngines - aBulk, interactive, aFacts));
}

std::size_t
engine_border::Best(const sides& aApart, const engine_facts& aFacts) const
{
  const std::size_t first = LeastBulk(aFacts);
  std::size_t best = std::clamp(mBulk, first, mEngines - Least());
  double least = Fullest(aApart, best, aFacts);
  for (std::size_t each = first; each + Least() <= mEngines; ++each) {
    if (const double full = Fullest(aApart, each, aFacts); full < least) {
      best = each;
      least = full;
    }
  }
  return best;
}

void
engine_border::Remember(time_point aNow)
{
  mPart = static_cast<double>(mBulk) / static_cast<double>(mEngines);
  mMoved = aNow;
}

bool
engine_border::IsBulk(const work_kind& aKind) const
{
  return std::binary_search(mBulkKinds.begin(), mBulkKinds.end(), aKind);
}

std::size_t
engine_border::Least() const
{
  const std::size_t part = PartOf(mSettings.mLeastPart, mEngines);
  return std::min(std::max(part, mSettings.mLeast), mEngines / 2);
}

std::size_t
engine_border::LeastBulk(const engine_facts& aFacts) const
{
  return std::clamp(aFacts.mSlow, Least(), std::max(Least(), mEngines / 2));
}

std::size_t
engine_border::Step() const
{
  return std::max<std::size_t>(PartOf(mSettings.mStepPart, mEngines), 1);
}

} // namespace thornhollow
