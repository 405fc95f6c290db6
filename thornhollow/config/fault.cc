#include "thornhollow/config/fault.h"

#include <utility>

namespace thornhollow {

void
AddFault(faults& aTo, fault aFault)
{
  if (aTo.size() < kMaxFaults) {
    aTo.push_back(std::move(aFault));
  } else if (aTo.size() == kMaxFaults) {
    aTo.push_back({ "(all files)", 0, "", "more faults", "none" });
  }
}

std::string
Text(const fault& aFault)
{
  std::string text = aFault.mFile;
  if (aFault.mLine > 0) {
    text += ':' + std::to_string(aFault.mLine);
  }
  text += ": ";
  if (!aFault.mField.empty()) {
    text += aFault.mField + ": ";
  }
  return text + "found " + aFault.mFound + ", allowed: " + aFault.mAllowed;
}

} // namespace thornhollow
