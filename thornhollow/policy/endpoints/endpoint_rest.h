// The rest that one endpoint asked this instance for, and the return to it.
//
//   endpoint_rest rest;
//   rest.Extend(until, Milliseconds(200));
//   if (rest.MaySend(now)) { ...; rest.OnSent(); }
//
// Guards against requests to an endpoint that refuses for want of room. It
// refuses within a millisecond, so that it looks like the least loaded one and
// attracts more requests than any other, each of which costs its caller an
// attempt.
//
// Instances that were asked for the same rest would all return at the same
// moment. So the return is put off by a different time at each, and begins with
// one request; more follow once that one is answered.
#ifndef THORNHOLLOW_POLICY_ENDPOINTS_ENDPOINT_REST_H_
#define THORNHOLLOW_POLICY_ENDPOINTS_ENDPOINT_REST_H_

#include <algorithm>
#include <cstdint>
#include <optional>

#include "thornhollow/base/time.h"

namespace thornhollow {

class endpoint_rest
{
public:
  // Requests without an answer that may be at an endpoint to which this
  // instance is returning if there is no better one.
  static constexpr std::uint32_t kMaxWithoutAnswer = 8;

  // The rest lasts until `aUntil` at least; this instance returns `aSpread`
  // later. Does nothing if it lasts as long already.
  void Extend(time_point aUntil, duration aSpread)
  {
    if (aUntil > mAskedUntil) {
      mAskedUntil = aUntil;
      mUntil = std::max(mUntil, aUntil + aSpread);
      mAllowed = 1;
      mUnanswered = 0;
    }
  }

  bool IsOver(time_point aNow) const { return aNow >= mUntil; }
  time_point Until() const { return mUntil; }
  // Whether the endpoint may get one more request, as any other may.
  bool MaySend(time_point aNow) const
  {
    return IsOver(aNow) && (!mAllowed || mUnanswered < *mAllowed);
  }
  // The same if there is no better endpoint.
  bool MaySendInNeed(time_point aNow) const
  {
    return IsOver(aNow) && (!mAllowed || mUnanswered < kMaxWithoutAnswer);
  }

  void OnSent() { mUnanswered += mAllowed ? 1 : 0; }
  // An answer began to a request that was sent at `aSentAt`.
  void OnStarted(time_point aSentAt)
  {
    if (!TakeUnanswered(aSentAt)) {
      return;
    }
    *mAllowed *= kGrowth;
    if (*mAllowed > kMaxWithoutAnswer) {
      mAllowed.reset();
    }
  }
  // A request that was sent at `aSentAt` ended without an answer, or was
  // refused.
  void OnFailed(time_point aSentAt) { TakeUnanswered(aSentAt); }

private:
  static constexpr std::uint32_t kGrowth = 4;

  // Whether the request is one of the return.
  bool TakeUnanswered(time_point aSentAt)
  {
    if (!mAllowed || aSentAt < mUntil || mUnanswered == 0) {
      return false;
    }
    --mUnanswered;
    return true;
  }

  time_point mAskedUntil{};
  time_point mUntil{};
  // Requests without an answer that may be there at a time; unset unless this
  // instance is returning.
  std::optional<std::uint32_t> mAllowed;
  std::uint32_t mUnanswered = 0;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ENDPOINTS_ENDPOINT_REST_H_
