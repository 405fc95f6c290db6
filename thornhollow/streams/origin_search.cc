#include "thornhollow/streams/origin_search.h"

#include <algorithm>
#include <array>
#include <utility>

namespace thornhollow {
namespace {

constexpr std::array<std::string_view, 7> kGroundNames = {
  "held",           "peer",     "only_version", "ambiguous", "several_versions",
  "list_too_young", "no_answer"
};

origin_ground
GroundOfKnown(const origin_word& aWord, origin_ground aIfCertain)
{
  return aWord.mVersion == kUnknownVersion ? origin_ground::kAmbiguous
                                           : aIfCertain;
}

} // namespace

std::string_view
Name(origin_ground aGround)
{
  return kGroundNames[static_cast<std::size_t>(aGround)];
}

origin_search::origin_search(const origin_word& aOwn,
                             std::vector<std::string> aAsked)
  : mOwn(aOwn)
  , mAsked(aAsked.size())
  , mUnanswered(std::move(aAsked))
{
}

void
origin_search::OnWord(const std::string& aFrom, const origin_word& aWord)
{
  if (std::erase(mUnanswered, aFrom) == 0) {
    return;
  }
  mWords.push_back(aWord);
  if (aWord.mKnown && !mTold) {
    mTold = aWord;
    mToldBy = aFrom;
  }
}

std::optional<origin_verdict>
origin_search::Verdict() const
{
  if (mOwn.mKnown || mTold || mUnanswered.empty()) {
    return Close();
  }
  return std::nullopt;
}

origin_verdict
origin_search::Close() const
{
  if (mOwn.mKnown) {
    return Make(mOwn.mVersion, GroundOfKnown(mOwn, origin_ground::kHeld));
  }
  if (mTold) {
    return Make(mTold->mVersion, GroundOfKnown(*mTold, origin_ground::kPeer));
  }
  return Conclude();
}

origin_verdict
origin_search::Make(endpoint_version_hash aVersion, origin_ground aGround) const
{
  return { aVersion, aGround, mToldBy, mAsked, mWords.size() };
}

// Nobody was told: the pool's history decides.
origin_verdict
origin_search::Conclude() const
{
  // An instance that is cut off knows an old list and hears nobody.
  const bool isAlone = mAsked > 0 && mWords.empty();
  if (isAlone) {
    return Make(kUnknownVersion, origin_ground::kNoAnswer);
  }
  std::vector<listed_versions> all = { mOwn.mListed };
  for (const origin_word& each : mWords) {
    all.push_back(each.mListed);
  }
  endpoint_version_hash only = kUnknownVersion;
  bool lasts = false;
  for (const listed_versions& each : all) {
    const bool differs = only != kUnknownVersion &&
                         each.mVersion != kUnknownVersion &&
                         each.mVersion != only;
    if (each.mCount == version_count::kSeveral || differs) {
      return Make(kUnknownVersion, origin_ground::kSeveralVersions);
    }
    only = each.mVersion == kUnknownVersion ? only : each.mVersion;
    lasts = lasts || each.mCount == version_count::kSole;
  }
  if (only == kUnknownVersion || !lasts) {
    return Make(kUnknownVersion, origin_ground::kListTooYoung);
  }
  return Make(only, origin_ground::kOnlyVersion);
}

} // namespace thornhollow
