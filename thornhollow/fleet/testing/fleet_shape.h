// For tests: the shape of a fleet in virtual time, and the measured delay of a
// change.
//
//   const fleet_shape shape{ .mDomains = 5, .mPerDomain = 39, .mReaders = 2 };
#ifndef THORNHOLLOW_FLEET_TESTING_FLEET_SHAPE_H_
#define THORNHOLLOW_FLEET_TESTING_FLEET_SHAPE_H_

#include <cstddef>

#include "thornhollow/base/time.h"

namespace thornhollow {

struct fleet_shape
{
  int mDomains = 3;
  int mPerDomain = 2;
  // Latency of an answer of the source.
  duration mSourceLatency = Milliseconds(10);
  // Number of readers of each domain; 0 if all instances read the source.
  std::size_t mReaders = 0;
  // Fraction of the hellos that are lost, 0 to 1.
  double mLossRate = 0;
  // Time from a request for a copy until the answer starts to arrive.
  duration mCopyLatency = Milliseconds(40);
  // Size of the configuration in bytes, and the capacity of an instance's link
  // in bytes per second and direction. Concurrent transfers in one direction
  // share the capacity equally.
  double mDocumentBytes = 4'000;
  double mLinkBytesPerSecond = 2'500'000;
  // Ratio of the bytes on the link to the size of the items, for copies from
  // peers.
  double mCompressionRatio = 0.2;
  // Ratio of the bytes on the link to the size of the configuration, for
  // answers of the source, which encodes it.
  double mSourceEncodingRatio = 4.0 / 3;

  friend bool operator==(const fleet_shape&, const fleet_shape&) = default;
};

// When a change was acknowledged, and the time from the acknowledgement until
// every instance held the change or a newer one.
struct change_delay
{
  duration mAcknowledged{};
  duration mDelay{};

  friend bool operator==(const change_delay&, const change_delay&) = default;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_TESTING_FLEET_SHAPE_H_
