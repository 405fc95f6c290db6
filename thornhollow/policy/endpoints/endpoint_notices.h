// What endpoints say of themselves in their answers: that they leave, or that
// they want no requests from this instance for a while.
//
//   endpoint_notices notices;
//   if (notices.OnLeaving(process, now)) { Log(); }
//   notices.OnRest(process, Seconds(3), now);
//   const time_point until = notices.RestUntil(process);
//
// Guards against endpoints that are known to be leaving or to want rest only
// from the source's list, which may be late by many seconds or not answer at
// all. It shows as requests that reach an endpoint after it has said, in an
// answer to this very instance, that it wants none.
//
// A notice holds for one process of an endpoint. Leaving is never withdrawn, so
// a list that still shows the endpoint as live doesn't undo it; it is forgotten
// only when the process must have ended long ago.
#ifndef THORNHOLLOW_POLICY_ENDPOINTS_ENDPOINT_NOTICES_H_
#define THORNHOLLOW_POLICY_ENDPOINTS_ENDPOINT_NOTICES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "thornhollow/base/endpoint_hash.h"
#include "thornhollow/base/time.h"

namespace thornhollow {

class endpoint_notices
{
public:
  // An endpoint that leaves exits within a minute as a rule; its entry in the
  // list, should it be late, is gone within ten.
  static constexpr duration kLeavingRetention = Seconds(600);
  // More are not kept; above the 850 endpoints of a large fleet.
  static constexpr std::size_t kMaxLeaving = 4'096;
  // For how long a process is told to peers that may not have heard of it.
  static constexpr duration kToldFor = Seconds(60);

  // The process said that it leaves, or a peer passed that on. Returns whether
  // that is new.
  bool OnLeaving(endpoint_process_hash aProcess, time_point aNow);
  // The process wants no requests for `aFor`. The latest end of all rests that
  // it asked for counts. Returns whether a rest begins, rather than a present
  // one going on.
  bool OnRest(endpoint_process_hash aProcess, duration aFor, time_point aNow);

  bool IsLeaving(endpoint_process_hash aProcess) const
  {
    return mLeaving.contains(aProcess);
  }
  // Processes that were not known to be leaving until lately, the newest first
  // and at most `aMaxCount`, for peers that have started since.
  std::vector<endpoint_process_hash> LatelyLeaving(std::size_t aMaxCount,
                                                   time_point aNow) const;
  // The end of the present rest, or of one that is over; `time_point()` if
  // there was none lately.
  time_point RestUntil(endpoint_process_hash aProcess) const;

  // Forgets what is over. To be called now and then. Returns the processes
  // whose rests have ended.
  std::vector<endpoint_process_hash> Tick(time_point aNow);

private:
  // Since when each is known.
  std::map<endpoint_process_hash, time_point> mLeaving;
  std::map<endpoint_process_hash, time_point> mRests;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ENDPOINTS_ENDPOINT_NOTICES_H_
