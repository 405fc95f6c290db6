// Two simple policies that serve as baselines for the scenarios. Both send each
// request immediately, in order of arrival, and leave all queueing to the
// engines. Retries and cancellations work as with the scheduler.
//
//   baseline_scheduler policy(round_robin{}, seed);
//   policy.Configure(declared, ownDomain, now);
//   const decisions next = policy.Submit(item, now);
//
#ifndef THORNHOLLOW_POLICY_SCENARIO_BASELINES_H_
#define THORNHOLLOW_POLICY_SCENARIO_BASELINES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "thornhollow/policy/admission/tier_pressure.h"
#include "thornhollow/policy/work.h"

namespace thornhollow::scenario {

// Selects the endpoints of a pool in turn.
struct round_robin
{
  friend bool operator==(const round_robin&, const round_robin&) = default;
};

// Selects the endpoint with the fewest outstanding requests of this instance.
struct least_outstanding
{
  friend bool operator==(const least_outstanding&,
                         const least_outstanding&) = default;
};

using balancing_algorithm = std::variant<round_robin, least_outstanding>;

// Implements the subset of the scheduler's interface that the scenarios use.
class baseline_scheduler
{
public:
  baseline_scheduler(balancing_algorithm aAlgorithm, std::uint64_t aSeed);

  decisions Configure(const declarations& aDeclared,
                      const domain_name& aOwnDomain,
                      time_point aNow);
  decisions Submit(const work_item& aItem, time_point aNow);
  decisions Resubmit(ticket aTicket, time_point aNow);
  void OnFirstToken(ticket /*aTicket*/, time_point /*aNow*/) {}
  decisions OnAttemptEnded(ticket aTicket,
                           attempt_end aHow,
                           std::uint32_t aTokens,
                           time_point aNow);
  decisions Forget(ticket aTicket, time_point aNow);
  decisions OnLoadReport(const endpoint_name& /*aEndpoint*/,
                         const load_report& /*aReport*/,
                         time_point /*aNow*/)
  {
    return {};
  }
  decisions OnPeerPressure(const instance_name& /*aFrom*/,
                           const pool_pressure& /*aPressure*/,
                           time_point /*aNow*/)
  {
    return {};
  }
  decisions Advance(time_point /*aNow*/) { return {}; }
  decisions Tick(time_point /*aNow*/) { return {}; }
  std::optional<time_point> NextDue() const { return std::nullopt; }

private:
  struct pool_state
  {
    std::vector<endpoint_name> mEndpoints;
    std::size_t mNext = 0;
  };
  struct baseline_request
  {
    work_item mItem;
    std::optional<endpoint_name> mEndpoint;
    std::optional<endpoint_name> mFailedEndpoint;
  };

  std::size_t PickEndpoint(pool_state& aPool,
                           const baseline_request& aRequest) const;
  decisions Send(baseline_request& aRequest);
  void ReleaseEndpoint(baseline_request& aRequest);

  balancing_algorithm mAlgorithm;
  std::uint64_t mSeed;
  std::unordered_map<pool_name, pool_state> mPools;
  std::unordered_map<endpoint_name, std::uint32_t> mOutstanding;
  std::unordered_map<ticket, baseline_request> mRequests;
};

} // namespace thornhollow::scenario

#endif // THORNHOLLOW_POLICY_SCENARIO_BASELINES_H_
