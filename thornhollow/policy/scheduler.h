// Decides for every request of one entry instance whether it is sent, waits or
// is refused, and to which endpoint it goes. No network, no clock: each call
// takes the present and returns what is to be done now.
//
//   scheduler decide(scheduler_settings{}, 1);
//   decide.Configure(declared, domain_name("worcester-hall"), now);
//   Apply(decide.Submit(item, now));
//   ...
//   Apply(decide.OnAttemptEnded(ticket, attempt_end::kCompleted, 200, now));
//
// The life of a ticket: `Submit`; then a `start` or a `refuse` comes back, from
// that call or a later one. After a `start`, the owner reports `OnFirstToken`
// and `OnAttemptEnded`; to run it once more it calls `Resubmit`, which either
// starts it elsewhere, lets it wait, or refuses. `Forget` ends a ticket whose
// caller left while it waited.
#ifndef THORNHOLLOW_POLICY_SCHEDULER_H_
#define THORNHOLLOW_POLICY_SCHEDULER_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "thornhollow/policy/endpoint_table.h"
#include "thornhollow/policy/request_queue.h"
#include "thornhollow/policy/work.h"

namespace thornhollow {

struct scheduler_settings
{
  endpoint_table_settings mEndpoints;
  request_queue_settings mQueue;

  friend bool operator==(const scheduler_settings&,
                         const scheduler_settings&) = default;
};

class scheduler
{
public:
  // `aSeed` drives every random choice, so that a run can be repeated.
  scheduler(const scheduler_settings& aSettings, std::uint64_t aSeed);

  // Takes a configuration in force. Requests that wait for something that is no
  // longer declared are refused; those in progress go on.
  decisions Configure(const declarations& aDeclared,
                      const domain_name& aOwnDomain,
                      time_point aNow);

  // A new request.
  decisions Submit(const work_item& aItem, time_point aNow);

  // Runs a request again after an attempt that ended without its answer. The
  // endpoints already tried are avoided where others are to be had.
  decisions Resubmit(ticket aTicket, time_point aNow);

  // The first token of the present attempt came.
  void OnFirstToken(ticket aTicket, time_point aNow);

  // The present attempt ended; its place is free. `aTokens` counts the answer's
  // tokens of this attempt.
  decisions OnAttemptEnded(ticket aTicket,
                           attempt_end aHow,
                           std::uint32_t aTokens,
                           time_point aNow);

  // The request got its final answer, or its caller left: its ticket is no
  // longer known. A place still held is freed.
  decisions Forget(ticket aTicket, time_point aNow);

  decisions OnLoadReport(const endpoint_name& aEndpoint,
                         const load_report& aReport,
                         time_point aNow);
  decisions OnEndpointState(const endpoint_name& aEndpoint,
                            endpoint_state aState,
                            time_point aNow);

  // Does what falls due: refuses requests whose deadline passed, starts what
  // fits.
  decisions Advance(time_point aNow);

  // When `Advance` has something to do next; nothing where it has not.
  std::optional<time_point> NextDue() const;

  std::size_t Waiting() const { return mQueue.size(); }
  std::size_t InProgress() const { return mInProgress.size(); }

private:
  struct progress
  {
    work_item mItem;
    std::vector<endpoint_name> mTried;
    // Set while an attempt holds a place.
    std::optional<endpoint_name> mPlace;
    time_point mStarted{};
  };

  void StartWhatFits(time_point aNow, decisions& aOut);
  void ReleasePlace(progress& aProgress,
                    attempt_end aHow,
                    std::uint32_t aTokens,
                    time_point aNow);

  endpoint_table mEndpoints;
  request_queue mQueue;
  std::unordered_map<ticket, progress> mInProgress;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_SCHEDULER_H_
