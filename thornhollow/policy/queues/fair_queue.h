// Start-time fair queue: orders the waiting requests of one class fairly across
// teams by the cost of their work.
//
//   fair_queue queue;
//   const fair_queue::position position = queue.Push(request, weight);
//   const waiting_request* next = queue.Front();
//   queue.Dequeue(position);
//
// Load pattern: one team sends many requests, or a few expensive ones, while
// the others send their usual few. In order of arrival, all teams would wait
// behind the heavy team's backlog and have requests refused because of it.
// Here each request gets a start tag: the maximum of the queue's virtual time
// and the finish tag of its team's previous request. The finish tag is the
// start tag plus cost divided by weight. The request with the lowest start tag
// is served first, so a team's backlog delays only that team's own requests.
//
// Each operation takes logarithmic time in the number of waiting requests and
// does not depend on the number of teams. A team's state is kept only while its
// last finish tag exceeds the virtual time, and all state is discarded when the
// queue becomes empty.
#ifndef THORNHOLLOW_POLICY_QUEUES_FAIR_QUEUE_H_
#define THORNHOLLOW_POLICY_QUEUES_FAIR_QUEUE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

#include "thornhollow/policy/queues/waiting_request.h"

namespace thornhollow {

class fair_queue
{
public:
  // Position of a request in the queue. Valid until the request is dequeued or
  // erased.
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

  // If `aByTeam` is false, all requests are attributed to a single team, so
  // that they are served in order of arrival.
  explicit fair_queue(bool aByTeam = true)
    : mByTeam(aByTeam)
  {
  }

  // Queues a request. `aWeight` is its team's weight and must be positive.
  position Push(const waiting_request& aRequest, double aWeight);

  // Queues a request that was started before (a retry) at the front of the
  // queue, without charging its cost again.
  position PushFront(const waiting_request& aRequest);

  // The first and the last request in queue order; null if the queue is empty.
  const waiting_request* Front() const;
  const waiting_request* Back() const;

  // Position of the first request. The queue must not be empty.
  position FrontPosition() const { return mWaiting.begin()->first; }

  // The queued request at `aPosition`; null if there is none.
  const waiting_request* Find(const position& aPosition) const;

  // Removes a request that was started and advances the virtual time.
  void Dequeue(const position& aPosition);

  // Removes a request that was not started. If the request is the last one that
  // its team queued, the team gets the charged cost back. Returns false if
  // there is no request at this position.
  bool Erase(const position& aPosition);

  // Removes the last request in queue order, in the way of `Erase`. The queue
  // must not be empty.
  void EraseBack();

  // Adds `aCostDelta`, the actual minus the expected cost of a dequeued
  // request, to what `aTeam` is charged. This delays or advances only the
  // team's later requests. Ignored for a team whose state is not kept.
  void AdjustCost(const team_name& aTeam, double aCostDelta, double aWeight);

  // Upper estimate of the total cost of the requests that are served before a
  // new request of `aTeam`, assuming that all other teams keep their backlog.
  double CostAhead(const team_name& aTeam) const;

  // Whether a new request of `aTeam` would precede the last request in queue
  // order.
  bool PrecedesBack(const team_name& aTeam) const;

  double TotalCost() const { return mTotalCost; }
  std::size_t size() const { return mWaiting.size(); }
  bool empty() const { return mWaiting.empty(); }
  // Number of teams whose state is kept in memory; used to measure memory use.
  std::size_t TrackedTeams() const { return mTeams.size(); }

private:
  struct entry
  {
    waiting_request mRequest;
    // Virtual finish time of the request; equals its start tag if the request's
    // cost is not charged.
    double mFinishTag = 0;
    double mWeight = 1;
  };
  struct team_state
  {
    double mFinishTag = 0;
    // What the team contributes to `mActiveWeight`.
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
  // Sum of the weights of teams with waiting requests.
  double mActiveWeight = 0;
  std::size_t mActiveTeams = 0;
  entries mWaiting;
  std::unordered_map<team_name, team_state> mTeams;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_QUEUES_FAIR_QUEUE_H_
