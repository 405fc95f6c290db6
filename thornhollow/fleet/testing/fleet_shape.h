// For tests: what a fleet in virtual time is made of, and what was measured of
// a change that reached it.
//
//   const fleet_shape shape{ .mDomains = 5, .mPerDomain = 39, .mReaders = 2 };
//
#ifndef THORNHOLLOW_FLEET_TESTING_FLEET_SHAPE_H_
#define THORNHOLLOW_FLEET_TESTING_FLEET_SHAPE_H_

#include <cstddef>

#include "thornhollow/base/time.h"

namespace thornhollow {

struct fleet_shape
{
  int mDomains = 3;
  int mPerDomain = 2;
  // An answer of the source takes so long.
  duration mSourceLatency = Milliseconds(10);
  // Instances of a domain that read the source for all; 0: all of them.
  std::size_t mReaders = 0;
  // Part of the hellos that are lost.
  double mLossRate = 0;
  // From a question for a peer's copy to its answer, or to knowing that none
  // comes.
  duration mCopyLatency = Milliseconds(40);
  // Of the configuration, and what an instance's link carries in a second, each
  // way. All that comes or goes on it at the same time has an even part.
  double mDocumentBytes = 4'000;
  double mLinkBytesPerSecond = 2'500'000;
  // Copies of peers have this part of their size on the link.
  double mCompressionRatio = 0.2;
  // The source encodes each byte of the configuration as so many.
  double mSourceEncodingRatio = 4.0 / 3;

  friend bool operator==(const fleet_shape&, const fleet_shape&) = default;
};

// How long a change took until every instance held it or a newer one.
struct change_delay
{
  duration mAcknowledged{};
  duration mDelay{};

  friend bool operator==(const change_delay&, const change_delay&) = default;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_TESTING_FLEET_SHAPE_H_
