#include "thornhollow/testing/token_text.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

#include "thornhollow/base/hash.h"

namespace thornhollow::testing {

std::string
TokenText(std::string_view aRequest, std::uint32_t aIndex)
{
  return fmt::format(
    "{:08x}.{} ", static_cast<std::uint32_t>(Hash64(aRequest)), aIndex);
}

std::uint32_t
DrawnLength(std::string_view aRequest, std::uint32_t aMean)
{
  constexpr double kSteps = 1U << 24U;
  // A uniform draw in (0, 1] from the identifier's hash.
  const double uniform =
    (static_cast<double>(Hash64(aRequest) >> 40U) + 1) / kSteps;
  const double length = std::ceil(-std::log(uniform) * aMean);
  return static_cast<std::uint32_t>(std::max(length, 1.0));
}

} // namespace thornhollow::testing
