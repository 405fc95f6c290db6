// Limits what this instance sends to an endpoint that ends when it has to turn
// away too many requests in a second.
//
//   refusal_gate gate;
//   gate.SetPart(refusal_part{ .mRoom = 4, .mRefusals = 2 });
//   if (gate.MaySend(inFlight, now)) { gate.OnSent(now); }
//   gate.OnAnswered(sentAt);
//
// Guards against endpoints that fall over in turn: one that is full refuses
// within a millisecond, gets the next request at once, ends, and its load goes
// to the others.
//
// Two limits. This instance has at most so many requests there as its part of
// the endpoint's slots, or fewer since a refusal: the endpoint may have less
// room than it lists, so a refusal stops this instance until a request of its
// own has ended there. And refusals of the last second, together with requests
// that may yet be refused, stay within its part of the refusals: that holds
// whatever the room is.
#ifndef THORNHOLLOW_POLICY_ENDPOINTS_REFUSAL_GATE_H_
#define THORNHOLLOW_POLICY_ENDPOINTS_REFUSAL_GATE_H_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/policy/endpoints/endpoint_shares.h"

namespace thornhollow {

// This instance's part of an endpoint's room and of what it may turn away.
struct refusal_part
{
  // Requests at the endpoint at a time; 0: this instance doesn't use it.
  std::uint32_t mRoom = 0;
  // Refusals in a second.
  std::uint32_t mRefusals = 0;

  friend bool operator==(const refusal_part&, const refusal_part&) = default;
};

// This instance's part by its place among those that use the endpoint, which
// lists `aSlots` (0: not stated) and may turn away `aRefusals` in a second.
// Each user may be refused once at least, and the first one is never without a
// part: an endpoint that nobody uses would never say that its bound is over.
inline refusal_part
PartOfRefusals(const endpoint_shares& aShares,
               const endpoint_name& aEndpoint,
               std::uint32_t aSlots,
               double aRefusals)
{
  constexpr std::uint32_t kManySlots = 1'024;
  const std::uint32_t slots = aSlots == 0 ? kManySlots : aSlots;
  const auto users =
    static_cast<std::uint32_t>(std::min<double>(std::floor(aRefusals), slots));
  const endpoint_share share = aShares.ShareOf(aEndpoint, users);
  refusal_part part{ share.WholePart(slots), share.WholePart(aRefusals) };
  if (share.IsUser() && share.mRank == 0) {
    part = { std::max(part.mRoom, 1U), std::max(part.mRefusals, 1U) };
  }
  return part.mRoom == 0 || part.mRefusals == 0 ? refusal_part{} : part;
}

class refusal_gate
{
public:
  // The span in which the endpoint counts what it turns away.
  static constexpr duration kWindow = Seconds(1);
  // An endpoint refuses within milliseconds. A request without a refusal for so
  // long was taken.
  static constexpr duration kMayBeRefused = Milliseconds(100);
  // After a refusal without a request of this instance at the endpoint: nothing
  // there will tell of room.
  static constexpr duration kRefusedEmptyPause = Milliseconds(250);

  // The endpoint names no bound.
  void Clear()
  {
    mIsBound = false;
    mPart = {};
    mRoom = 0;
  }
  void SetPart(const refusal_part& aPart)
  {
    if (mIsBound && aPart == mPart) {
      return;
    }
    const bool isReduced = mRoom < mPart.mRoom;
    mIsBound = true;
    mPart = aPart;
    mRoom = isReduced ? std::min(mRoom, aPart.mRoom) : aPart.mRoom;
  }

  // Requests that may be at the endpoint at a time; 0 without a bound.
  std::uint32_t Room() const { return mRoom; }

  // `aInFlight`: requests of this instance at the endpoint.
  bool MaySend(std::uint32_t aInFlight, time_point aNow) const
  {
    if (!mIsBound) {
      return true;
    }
    return aInFlight < mRoom && aNow >= mNotBefore &&
           Within(mRefused, kWindow, aNow) +
               Within(mUnanswered, kMayBeRefused, aNow) <
             mPart.mRefusals;
  }

  void OnSent(time_point aNow)
  {
    if (mIsBound) {
      Add(mUnanswered, aNow, kMayBeRefused);
    }
  }
  // The request that was sent then was answered, or ended.
  void OnAnswered(time_point aSentAt)
  {
    if (const auto found = std::ranges::find(mUnanswered, aSentAt);
        found != mUnanswered.end()) {
      mUnanswered.erase(found);
    }
  }
  // A request was answered whole: there is room for another.
  void OnCompleted()
  {
    if (mRoom < mPart.mRoom && ++mCompleted >= mRoom) {
      mCompleted = 0;
      ++mRoom;
    }
  }
  // A request was refused. `aInFlight`: the others of this instance there.
  void OnRefused(std::uint32_t aInFlight, time_point aNow)
  {
    if (!mIsBound) {
      return;
    }
    Add(mRefused, aNow, kWindow);
    mRoom = std::min(mRoom, std::max(aInFlight, 1U));
    mCompleted = 0;
    if (aInFlight == 0) {
      mNotBefore = aNow + kRefusedEmptyPause;
    }
  }

private:
  static std::size_t Within(const std::vector<time_point>& aTimes,
                            duration aSpan,
                            time_point aNow)
  {
    return static_cast<std::size_t>(std::ranges::count_if(
      aTimes, [=](time_point aAt) { return aNow - aAt < aSpan; }));
  }
  static void Add(std::vector<time_point>& aTimes,
                  time_point aNow,
                  duration aSpan)
  {
    std::erase_if(aTimes, [=](time_point aAt) { return aNow - aAt >= aSpan; });
    aTimes.push_back(aNow);
  }

  // Whether the endpoint names a bound; without one, the part is empty.
  bool mIsBound = false;
  refusal_part mPart;
  // Requests that may be at the endpoint now.
  std::uint32_t mRoom = 0;
  // Requests that were answered whole since `mRoom` changed.
  std::uint32_t mCompleted = 0;
  time_point mNotBefore{};
  std::vector<time_point> mRefused;
  std::vector<time_point> mUnanswered;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ENDPOINTS_REFUSAL_GATE_H_
