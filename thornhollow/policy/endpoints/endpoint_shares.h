// Which instances use an endpoint that names a bound for all instances
// together, and the part of the bound that each of them has.
//
//   endpoint_shares shares("10.0.0.1:7");
//   shares.SetInstances(others, true, 1.0);
//   const endpoint_share share = shares.ShareOf(endpoint, 4);
//   const std::uint32_t part = share.WholePart(10);
//
// Guards against instances that each keep the whole bound: together they exceed
// it as many times as there are instances. Nor can a small bound be divided
// among all of them, as one first request of each may exceed it.
//
// So few instances use such an endpoint, at most as many as the bound feeds:
// those with the highest rendezvous hashes of endpoint and instance, which
// every instance computes from the instances that it knows. The others send
// elsewhere.
//
// While instances have gone missing lately, the others may see different ones,
// as on both sides of a cut. The parts then shrink to the fraction that is
// left, so that the sides' parts together are not more than the bound.
#ifndef THORNHOLLOW_POLICY_ENDPOINTS_ENDPOINT_SHARES_H_
#define THORNHOLLOW_POLICY_ENDPOINTS_ENDPOINT_SHARES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "thornhollow/base/ids.h"

namespace thornhollow {

// The place of this instance among those that use one endpoint.
struct endpoint_share
{
  // Instances that use it.
  std::uint32_t mUsers = 0;
  // Position of this instance among them, from 0; `mUsers` or more: it is none
  // of them.
  std::uint32_t mRank = 0;
  // Part of the bound that all of them have together.
  double mPresent = 1;

  bool IsUser() const { return mRank < mUsers; }
  // This instance's part of the bound.
  double Part(double aBound) const
  {
    return IsUser() ? aBound * mPresent / mUsers : 0;
  }
  // The same of a number of things that can't be divided.
  std::uint32_t WholePart(double aBound) const;

  friend bool operator==(const endpoint_share&,
                         const endpoint_share&) = default;
};

class endpoint_shares
{
public:
  explicit endpoint_shares(const std::string& aOwnAddress);

  // Sets the addresses of the other instances that may use the endpoints, and
  // the fraction of the instances of the last minute that is alive. `aOwn`:
  // whether this instance may use them.
  void SetInstances(const std::vector<std::string>& aOthers,
                    bool aOwn,
                    double aPresent);

  // `aWanted`: instances that the endpoint's bound feeds.
  endpoint_share ShareOf(const endpoint_name& aEndpoint,
                         std::uint32_t aWanted) const;

  friend bool operator==(const endpoint_shares&,
                         const endpoint_shares&) = default;

private:
  std::uint64_t mOwnHash;
  std::vector<std::uint64_t> mOtherHashes;
  bool mOwn = false;
  double mPresent = 1;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ENDPOINTS_ENDPOINT_SHARES_H_
