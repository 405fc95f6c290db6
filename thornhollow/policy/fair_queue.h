// The waiting requests of one class, in an order that is fair over teams by the
// cost of their work (start-time fair queueing).
//
//   fair_queue queue;
//   const fair_queue::position at = queue.Push(request, weight);
//   const waiting_request* next = queue.Front();
//   queue.Take(at);
//
// Load pattern: one team sends many requests, or few that cost much, while
// others send their usual handful. In order of arrival everybody then waits
// behind the hot team's backlog, and is refused because of it. Here each
// request gets a start tag: the later of the queue's virtual time and the end
// of its team's previous request, cost divided by weight. The lowest tag goes
// first, so that a hot team's backlog moves its own tags into the future only.
//
// Each operation costs the logarithm of what waits, whatever the number of
// teams. A team is remembered only while its last tag lies ahead of the virtual
// time, and all are forgotten when the queue runs empty.
#ifndef THORNHOLLOW_POLICY_FAIR_QUEUE_H_
#define THORNHOLLOW_POLICY_FAIR_QUEUE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

#include "thornhollow/policy/waiting_request.h"

namespace thornhollow {

class fair_queue
{
public:
  // A place in the order; stays valid until that request is taken or erased.
  struct position
  {
    double mStartTag = 0;
    std::uint64_t mSequence = 0;

    friend bool operator==(const position&, const position&) = default;
    // clang-tidy 14 takes the 0 in the generated code for a null pointer.
    // NOLINTBEGIN(modernize-use-nullptr)
    friend std::partial_ordering operator<=>(const position&,
                                             const position&) = default;
    // NOLINTEND(modernize-use-nullptr)
  };

  // With `aByTeam` false all requests count as one team's: order of arrival.
  explicit fair_queue(bool aByTeam = true)
    : mByTeam(aByTeam)
  {
  }

  // Queues a request of a team of this weight (above 0).
  position Push(const waiting_request& aRequest, double aWeight);

  // Queues a request that was started before: next in line, not charged again.
  position PushFront(const waiting_request& aRequest);

  // The next in order; the last in order. Null where nothing waits.
  const waiting_request* Front() const;
  const waiting_request* Back() const;

  // Where the next in order is; something must wait.
  position FrontPosition() const { return mWaiting.begin()->first; }

  // The request there; null where there is none.
  const waiting_request* Find(const position& aPosition) const;

  // The request there was started: virtual time goes on.
  void Dequeue(const position& aPosition);

  // The request there leaves without being started; its cost is given back
  // where it is its team's last. False where there is none.
  bool Erase(const position& aPosition);

  // The same with the last in order; something must wait.
  void EraseBack();

  // A request of `aTeam` that was taken cost this much more than expected, or
  // less: its later requests wait accordingly. Not remembered for a team that
  // has nothing waiting.
  void AdjustCost(const team_name& aTeam, double aCostDelta, double aWeight);

  // Cost of what would go before a new request of `aTeam`: an upper estimate
  // that assumes that all other teams keep their backlog.
  double CostAhead(const team_name& aTeam) const;

  // Whether a new request of `aTeam` would go before the last in order.
  bool PrecedesBack(const team_name& aTeam) const;

  double TotalCost() const { return mTotalCost; }
  std::size_t size() const { return mWaiting.size(); }
  bool empty() const { return mWaiting.empty(); }
  // Teams remembered, for memory figures.
  std::size_t TrackedTeams() const { return mTeams.size(); }

private:
  struct entry
  {
    waiting_request mRequest;
    // End of the request in virtual time; its start where not charged.
    double mFinishTag = 0;
    double mWeight = 1;
  };
  struct team_state
  {
    double mFinishTag = 0;
    // Its part of `mActiveWeight`.
    double mWeight = 0;
    std::uint32_t mWaiting = 0;
  };
  using entries = std::map<position, entry>;

  const team_name& EffectiveTeam(const team_name& aTeam) const;
  double StartTag(const team_name& aTeam) const;
  position Insert(double aStartTag, entry aEntry);
  void EraseEntry(entries::iterator aEntry);

  bool mByTeam;
  team_name mCommonTeam;
  double mVirtualTime = 0;
  std::uint64_t mSequence = 0;
  double mTotalCost = 0;
  // Sum over teams with something waiting.
  double mActiveWeight = 0;
  std::size_t mActiveTeams = 0;
  entries mWaiting;
  std::unordered_map<team_name, team_state> mTeams;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_FAIR_QUEUE_H_
