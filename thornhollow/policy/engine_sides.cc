#include "thornhollow/policy/engine_sides.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace thornhollow {

engine_sides::engine_sides(const engine_sides_settings& aSettings)
  : mSettings(aSettings)
{
}

void
engine_sides::Observe(std::vector<engine_standing> aEngines,
                      std::size_t aBulk,
                      bool aIdle,
                      time_point aNow)
{
  std::ranges::sort(aEngines, {}, [](const engine_standing& aOne) {
    return std::tuple(!aOne.mSlow, aOne.mRank, aOne.mNumber);
  });
  if (aIdle) {
    mPlaces.clear();
  }
  Keep(aEngines, aBulk);
  if (CountBulk() != aBulk) {
    MeetCount(aEngines, aBulk, aNow);
  } else if (!mExchanged || aNow - *mExchanged >= mSettings.mExchangeEvery) {
    ExchangeSome(aEngines, aBulk, aNow);
  }
}

std::optional<engine_side>
engine_sides::Of(std::uint32_t aNumber) const
{
  const auto found = mPlaces.find(aNumber);
  return found == mPlaces.end() ? std::nullopt
                                : std::optional(found->second.mSide);
}

std::optional<engine_side>
engine_sides::Earlier(std::uint32_t aNumber, time_point aNow) const
{
  const auto found = mPlaces.find(aNumber);
  if (found == mPlaces.end()) {
    return std::nullopt;
  }
  const auto& [side, turned] = found->second;
  if (!turned || aNow - *turned >= mSettings.mRemember) {
    return side;
  }
  return side == engine_side::kBulk ? engine_side::kInteractive
                                    : engine_side::kBulk;
}

bool
engine_sides::Clearing(std::uint32_t aNumber, time_point aNow) const
{
  const auto found = mPlaces.find(aNumber);
  return found != mPlaces.end() && found->second.mSide == engine_side::kBulk &&
         found->second.mTurned &&
         aNow - *found->second.mTurned < mSettings.mClear;
}

// Forgets who is gone; newcomers, which have no streams, go where they belong.
void
engine_sides::Keep(const std::vector<engine_standing>& aOrder,
                   std::size_t aBulk)
{
  std::map<std::uint32_t, place> kept;
  for (std::size_t at = 0; at < aOrder.size(); ++at) {
    const std::uint32_t number = aOrder[at].mNumber;
    const auto found = mPlaces.find(number);
    kept[number] =
      found != mPlaces.end()
        ? found->second
        : place{ at < aBulk ? engine_side::kBulk : engine_side::kInteractive };
  }
  mPlaces = std::move(kept);
}

// The first in order become bulk, the last interactive.
void
engine_sides::MeetCount(const std::vector<engine_standing>& aOrder,
                        std::size_t aBulk,
                        time_point aNow)
{
  std::size_t count = CountBulk();
  for (std::size_t at = 0; at < aOrder.size() && count < aBulk; ++at) {
    if (Of(aOrder[at].mNumber) == engine_side::kInteractive) {
      Turn(aOrder[at].mNumber, engine_side::kBulk, aNow);
      ++count;
    }
  }
  for (std::size_t at = aOrder.size(); at > 0 && count > aBulk; --at) {
    if (Of(aOrder[at - 1].mNumber) == engine_side::kBulk) {
      Turn(aOrder[at - 1].mNumber, engine_side::kInteractive, aNow);
      --count;
    }
  }
}

void
engine_sides::ExchangeSome(const std::vector<engine_standing>& aOrder,
                           std::size_t aBulk,
                           time_point aNow)
{
  const auto most = std::max<std::int64_t>(
    std::lround(mSettings.mExchangePart * static_cast<double>(aOrder.size())),
    1);
  std::int64_t made = 0;
  while (made < most && ExchangeOne(aOrder, aBulk, aNow)) {
    ++made;
  }
  if (made > 0) {
    mExchanged = aNow;
  }
}

// False where all are where they belong.
bool
engine_sides::ExchangeOne(const std::vector<engine_standing>& aOrder,
                          std::size_t aBulk,
                          time_point aNow)
{
  const auto begin = aOrder.begin();
  const auto border =
    begin + static_cast<std::ptrdiff_t>(std::min(aBulk, aOrder.size()));
  const auto toBulk = std::find_if(begin, border, [&](const auto& aOne) {
    return Of(aOne.mNumber) == engine_side::kInteractive;
  });
  const auto toInteractive = std::find_if(
    aOrder.rbegin(), std::make_reverse_iterator(border), [&](const auto& aOne) {
      return Of(aOne.mNumber) == engine_side::kBulk;
    });
  if (toBulk == border || toInteractive == std::make_reverse_iterator(border)) {
    return false;
  }
  Turn(toBulk->mNumber, engine_side::kBulk, aNow);
  Turn(toInteractive->mNumber, engine_side::kInteractive, aNow);
  return true;
}

void
engine_sides::Turn(std::uint32_t aNumber, engine_side aSide, time_point aNow)
{
  mPlaces[aNumber] = { aSide, aNow };
}

std::size_t
engine_sides::CountBulk() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(mPlaces, [](const auto& aOne) {
      return aOne.second.mSide == engine_side::kBulk;
    }));
}

} // namespace thornhollow
