// The two simple policies that the scenarios compare with. Both send each
// request at once, first in first out, and leave all waiting to the engines;
// both retry and cancel as the scheduler's owner does.
#ifndef THORNHOLLOW_POLICY_SCENARIO_BASELINES_H_
#define THORNHOLLOW_POLICY_SCENARIO_BASELINES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "thornhollow/policy/tier_pressure.h"
#include "thornhollow/policy/work.h"

namespace thornhollow::scenario {

// Endpoints of a pool in turn.
struct round_robin
{
  friend bool operator==(const round_robin&, const round_robin&) = default;
};

// The endpoint to which this instance has the fewest requests open.
struct least_outstanding
{
  friend bool operator==(const least_outstanding&,
                         const least_outstanding&) = default;
};

using balancing_algorithm = std::variant<round_robin, least_outstanding>;

// The scheduler's interface, as far as the scenarios use it.
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
