// How endpoints of a pool warm up after their start, as the operator declares
// it.
//
//   const warm_up_spec spec{ Seconds(3), 7.5 };
//
#ifndef THORNHOLLOW_BASE_WARM_UP_SPEC_H_
#define THORNHOLLOW_BASE_WARM_UP_SPEC_H_

#include "thornhollow/base/time.h"

namespace thornhollow {

struct warm_up_spec
{
  duration mLength{};
  // Requests a second that an endpoint takes meanwhile, from all instances
  // together; 0: as many as usual.
  double mRequestsPerSecond = 0;

  bool LimitsRequests() const { return mRequestsPerSecond > 0; }

  friend bool operator==(const warm_up_spec&, const warm_up_spec&) = default;
};

} // namespace thornhollow

#endif // THORNHOLLOW_BASE_WARM_UP_SPEC_H_
