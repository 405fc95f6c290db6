#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/policy/queues/fair_queue.h"

namespace thornhollow {
namespace {

struct two_teams
{
  static waiting_request Request(ticket aTicket,
                                 const std::string& aTeam,
                                 double aCost)
  {
    waiting_request request;
    request.mItem.mTicket = aTicket;
    request.mItem.mTeam = team_name(aTeam);
    request.mWork.mCost = aCost;
    return request;
  }

  fair_queue::position Push(ticket aTicket,
                            const std::string& aTeam,
                            double aCost = 100,
                            double aWeight = 1)
  {
    return mQueue.Push(Request(aTicket, aTeam, aCost), aWeight);
  }

  std::vector<ticket> Drain()
  {
    std::vector<ticket> order;
    while (const waiting_request* next = mQueue.Front()) {
      order.push_back(next->mItem.mTicket);
      mQueue.Dequeue(mQueue.FrontPosition());
    }
    return order;
  }

  fair_queue mQueue;
};

// One team sends five requests at once before another team sends its only
// request. In order of arrival, that request would wait for all five.
TEST_CASE_FIXTURE(two_teams, "fair_queue/hot_team/queues_behind_itself")
{
  for (ticket each = 1; each <= 5; ++each) {
    Push(each, "hot");
  }
  CHECK(mQueue.CostAhead(team_name("light")) == doctest::Approx(100));
  CHECK(mQueue.CostAhead(team_name("hot")) == doctest::Approx(500));
  Push(6, "light");
  CHECK(Drain() == std::vector<ticket>{ 1, 6, 2, 3, 4, 5 });
}

TEST_CASE_FIXTURE(two_teams, "fair_queue/costly_requests/charged_by_cost")
{
  Push(1, "long", 1000);
  Push(2, "long", 1000);
  for (ticket each = 3; each <= 12; ++each) {
    Push(each, "short", 100);
  }
  // Ten short requests cost as much as one long request.
  CHECK(Drain() ==
        std::vector<ticket>{ 1, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 2 });
}

TEST_CASE_FIXTURE(two_teams, "fair_queue/weights/divide_the_cost")
{
  for (ticket each = 1; each <= 4; ++each) {
    Push(each, "double", 100, 2);
    Push(each + 10, "single", 100, 1);
  }
  CHECK(Drain() == std::vector<ticket>{ 1, 11, 2, 12, 3, 4, 13, 14 });
}

TEST_CASE_FIXTURE(two_teams, "fair_queue/settled_cost/moves_later_requests")
{
  const auto first = Push(1, "long");
  Push(2, "other");
  Push(3, "long");
  mQueue.Dequeue(first);
  mQueue.AdjustCost(team_name("long"), 300, 1);
  Push(4, "long");
  Push(5, "other");
  Push(6, "other");
  CHECK(Drain() == std::vector<ticket>{ 2, 3, 5, 6, 4 });
}

TEST_CASE_FIXTURE(two_teams, "fair_queue/erased_last/cost_is_given_back")
{
  Push(1, "a");
  const auto second = Push(2, "a");
  CHECK(mQueue.Erase(second));
  CHECK(!mQueue.Erase(second));
  CHECK(mQueue.CostAhead(team_name("a")) == doctest::Approx(100));
  CHECK(mQueue.Back()->mItem.mTicket == 1);
}

TEST_CASE_FIXTURE(two_teams, "fair_queue/run_empty/forgets_its_teams")
{
  for (ticket each = 1; each <= 1000; ++each) {
    Push(each, "team-" + std::to_string(each));
  }
  CHECK(mQueue.TrackedTeams() == 1000);
  Drain();
  CHECK(mQueue.TrackedTeams() == 0);
  CHECK(mQueue.TotalCost() == 0);
}

TEST_CASE_FIXTURE(two_teams, "fair_queue/by_arrival/ignores_teams")
{
  mQueue = fair_queue(false);
  Push(1, "hot");
  Push(2, "hot");
  Push(3, "light");
  CHECK(Drain() == std::vector<ticket>{ 1, 2, 3 });
}

} // namespace
} // namespace thornhollow
