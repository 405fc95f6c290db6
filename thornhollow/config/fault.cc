#include "thornhollow/config/fault.h"

namespace thornhollow {

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
