// Paces what this instance sends to an endpoint that takes only so many
// requests a second from all instances together.
//
//   request_gate gate;
//   gate.SetRate(RateOfRequests(shares, endpoint, 2.5), now);
//   if (gate.MaySend(now)) { gate.OnSent(now); }
//
// Guards against instances each of which is within the bound while their sum is
// many times over it. Each user of the endpoint has a part of the rate, and no
// stock of unused requests beyond half of one: in any span the users together
// send no more than the bound allows and one and a half each.
//
// A part begins empty: where users change, the one before may just have sent.
#ifndef THORNHOLLOW_POLICY_ENDPOINTS_REQUEST_GATE_H_
#define THORNHOLLOW_POLICY_ENDPOINTS_REQUEST_GATE_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/policy/endpoints/endpoint_shares.h"

namespace thornhollow {

// This instance's part, in requests a second, of an endpoint's bound; 0 if it
// isn't one of the users. Two users at least, so that one may end; more only if
// each has enough requests to keep its part in use. A bound of zero has one,
// that asks now and then whether it holds on.
inline double
RateOfRequests(const endpoint_shares& aShares,
               const endpoint_name& aEndpoint,
               double aBound)
{
  constexpr double kRatePerUser = 2;
  constexpr double kMinUsers = 2;
  constexpr double kMinRate = 0.1;
  const double wanted =
    aBound > 0 ? std::max(std::floor(aBound / kRatePerUser), kMinUsers) : 1;
  const endpoint_share share =
    aShares.ShareOf(aEndpoint, static_cast<std::uint32_t>(wanted));
  return share.IsUser() ? std::max(share.Part(aBound), kMinRate) : 0;
}

class request_gate
{
public:
  // `aRate`: requests a second; unset: the endpoint names no bound.
  void SetRate(const std::optional<double>& aRate, time_point aNow)
  {
    if (aRate == mRate) {
      return;
    }
    const bool begins = !mRate || *mRate == 0;
    mRate = aRate;
    if (!aRate || *aRate == 0) {
      return;
    }
    const time_point full = aNow + Interval();
    mNext = begins ? std::max(mNext, full) : std::min(mNext, full);
  }

  bool MaySend(time_point aNow) const
  {
    return !mRate || (*mRate > 0 && aNow >= mNext);
  }
  void OnSent(time_point aNow)
  {
    if (mRate && *mRate > 0) {
      mNext = std::max(mNext, aNow - Interval() / 2) + Interval();
    }
  }

  // How long until this instance may send; nothing if it has no part.
  std::optional<duration> Wait(time_point aNow) const
  {
    if (mRate && *mRate == 0) {
      return std::nullopt;
    }
    return std::max<duration>(mRate ? mNext - aNow : duration::zero(),
                              duration::zero());
  }
  // Requests a second; 0 without a bound.
  double Rate() const { return mRate.value_or(0); }

private:
  duration Interval() const { return FromSeconds(1 / *mRate); }

  std::optional<double> mRate;
  time_point mNext{};
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ENDPOINTS_REQUEST_GATE_H_
