// Assigns the engines of a pool to bulk or interactive work, given the number
// of engines on each side of the partition (engine_partition.h).
//
//   engine_sides sides(engine_sides_settings{});
//   sides.Observe(engines, 5, !demand, now);
//   if (sides.SideOf(id) == engine_side::kBulk &&
//       !sides.IsDraining(id, now)) { ... }
//
// Load pattern: an engine changes sides while interactive streams run on it,
// because the partition moved or the engine turned out to be slow. If long
// prompts are sent to it at once, they break the pause limits of all these
// streams: in one hour of steady load, 45 of 61 late interactive streams had
// started on an engine that then became a bulk engine, with pauses of 250 to
// 320 ms against a limit of 200 ms. So bulk work skips such an engine until
// most of its streams have ended.
//
// All instances derive the same sides from the same engines and the same
// partition without asking each other. Only a few engines are exchanged at a
// time: when three of nine engines were found slow within two seconds and were
// exchanged at once, three fifths of the bulk side's sessions lost their engine
// and 150 thousand prompt tokens had to be prefilled again.
#ifndef THORNHOLLOW_POLICY_PLACEMENT_ENGINE_SIDES_H_
#define THORNHOLLOW_POLICY_PLACEMENT_ENGINE_SIDES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "thornhollow/base/time.h"

namespace thornhollow {

struct engine_sides_settings
{
  // How long bulk work skips an engine that moved from the interactive to the
  // bulk side, so that its interactive streams can end. Nine in ten
  // interactive streams end within 3 s (58 events of 5 tokens on average, 22 ms
  // each).
  duration mDrainTime = Seconds(3);
  // Minimum time between two exchanges of engines between the bulk and the
  // interactive side. Equals the drain time, so that no more than
  // `mExchangeFraction` of the engines (at least one) drain at a time.
  duration mExchangeInterval = Seconds(3);
  double mExchangeFraction = 0.11;
  // How long the previous side (bulk or interactive) of an engine is remembered
  // after it changed sides. Prompts that the engine cached before the change
  // are likely to be reused for about as long.
  duration mPreviousSideRetention = Seconds(30);

  friend bool operator==(const engine_sides_settings&,
                         const engine_sides_settings&) = default;
};

// An engine that accepts new work.
struct side_candidate
{
  // Identifier of the engine. Unique within the pool for as long as the engine
  // is part of it.
  std::uint32_t mId = 0;
  // Whether the engine's prefill is slow. Slow engines are assigned to the bulk
  // side first.
  bool mSlow = false;
  // Order among engines that are equally suited for a side. Must be the same on
  // every instance.
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

  // Assigns `aBulk` of `aEngines` to the bulk side, and the remaining engines
  // to the interactive side. `aIdle`: no work arrives for the pool, so that all
  // engines may change sides at once.
  void Observe(std::vector<side_candidate> aEngines,
               std::size_t aBulk,
               bool aIdle,
               time_point aNow);

  // Returns the current side of the engine; empty for an engine that was not
  // passed to the last call of `Observe`.
  std::optional<engine_side> SideOf(std::uint32_t aId) const;

  // The side of the engine before it last changed sides if it did so within
  // `mPreviousSideRetention`, else its current side. Empty for an unknown
  // engine.
  std::optional<engine_side> PreviousSide(std::uint32_t aId,
                                          time_point aNow) const;

  // Whether the engine is a bulk engine on which interactive streams may still
  // run.
  bool IsDraining(std::uint32_t aId, time_point aNow) const;

private:
  struct assignment
  {
    engine_side mSide = engine_side::kInteractive;
    // When the engine last changed sides.
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

#endif // THORNHOLLOW_POLICY_PLACEMENT_ENGINE_SIDES_H_
