// How tight one pool is at one instance: what instances tell each other so that
// tier order holds over all of them.
//
//   for (const pool_pressure& each : scheduler.Pressure(now)) { ... tell ... }
//
#ifndef THORNHOLLOW_POLICY_POOL_PRESSURE_H_
#define THORNHOLLOW_POLICY_POOL_PRESSURE_H_

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/config/declarations.h"

namespace thornhollow {

struct pool_pressure
{
  pool_name mPool;
  // The highest tier that waits too long there: those beyond it get no more
  // than their minimum shares there, and should elsewhere.
  int mLowestAdmitted = kLowestTier;
  // How long that tier's next request has waited; zero where none waits.
  duration mHigherWait{};
  // Time since it was measured.
  duration mAge{};

  friend bool operator==(const pool_pressure&, const pool_pressure&) = default;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_POOL_PRESSURE_H_
