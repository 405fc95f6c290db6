// Endpoints whose listed version may be that of an earlier process.
//
//   version_doubts doubts(Seconds(3));
//   if (doubts.OnSign(endpoint, now)) { ... }
//   for (const endpoint_name& each : doubts.TakeCleared(answeredAt)) { ... }
//
// Guards against streams that go on at, or are taken for, the version of a
// process that is gone: an endpoint may start again under its name and address
// as another version, and its entry still tells the old one, for long if the
// source can't be written. It shows as a connection that the endpoint closed,
// or that can't be made. The entry is right again if the source has answered
// for so long after that sign that the new process must have been listed.
#ifndef THORNHOLLOW_STREAMS_VERSION_DOUBTS_H_
#define THORNHOLLOW_STREAMS_VERSION_DOUBTS_H_

#include <map>
#include <vector>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"

namespace thornhollow {

class version_doubts
{
public:
  // `aListingDelay`: how long after its start a process may be listed.
  explicit version_doubts(duration aListingDelay)
    : mListingDelay(aListingDelay)
  {
  }

  // The endpoint's process may have ended. Returns whether its version was not
  // in doubt before.
  bool OnSign(const endpoint_name& aEndpoint, time_point aNow);
  // The endpoint is listed as a new process, or no longer.
  void OnListed(const endpoint_name& aEndpoint) { mSince.erase(aEndpoint); }

  bool IsDoubted(const endpoint_name& aEndpoint) const
  {
    return mSince.contains(aEndpoint);
  }

  // Endpoints whose doubt ends since the source answered at this time.
  std::vector<endpoint_name> TakeCleared(time_point aSourceAnswered);

private:
  duration mListingDelay;
  // The last sign for each.
  std::map<endpoint_name, time_point> mSince;
};

} // namespace thornhollow

#endif // THORNHOLLOW_STREAMS_VERSION_DOUBTS_H_
