// Bounds that endpoints name in their answers. A bound holds for what all
// instances send to the endpoint together.
//
//   endpoint_bounds_memory memory;
//   if (memory.OnWord({ process, { .mRefusals = 10 }, now })) { ... }
//   const endpoint_bounds* bounds = memory.Find(process);
//
// Guards against endpoints that fall over under what they turn away: an
// instance that doesn't know the bound, or keeps an old one, sends on to a full
// endpoint.
//
// An endpoint names its bounds in each answer for as long as they hold, so the
// latest word counts, also where it comes by way of a peer that heard it
// earlier. It holds for one process of the endpoint: a process that was started
// again has said nothing yet.
#ifndef THORNHOLLOW_POLICY_ENDPOINTS_ENDPOINT_BOUNDS_H_
#define THORNHOLLOW_POLICY_ENDPOINTS_ENDPOINT_BOUNDS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "thornhollow/base/endpoint_hash.h"
#include "thornhollow/base/time.h"

namespace thornhollow {

struct endpoint_bounds
{
  // Requests that the endpoint may turn away in a second for want of room; it
  // ends when there are more. Unset where it doesn't say so.
  std::optional<double> mRefusals = std::nullopt;
  // Requests a second that the endpoint takes from all instances together.
  // Unset where it doesn't say so.
  std::optional<double> mRequestsPerSecond = std::nullopt;

  bool Any() const
  {
    return mRefusals.has_value() || mRequestsPerSecond.has_value();
  }

  friend bool operator==(const endpoint_bounds&,
                         const endpoint_bounds&) = default;
};

// What a process of an endpoint said of its bounds, and when this was heard.
struct bounds_word
{
  endpoint_process_hash mProcess = 0;
  endpoint_bounds mBounds;
  time_point mHeardAt{};

  friend bool operator==(const bounds_word&, const bounds_word&) = default;
};

class endpoint_bounds_memory
{
public:
  // For how long the end of a bound is told to peers.
  static constexpr duration kEndToldFor = Seconds(30);
  // More processes are not kept; above the 850 endpoints of a large fleet.
  static constexpr std::size_t kMaxProcesses = 4'096;

  // Takes a word, unless a later one of the process is known. Returns whether
  // the process' bounds are noticeably others than before; a lesser change is
  // not taken.
  bool OnWord(const bounds_word& aWord);

  // What the process named last; nullptr if it has not said a word.
  const endpoint_bounds* Find(endpoint_process_hash aProcess) const;

  // Words for peers: bounds that hold, and those that ended lately. At most
  // `aMaxCount`; the next call goes on where this one stopped.
  std::vector<bounds_word> Words(std::size_t aMaxCount, time_point aNow);
  // The same of one process; unset if it has not said a word.
  std::optional<bounds_word> WordOf(endpoint_process_hash aProcess) const;

  // Forgets the process, which has ended.
  void Forget(endpoint_process_hash aProcess) { mWords.erase(aProcess); }

private:
  struct word
  {
    endpoint_bounds mBounds;
    time_point mHeardAt{};
    // Since when the process names these bounds, as far as this instance knows.
    time_point mSince{};
  };

  static bool IsTold(const word& aWord, time_point aNow)
  {
    return aWord.mBounds.Any() || aNow - aWord.mSince < kEndToldFor;
  }

  std::map<endpoint_process_hash, word> mWords;
  // The process after which `Words` goes on.
  endpoint_process_hash mTold = 0;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ENDPOINTS_ENDPOINT_BOUNDS_H_
