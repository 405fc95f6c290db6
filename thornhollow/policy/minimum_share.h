// Keeps each class's guaranteed minimum share of a pool, as a credit in cost.
//
//   minimum_share share(0.15);
//   share.Accrue(servedCost, isWaiting, nextCost);   // the pool served work
//   if (share.IsOwed(nextCost)) { ... share.Spend(nextCost); }
//
// Load pattern: a higher tier asks for more than the whole pool for as long as
// it likes. Strict tier order alone then never serves the lower classes, and
// they starve. Each class with a share saves that part of all the cost that the
// pool serves; once it saved the cost of its next request, that request goes
// before the higher tiers.
//
// That is no service taken from a higher tier: the shares of all classes add up
// to at most 1, and a class's own part was never the higher tier's.
//
// Grounds for the figures: a class can save no more than its next request's
// cost, so that it can't collect a claim while it waits for nothing and then
// crowd out a higher tier in one go; and it saves from zero when it has nothing
// waiting, so that a class that asks for less than its share is served by tier
// order, not before it. What a class was served by tier order counts as well,
// up to 16 requests' cost: a share is kept over some tens of requests, not in
// each moment. With a debt of one request the class was paid twice, by its turn
// in quiet moments and by its share; the highest tier attained less.
#ifndef THORNHOLLOW_POLICY_MINIMUM_SHARE_H_
#define THORNHOLLOW_POLICY_MINIMUM_SHARE_H_

#include <algorithm>

namespace thornhollow {

class minimum_share
{
public:
  // A part of the pool between 0 and 1.
  explicit minimum_share(double aShare)
    : mShare(aShare)
  {
  }

  // The pool served work of this cost, or could have. `aNextCost` is the cost
  // of the class's next request; 0 where none waits.
  void Accrue(double aServed, double aNextCost)
  {
    mCredit = std::min(mCredit + mShare * aServed, aNextCost);
  }

  // Whether the next request, of this cost, may go before higher tiers.
  bool IsEligible(double aNextCost) const
  {
    return mShare > 0 && aNextCost > 0 && mCredit >= aNextCost;
  }

  // A request of the class, of this cost, was served, for whatever reason.
  void Spend(double aCost)
  {
    mCredit = std::max(mCredit - aCost, -kMaxDebtRequests * aCost);
  }

  // A request for which `aExpected` was spent cost `aActual`.
  void Settle(double aExpected, double aActual)
  {
    mCredit =
      std::max(mCredit + aExpected - aActual, -kMaxDebtRequests * aActual);
  }

  // Cost that the pool must still serve until the next request is owed.
  double CostUntilEligible(double aNextCost) const
  {
    return mShare > 0 ? std::max(0.0, aNextCost - mCredit) / mShare : 0;
  }

  double Share() const { return mShare; }

private:
  // Requests.
  static constexpr double kMaxDebtRequests = 16;

  double mShare;
  double mCredit = 0;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_MINIMUM_SHARE_H_
