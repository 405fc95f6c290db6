// Requests that wait until an endpoint of their pool takes one more, by the
// bounds that the endpoints named. Higher tiers come first, then those that
// arrived earlier.
//
//   room_queue queue;
//   queue.Join({ tier, number }, limit, wake);   // a request
//   if (auto wake = queue.TakeFirst()) { (*wake)(room_verdict::kTry); }
//
// Guards against refusals while room is about to come free: parts of a bound
// are small, so that a request often finds all of them taken for some
// milliseconds. The queue is short, so that whoever can't be served soon is
// told at once.
#ifndef THORNHOLLOW_POLICY_QUEUES_ROOM_QUEUE_H_
#define THORNHOLLOW_POLICY_QUEUES_ROOM_QUEUE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <utility>

namespace thornhollow {

enum class room_verdict : std::uint8_t
{
  // There may be room now.
  kTry,
  // Its place went to a higher tier, or it has waited long enough.
  kDisplaced,
};

// A place in the queue.
struct room_ticket
{
  // 0 is served first.
  std::uint32_t mTier = 0;
  // In the order of arrival, unique.
  std::uint64_t mNumber = 0;

  // clang-tidy 14 mistakes the 0 in the generated code for a null pointer.
  // NOLINTBEGIN(modernize-use-nullptr)
  friend std::strong_ordering operator<=>(const room_ticket&,
                                          const room_ticket&) = default;
  // NOLINTEND(modernize-use-nullptr)
};

class room_queue
{
public:
  // Called once, after the request has left the queue.
  using wake = std::function<void(room_verdict)>;

  // What came of joining.
  struct joining
  {
    bool mJoined = false;
    // To be called with `kDisplaced`; unset unless a request had to leave.
    std::optional<wake> mDisplaced;
  };

  // Joins while fewer than `aLimit` requests wait, or in place of the last one
  // if that one comes after `aTicket`.
  joining Join(const room_ticket& aTicket, std::size_t aLimit, wake aWake)
  {
    joining result;
    if (mWaiting.size() >= aLimit) {
      if (mWaiting.empty() || mWaiting.rbegin()->first < aTicket) {
        return result;
      }
      const auto last = std::prev(mWaiting.end());
      result.mDisplaced = std::move(last->second);
      mWaiting.erase(last);
    }
    mWaiting.emplace(aTicket, std::move(aWake));
    result.mJoined = true;
    return result;
  }

  void Leave(const room_ticket& aTicket) { mWaiting.erase(aTicket); }

  std::optional<wake> TakeFirst()
  {
    if (mWaiting.empty()) {
      return std::nullopt;
    }
    wake first = std::move(mWaiting.begin()->second);
    mWaiting.erase(mWaiting.begin());
    return first;
  }

  std::size_t size() const { return mWaiting.size(); }

private:
  std::map<room_ticket, wake> mWaiting;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_QUEUES_ROOM_QUEUE_H_
