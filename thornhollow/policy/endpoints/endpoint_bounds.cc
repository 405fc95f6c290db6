#include "thornhollow/policy/endpoints/endpoint_bounds.h"

#include <cmath>

namespace thornhollow {
namespace {

// A bound that changes by less than this fraction is no news: an endpoint may
// name a slightly different one in each answer.
constexpr double kNoticeableChange = 0.1;

bool
IsNews(const std::optional<double>& aBefore,
       const std::optional<double>& aAfter)
{
  if (!aBefore || !aAfter) {
    return aBefore != aAfter;
  }
  return std::abs(*aAfter - *aBefore) > kNoticeableChange * *aBefore;
}

} // namespace

bool
endpoint_bounds_memory::OnWord(const bounds_word& aWord)
{
  auto found = mWords.find(aWord.mProcess);
  if (found == mWords.end()) {
    if (mWords.size() >= kMaxProcesses) {
      return false;
    }
    mWords.emplace(aWord.mProcess,
                   word{ aWord.mBounds, aWord.mHeardAt, aWord.mHeardAt });
    return aWord.mBounds.Any();
  }
  word& known = found->second;
  if (aWord.mHeardAt < known.mHeardAt) {
    return false;
  }
  known.mHeardAt = aWord.mHeardAt;
  if (!IsNews(known.mBounds.mRefusals, aWord.mBounds.mRefusals) &&
      !IsNews(known.mBounds.mRequestsPerSecond,
              aWord.mBounds.mRequestsPerSecond)) {
    return false;
  }
  known.mBounds = aWord.mBounds;
  known.mSince = aWord.mHeardAt;
  return true;
}

const endpoint_bounds*
endpoint_bounds_memory::Find(endpoint_process_hash aProcess) const
{
  const auto found = mWords.find(aProcess);
  return found == mWords.end() ? nullptr : &found->second.mBounds;
}

std::vector<bounds_word>
endpoint_bounds_memory::Words(std::size_t aMaxCount, time_point aNow)
{
  std::vector<bounds_word> words;
  auto next = mWords.upper_bound(mTold);
  for (std::size_t seen = 0; seen < mWords.size() && words.size() < aMaxCount;
       ++seen) {
    if (next == mWords.end()) {
      next = mWords.begin();
    }
    const auto& [process, each] = *next;
    if (IsTold(each, aNow)) {
      words.push_back({ process, each.mBounds, each.mHeardAt });
    }
    mTold = process;
    ++next;
  }
  return words;
}

std::optional<bounds_word>
endpoint_bounds_memory::WordOf(endpoint_process_hash aProcess) const
{
  const auto found = mWords.find(aProcess);
  if (found == mWords.end()) {
    return std::nullopt;
  }
  return bounds_word{ aProcess, found->second.mBounds, found->second.mHeardAt };
}

} // namespace thornhollow
