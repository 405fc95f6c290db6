#include "thornhollow/config/internal/canonical_text.h"

#include <vector>

#include <fmt/format.h>

namespace thornhollow::internal {
namespace {

template<class tag>
const std::string&
TextOf(const name_of<tag>& aName)
{
  return aName.Text();
}

const std::string&
TextOf(const std::string& aText)
{
  return aText;
}

// Names, digests, paths, methods and addresses hold neither quotes nor
// backslashes, so quoting needs no escapes.
template<class item>
std::string
List(const std::vector<item>& aItems)
{
  std::string text = "[";
  for (const item& each : aItems) {
    text += fmt::format("{}\"{}\"", text.size() == 1 ? "" : ", ", TextOf(each));
  }
  return text + ']';
}

} // namespace

std::string
CanonicalLine(const service_level& aItem)
{
  return fmt::format("- {{name: \"{}\", tier: {}, first_token_ms: {}, "
                     "between_tokens_ms: {}, deadline_ms: {}}}\n",
                     aItem.mName.Text(),
                     aItem.mTier,
                     ToMilliseconds(aItem.mFirstTokenTarget),
                     ToMilliseconds(aItem.mBetweenTokensTarget),
                     ToMilliseconds(aItem.mDeadline));
}

std::string
CanonicalLine(const request_class& aItem)
{
  return fmt::format("- {{name: \"{}\", level: \"{}\", minimum_share: {}, "
                     "idempotent: {}, models: {}}}\n",
                     aItem.mName.Text(),
                     aItem.mLevel.Text(),
                     aItem.mMinimumShare,
                     aItem.mIdempotent,
                     List(aItem.mModels));
}

std::string
CanonicalLine(const model& aItem)
{
  // A model without a warm-up has the line that instances of earlier versions
  // read.
  if (aItem.mWarmUp == warm_up_spec{}) {
    return fmt::format("- {{name: \"{}\"}}\n", aItem.mName.Text());
  }
  return fmt::format("- {{name: \"{}\", warm_up_ms: {}, "
                     "warm_up_requests_per_s: {}}}\n",
                     aItem.mName.Text(),
                     ToMilliseconds(aItem.mWarmUp.mLength),
                     aItem.mWarmUp.mRequestsPerSecond);
}

std::string
CanonicalLine(const failure_domain& aItem)
{
  return fmt::format("- {{name: \"{}\", out_of_service: {}}}\n",
                     aItem.mName.Text(),
                     aItem.mOutOfService);
}

std::string
CanonicalLine(const plain_service& aItem)
{
  return fmt::format("- {{name: \"{}\", path: \"{}\", methods: {}, "
                     "class: \"{}\", idempotent: {}}}\n",
                     aItem.mName.Text(),
                     aItem.mPath,
                     List(aItem.mMethods),
                     aItem.mClass.Text(),
                     aItem.mIdempotent);
}

std::string
CanonicalLine(const endpoint& aItem)
{
  return fmt::format("- {{name: \"{}\", domain: \"{}\", address: \"{}\", "
                     "pools: {}, slots: {}}}\n",
                     aItem.mName.Text(),
                     aItem.mDomain.Text(),
                     aItem.mAddress,
                     List(aItem.mPools),
                     aItem.mSlots);
}

std::string
CanonicalLine(const team& aItem)
{
  return fmt::format("- {{name: \"{}\", token_digests: {}, classes: {}, "
                     "weight: {}, max_in_flight: {}}}\n",
                     aItem.mName.Text(),
                     List(aItem.mTokenDigests),
                     List(aItem.mClasses),
                     aItem.mWeight,
                     aItem.mMaxInFlight);
}

} // namespace thornhollow::internal
