// Which engines of a pool take bulk work and which interactive, given how many
// the border leaves to each.
//
//   engine_sides sides(engine_sides_settings{});
//   sides.Observe(engines, 5, !demand, now);
//   if (sides.Of(number) == engine_side::kBulk &&
//       !sides.Clearing(number, now)) { ... }
//
// Load pattern: an engine changes sides while interactive streams run on it,
// since the border moved or the engine turned out to be slow. Long prompts that
// come to it at once break the pauses of all those streams: in one calm hour 45
// of 61 late interactive streams had been begun on an engine that then became a
// bulk one, their pauses 250 to 320 ms at a promise of 200. So bulk work passes
// over such an engine until most of its streams have ended.
//
// All instances come to the same sides by the same engines and the same border,
// without asking each other. Exchanges are few at a time: three of nine
// engines found slow within two seconds had taken three fifths of the bulk
// side's sessions from their engines at once, and 150 thousand prompt tokens
// were read again.
#ifndef THORNHOLLOW_POLICY_ENGINE_SIDES_H_
#define THORNHOLLOW_POLICY_ENGINE_SIDES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "thornhollow/base/time.h"

namespace thornhollow {

struct engine_sides_settings
{
  // For so long bulk work passes over an engine that was an interactive one: of
  // interactive streams nine in ten end within 3 s (58 events of 5 tokens on
  // average, 22 ms each).
  duration mDrainTime = Seconds(3);
  // Between two exchanges of engines between the sides: as long as an engine
  // clears, so that no more than this part of them (one at least) clears at a
  // time.
  duration mExchangeInterval = Seconds(3);
  double mExchangeFraction = 0.11;
  // For so long it counts where an engine was before: as long as an engine's
  // memory of a prompt is worth anything.
  duration mPreviousSideRetention = Seconds(30);

  friend bool operator==(const engine_sides_settings&,
                         const engine_sides_settings&) = default;
};

// An engine that takes new work.
struct side_candidate
{
  // Tells it from others of the pool for as long as it is there.
  std::uint32_t mId = 0;
  // Goes to the bulk side first.
  bool mSlow = false;
  // Decides among equals; the same on every instance.
  std::uint64_t mRank = 0;

  friend bool operator==(const side_candidate&,
                         const side_candidate&) = default;
};

enum class engine_side : std::uint8_t
{
  kBulk,
  kInteractive,
};

class engine_sides
{
public:
  explicit engine_sides(const engine_sides_settings& aSettings);

  // `aBulk` of `aEngines` are to be bulk. `aIdle`: no work is on its way
  // to any, so that all may change sides at once.
  void Observe(std::vector<side_candidate> aEngines,
               std::size_t aBulk,
               bool aIdle,
               time_point aNow);

  // Nothing for an engine that the last observation didn't name.
  std::optional<engine_side> SideOf(std::uint32_t aId) const;

  // On which side it was before it changed sides within `mRemember`; else its
  // side.
  std::optional<engine_side> PreviousSide(std::uint32_t aId,
                                          time_point aNow) const;

  // It is a bulk one, but interactive streams may still run on it.
  bool IsDraining(std::uint32_t aId, time_point aNow) const;

private:
  struct assignment
  {
    engine_side mSide = engine_side::kInteractive;
    // When it came from the other side.
    std::optional<time_point> mChangedAt = std::nullopt;
  };

  void SyncEngines(const std::vector<side_candidate>& aOrder,
                   std::size_t aBulk);
  void AdjustCount(const std::vector<side_candidate>& aOrder,
                   std::size_t aBulk,
                   time_point aNow);
  void ExchangeMisplaced(const std::vector<side_candidate>& aOrder,
                         std::size_t aBulk,
                         time_point aNow);
  bool ExchangePair(const std::vector<side_candidate>& aOrder,
                    std::size_t aBulk,
                    time_point aNow);
  void ChangeSide(std::uint32_t aId, engine_side aSide, time_point aNow);
  std::size_t CountBulk() const;

  engine_sides_settings mSettings;
  std::map<std::uint32_t, assignment> mAssignments;
  std::optional<time_point> mLastExchange;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ENGINE_SIDES_H_
