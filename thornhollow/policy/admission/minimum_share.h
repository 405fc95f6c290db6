// Tracks a class's guaranteed minimum share of a pool as a credit in units of
// cost.
//
//   minimum_share share(0.15);
//   share.Accrue(servedCost, nextCost);   // the pool served work
//   if (share.IsEligible(nextCost)) { ... share.Spend(nextCost); }
//
// Load pattern: a higher tier demands more than the whole pool for an unlimited
// time. Strict tier order alone would then never serve the lower classes and
// starve them. Each class with a share accrues that fraction of all cost that
// the pool serves. Once its credit covers its next request, that request goes
// before the higher tiers.
//
// This doesn't reduce what is guaranteed to a higher tier: the minimum shares
// of all classes add up to at most 1, so each class can get its share at the
// same time.
//
// Limits: the credit is capped at the cost of the class's next request, and at
// zero while no request of the class waits. Otherwise an idle class could
// accumulate credit and then displace a higher tier with many requests at once.
// A class that demands less than its share is therefore mostly served in tier
// order. Service in tier order also counts against the share, up to a
// debt of 16 requests' cost, so that the share holds over some tens of requests
// rather than at every moment. With a debt limit of one request, a class was
// served by tier order at times of low load and got its full share in addition,
// and fewer requests of the highest tier met their targets.
#ifndef THORNHOLLOW_POLICY_ADMISSION_MINIMUM_SHARE_H_
#define THORNHOLLOW_POLICY_ADMISSION_MINIMUM_SHARE_H_

#include <algorithm>

namespace thornhollow {

class minimum_share
{
public:
  // `aShare`: fraction of the pool, between 0 and 1.
  explicit minimum_share(double aShare)
    : mShare(aShare)
  {
  }

  // Records that the pool served work of cost `aServed`, or had the capacity to
  // serve it. `aNextCost` is the cost of the class's next request; 0 if none
  // waits.
  void Accrue(double aServed, double aNextCost)
  {
    mCredit = std::min(mCredit + mShare * aServed, aNextCost);
  }

  // Whether the next request, of cost `aNextCost`, may go before higher tiers.
  bool IsEligible(double aNextCost) const
  {
    return mShare > 0 && aNextCost > 0 && mCredit >= aNextCost;
  }

  // Records that a request of the class, of cost `aCost`, was served, whether
  // by its share or in tier order.
  void Spend(double aCost)
  {
    mCredit = std::max(mCredit - aCost, -kMaxDebtRequests * aCost);
  }

  // Corrects the credit for a request that was charged `aExpected` and cost
  // `aActual`.
  void Settle(double aExpected, double aActual)
  {
    mCredit =
      std::max(mCredit + aExpected - aActual, -kMaxDebtRequests * aActual);
  }

  // Cost that the pool must still serve until the next request is eligible; 0
  // for a class without a share.
  double CostUntilEligible(double aNextCost) const
  {
    return mShare > 0 ? std::max(0.0, aNextCost - mCredit) / mShare : 0;
  }

  double Share() const { return mShare; }

private:
  // Maximum debt of a class, in multiples of the cost of a request.
  static constexpr double kMaxDebtRequests = 16;

  double mShare;
  double mCredit = 0;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ADMISSION_MINIMUM_SHARE_H_
