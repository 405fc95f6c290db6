// For tests: instances that hear each other at once of what ends endpoints,
// except where a test says otherwise.
//
//   suspects_fleet fleet(3);
//   fleet.SendAndEnd(0, content, endpoint);
//
#ifndef THORNHOLLOW_POLICY_SUSPECTS_TESTING_SUSPECTS_FLEET_H_
#define THORNHOLLOW_POLICY_SUSPECTS_TESTING_SUSPECTS_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "thornhollow/policy/suspects/crash_suspects.h"

namespace thornhollow {

struct suspects_fleet
{
  static constexpr std::size_t kPool = 12;
  static constexpr std::size_t kNoLimit = 1U << 20U;

  time_point mNow{ Seconds(1'000) };
  std::vector<crash_suspects> mInstances;

  explicit suspects_fleet(std::size_t aCount = 2)
  {
    for (std::size_t each = 0; each < aCount; ++each) {
      mInstances.emplace_back(crash_suspects_settings{}, each + 1);
    }
  }

  void Advance(duration aTime) { mNow += aTime; }

  void Exchange()
  {
    for (crash_suspects& from : mInstances) {
      const crash_report report = from.NextReport(kNoLimit, mNow);
      for (crash_suspects& to : mInstances) {
        if (&to != &from) {
          to.Merge(report, mNow);
        }
      }
    }
  }

  static request_features Content(request_feature aContent)
  {
    return { aContent, {} };
  }
  static suspect_attempt Attempt(const request_features& aFeatures,
                                 endpoint_hash aEndpoint,
                                 std::uint64_t aTicket = 1)
  {
    return { aFeatures, aTicket, aEndpoint, kPool };
  }
  static suspect_attempt Attempt(request_feature aContent,
                                 endpoint_hash aEndpoint,
                                 std::uint64_t aTicket = 1)
  {
    return Attempt(Content(aContent), aEndpoint, aTicket);
  }

  // Asks until the attempt may be sent or is rejected.
  send_verdict Send(std::size_t aInstance, const suspect_attempt& aAttempt)
  {
    for (int each = 0; each < 100; ++each) {
      const auto decision = mInstances.at(aInstance).BeforeSend(aAttempt, mNow);
      if (decision.mVerdict != send_verdict::kWait) {
        return decision.mVerdict;
      }
      Exchange();
      Advance(Milliseconds(10));
    }
    return send_verdict::kWait;
  }

  // The endpoint ends with the attempt open.
  void End(std::size_t aInstance, const suspect_attempt& aAttempt)
  {
    mInstances.at(aInstance).OnEndpointEnded(aAttempt, mNow, mNow);
  }

  // Sends the attempt and ends its endpoint under it; returns whether it was
  // sent.
  bool SendAndEnd(std::size_t aInstance,
                  request_feature aContent,
                  endpoint_hash aEndpoint)
  {
    return SendAndEnd(aInstance, Content(aContent), aEndpoint);
  }
  bool SendAndEnd(std::size_t aInstance,
                  const request_features& aFeatures,
                  endpoint_hash aEndpoint)
  {
    const suspect_attempt attempt = Attempt(aFeatures, aEndpoint);
    if (Send(aInstance, attempt) != send_verdict::kSend) {
      return false;
    }
    Advance(Milliseconds(100));
    End(aInstance, attempt);
    Exchange();
    Advance(Seconds(1));
    return true;
  }
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_SUSPECTS_TESTING_SUSPECTS_FLEET_H_
