// What a caller is told whose request the configuration in force doesn't allow.
//
//   Refuse(FinalIfCurrent(kind, lag.MayBeBehind(now), metrics));
//
// Serves both interfaces.
#ifndef THORNHOLLOW_DAEMON_FINAL_REFUSAL_H_
#define THORNHOLLOW_DAEMON_FINAL_REFUSAL_H_

#include "thornhollow/base/error.h"
#include "thornhollow/daemon/metrics.h"

namespace thornhollow {

// Whether a newer configuration may allow what is refused with this kind.
bool
RestsOnConfiguration(error_kind aKind);

// The kind itself; `kNotReady` if it rests on the configuration and a newer one
// may not be in force here yet.
error_kind
FinalIfCurrent(error_kind aKind, bool aMayBeBehind, metrics& aMetrics);

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_FINAL_REFUSAL_H_
