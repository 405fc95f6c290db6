#include "thornhollow/config/token.h"

#include "thornhollow/config/sha256.h"

namespace thornhollow {

std::string
TokenDigest(std::string_view aToken)
{
  return Sha256Hex(aToken);
}

} // namespace thornhollow
