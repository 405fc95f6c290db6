// Converts reports of endpoints' ends to the generated types and back.
#ifndef THORNHOLLOW_WIRE_INTERNAL_CRASH_CODEC_H_
#define THORNHOLLOW_WIRE_INTERNAL_CRASH_CODEC_H_

#include <thornhollow_types.h>

#include "thornhollow/policy/suspects/crash_report.h"

namespace thornhollow::wire_internal {

wire::crash_report
ToWire(const crash_report& aReport);

// Never fails: bytes that are no whole fingerprint are left out, and times are
// limited to a day.
crash_report
FromWire(const wire::crash_report& aReport);

} // namespace thornhollow::wire_internal

#endif // THORNHOLLOW_WIRE_INTERNAL_CRASH_CODEC_H_
