// Lengths of time in messages between instances: whole milliseconds, up to a
// day, whatever a forged message says.
//
//   out.__set_age_ms(ToWireMilliseconds(age));
//   report.mAge = FromWireMilliseconds(in.age_ms);
//
#ifndef THORNHOLLOW_WIRE_INTERNAL_MILLISECONDS_H_
#define THORNHOLLOW_WIRE_INTERNAL_MILLISECONDS_H_

#include <algorithm>
#include <cstdint>

#include "thornhollow/base/time.h"

namespace thornhollow::wire_internal {

inline constexpr std::int64_t kMaxMilliseconds = 86'400'000;

inline std::int32_t
ToWireMilliseconds(duration aLength)
{
  return static_cast<std::int32_t>(
    std::clamp<std::int64_t>(ToMilliseconds(aLength), 0, kMaxMilliseconds));
}

inline duration
FromWireMilliseconds(std::int32_t aMilliseconds)
{
  return Milliseconds(
    std::clamp<std::int64_t>(aMilliseconds, 0, kMaxMilliseconds));
}

} // namespace thornhollow::wire_internal

#endif // THORNHOLLOW_WIRE_INTERNAL_MILLISECONDS_H_
