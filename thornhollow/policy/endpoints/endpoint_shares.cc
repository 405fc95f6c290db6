#include "thornhollow/policy/endpoints/endpoint_shares.h"

#include <algorithm>

#include "thornhollow/base/hash.h"

namespace thornhollow {

std::uint32_t
endpoint_share::WholePart(double aBound) const
{
  if (!IsUser()) {
    return 0;
  }
  const auto whole = static_cast<std::uint32_t>(aBound * mPresent);
  return whole / mUsers + (mRank < whole % mUsers ? 1 : 0);
}

endpoint_shares::endpoint_shares(const std::string& aOwnAddress)
  : mOwnHash(Hash64(aOwnAddress))
{
}

void
endpoint_shares::SetInstances(const std::vector<std::string>& aOthers,
                              bool aOwn,
                              double aPresent)
{
  mOtherHashes.clear();
  mOtherHashes.reserve(aOthers.size());
  for (const std::string& each : aOthers) {
    mOtherHashes.push_back(Hash64(each));
  }
  mOwn = aOwn;
  mPresent = aPresent;
}

endpoint_share
endpoint_shares::ShareOf(const endpoint_name& aEndpoint,
                         std::uint32_t aWanted) const
{
  const auto instances =
    static_cast<std::uint32_t>(mOtherHashes.size() + (mOwn ? 1 : 0));
  const std::uint32_t users = std::min(std::max(aWanted, 1U), instances);
  if (!mOwn) {
    return { users, users, mPresent };
  }
  const std::uint64_t endpoint = Hash64(aEndpoint.Text());
  const std::uint64_t own = CombineHash(endpoint, mOwnHash);
  const auto rank =
    std::ranges::count_if(mOtherHashes, [=](std::uint64_t aOther) {
      return CombineHash(endpoint, aOther) > own;
    });
  return { users, static_cast<std::uint32_t>(rank), mPresent };
}

} // namespace thornhollow
