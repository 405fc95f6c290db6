// How far the run of a request at an endpoint has got, as evidence for or
// against the request when the endpoint's process ends.
//
//   const run_progress progress = ProgressAfter(now - firstOutputAt);
//   if (progress == ProofAgainst(progressAtEnd)) { ... }
//
// A request that ends endpoints may bring its first output before that. Output
// therefore proves a request sound only of ends that came earlier in a run: a
// run that has gone on for longer than the ended one had, or a whole answer.
#ifndef THORNHOLLOW_POLICY_SUSPECTS_RUN_PROGRESS_H_
#define THORNHOLLOW_POLICY_SUSPECTS_RUN_PROGRESS_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

#include "thornhollow/base/time.h"

namespace thornhollow {

enum class run_progress : std::uint8_t
{
  kNoOutput,
  // Output has begun,
  kBegun,
  // and has gone on for `kGoingAfter` or is complete.
  kGoing,
};
inline constexpr std::size_t kRunProgressCount = 3;

// An endpoint that ends later under a request is not told from one that ends of
// itself: most requests of an endpoint have output then.
inline constexpr duration kGoingAfter = Milliseconds(250);

// The progress of a run whose output began so long ago.
inline run_progress
ProgressAfter(duration aSinceFirstOutput)
{
  return aSinceFirstOutput >= kGoingAfter ? run_progress::kGoing
                                          : run_progress::kBegun;
}

// Whether a run that had got so far may be why its endpoint's process ended.
inline bool
MayEndEndpoint(run_progress aProgress)
{
  return aProgress < run_progress::kGoing;
}

// The progress of another run which shows that the same request, or part of
// one, doesn't end endpoints at `aAtEnd`.
inline run_progress
ProofAgainst(run_progress aAtEnd)
{
  return aAtEnd == run_progress::kNoOutput ? run_progress::kBegun
                                           : run_progress::kGoing;
}

// When runs last came to each progress. A run that goes on proves nothing anew:
// it may have begun before its request began to end endpoints.
class progress_times
{
public:
  progress_times() { mLast.fill(time_point::min()); }

  void Add(run_progress aProgress, time_point aAt)
  {
    time_point& last = mLast[Index(aProgress)];
    last = std::max(last, aAt);
  }
  // When a run last got that far; `time_point::min()` if none did.
  time_point Last(run_progress aProgress) const
  {
    return mLast[Index(aProgress)];
  }
  // When a run last came to any.
  time_point Latest() const { return *std::ranges::max_element(mLast); }

private:
  static std::size_t Index(run_progress aProgress)
  {
    return static_cast<std::size_t>(aProgress);
  }

  std::array<time_point, kRunProgressCount> mLast{};
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_SUSPECTS_RUN_PROGRESS_H_
