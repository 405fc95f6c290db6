#include "thornhollow/daemon/final_refusal.h"

namespace thornhollow {

bool
RestsOnConfiguration(error_kind aKind)
{
  switch (aKind) {
    case error_kind::kUnknownPath:
    case error_kind::kMethodNotAllowed:
    case error_kind::kUnauthenticated:
    case error_kind::kClassNotAllowed:
    case error_kind::kUnknownClass:
    case error_kind::kUnknownModel:
    case error_kind::kUnknownTeam:
      return true;
    default:
      return false;
  }
}

error_kind
FinalIfCurrent(error_kind aKind, bool aMayBeBehind, metrics& aMetrics)
{
  if (!aMayBeBehind || !RestsOnConfiguration(aKind)) {
    return aKind;
  }
  aMetrics.OnEvent("final_refusal_withheld");
  return error_kind::kNotReady;
}

} // namespace thornhollow
