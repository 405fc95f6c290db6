// How many engines of a pool take the work that may wait, so that its long
// prompts stay away from streams that may not pause.
//
//   engine_border border(engine_border_settings{});
//   border.Observe({ .mPatient = 90'000, .mUrgent = 30'000 }, 9, now);
//   const std::size_t patient = border.Patient();
//
// Load pattern: prompts of ten thousand tokens beside streams that promise an
// event every 200 ms. An engine reads a prompt in chunks between the steps of
// all its streams; a chunk of 2,048 tokens makes a step of 4 ms one of 35 ms,
// and an event of five tokens one of 175 ms or, with a long context, of more
// than 200. Mixed on all engines, 448 of 694 streams of the urgent kind met
// their promise; kept apart, 694 did (one deployment's calm hour, nine
// engines, measured with real processes).
//
// A fixed border is wrong in a burst: of nine engines, three left to the
// patient served 81 of 100 urgent streams and 35 of 100 long prompts, five 64
// and 79. So the border follows what arrives. It is worked out from the demand
// summed over all instances and the engines' number alone, so that instances
// agree on it without asking each other; and it moves only where one side is
// too full, by a ninth of the engines at a time, no sooner than `mHold` after
// the last move, so that it doesn't flap.
//
// Grounds for the figures: the urgent side is to be busy 25% of the time where
// the patient one is busy 50%. With two of nine engines, 23% busy and twice
// that in a burst, 411 of 696 urgent streams kept their pauses; with four, 630
// to 694.
#ifndef THORNHOLLOW_POLICY_ENGINE_BORDER_H_
#define THORNHOLLOW_POLICY_ENGINE_BORDER_H_

#include <cstddef>
#include <optional>

#include "thornhollow/base/time.h"

namespace thornhollow {

struct engine_border_settings
{
  // False: all engines take all work.
  bool mSeparate = true;
  // Busy shares at which both sides count as equally loaded.
  double mPatientBusy = 0.5;
  double mUrgentBusy = 0.25;
  // Prompt tokens that an engine reads a second.
  double mReadPerSecond = 66'200;
  // No move while the fuller side is no fuller than this part of its busy
  // share: each one mixes the work of both sides on one engine until the
  // streams there have ended.
  double mFull = 1;
  // Between two moves: a wave of arrivals takes longer, a stream less.
  duration mHold = Milliseconds(700);
  // Engines that change sides in one move, as a part of all, one at least: one
  // of nine. By one of ninety at a time a burst of eight seconds was over
  // before the border had followed: the patient side read 61 thousand tokens a
  // second on each engine, all that they can, with the urgent side at a sixth
  // of that.
  double mStepPart = 0.11;
  // Another border must be better by this factor before it is moved to.
  double mBetterBy = 1.15;
  // Below this many engines nothing is kept apart: a side of one has no room
  // for a long prompt and no second choice.
  std::size_t mLeastEngines = 4;
  // Engines on either side at least, as a part of all, whatever the demand:
  // a burst begins sooner than the border can move.
  double mLeastPart = 0.22;

  friend bool operator==(const engine_border_settings&,
                         const engine_border_settings&) = default;
};

// Prompt tokens to be read a second, over all instances.
struct engine_demand
{
  double mPatient = 0;
  double mUrgent = 0;

  friend bool operator==(const engine_demand&, const engine_demand&) = default;
};

class engine_border
{
public:
  explicit engine_border(const engine_border_settings& aSettings);

  void Observe(const engine_demand& aDemand,
               std::size_t aEngines,
               time_point aNow);

  // Engines for patient work; all of them where nothing is kept apart.
  std::size_t Patient() const { return mPatient; }
  bool Separates() const { return mPatient < mEngines; }

private:
  // How full the fuller side is with `aPatient` engines for patient work.
  double Fullest(const engine_demand& aDemand, std::size_t aPatient) const;
  std::size_t Best(const engine_demand& aDemand) const;
  std::size_t Least() const;
  std::size_t Step() const;

  engine_border_settings mSettings;
  std::size_t mEngines = 0;
  std::size_t mPatient = 0;
  // Kept apart from the count, so that engines that join one by one don't shift
  // it by rounding.
  double mPart;
  std::optional<time_point> mMoved;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ENGINE_BORDER_H_
