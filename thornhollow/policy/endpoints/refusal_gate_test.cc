#include <doctest/doctest.h>

#include "thornhollow/policy/endpoints/refusal_gate.h"

namespace thornhollow {
namespace {

constexpr time_point kNow{ Seconds(100) };
constexpr duration kSoon = Milliseconds(2);
constexpr duration kLater = Milliseconds(300);

struct bound_endpoint
{
  explicit bound_endpoint(refusal_part aPart = { 4, 2 })
  {
    mGate.SetPart(aPart);
  }

  bool Send()
  {
    if (!mGate.MaySend(mInFlight, mTime)) {
      return false;
    }
    mGate.OnSent(mTime);
    ++mInFlight;
    return true;
  }
  void Refuse()
  {
    mGate.OnAnswered(mTime);
    mTime += kSoon;
    --mInFlight;
    mGate.OnRefused(mInFlight, mTime);
  }
  void Complete()
  {
    --mInFlight;
    mGate.OnCompleted();
  }

  refusal_gate mGate;
  std::uint32_t mInFlight = 0;
  time_point mTime = kNow;
};

TEST_CASE("refusal_gate/no_bound/sends_all")
{
  refusal_gate gate;
  CHECK(gate.MaySend(1'000, kNow));
}

TEST_CASE("refusal_gate/no_part/sends_nothing")
{
  refusal_gate gate;
  gate.SetPart(refusal_part{ 0, 0 });
  CHECK_FALSE(gate.MaySend(0, kNow));
}

TEST_CASE("refusal_gate/part_of_the_room_taken/sends_no_more")
{
  bound_endpoint endpoint;
  for (int each = 0; each < 4; ++each) {
    CHECK(endpoint.Send());
    endpoint.mTime += kLater;
  }
  CHECK_FALSE(endpoint.Send());
}

// Requests sent together may all be refused, and the endpoint ends.
TEST_CASE("refusal_gate/many_at_once/only_as_many_as_may_be_refused")
{
  bound_endpoint endpoint;
  CHECK(endpoint.Send());
  CHECK(endpoint.Send());
  CHECK_FALSE(endpoint.Send());
  endpoint.mTime += kLater;
  CHECK(endpoint.Send());
}

TEST_CASE("refusal_gate/refusals_of_the_last_second/count_until_it_has_passed")
{
  bound_endpoint endpoint{ { 64, 2 } };
  endpoint.mInFlight = 8;
  for (int each = 0; each < 2; ++each) {
    CHECK(endpoint.Send());
    endpoint.Refuse();
    endpoint.Complete();
  }
  CHECK_FALSE(endpoint.Send());
  endpoint.mTime += Milliseconds(990);
  CHECK_FALSE(endpoint.Send());
  endpoint.mTime += Milliseconds(20);
  CHECK(endpoint.Send());
}

// An endpoint has less room than it lists.
TEST_CASE("refusal_gate/refused/sends_again_only_after_one_of_its_own_ended")
{
  bound_endpoint endpoint{ { 64, 8 } };
  endpoint.Send();
  endpoint.mTime += kLater;
  endpoint.Send();
  endpoint.mTime += kLater;
  endpoint.Send();
  endpoint.Refuse();
  endpoint.mTime += Seconds(5);
  CHECK_FALSE(endpoint.Send());
  endpoint.Complete();
  CHECK(endpoint.Send());
}

TEST_CASE("refusal_gate/refused_with_none_there/waits_a_while")
{
  bound_endpoint endpoint{ { 64, 8 } };
  endpoint.Send();
  endpoint.Refuse();
  CHECK_FALSE(endpoint.Send());
  endpoint.mTime += kLater;
  CHECK(endpoint.Send());
  CHECK_FALSE(endpoint.Send());
}

TEST_CASE("refusal_gate/answered_again/room_grows_back")
{
  bound_endpoint endpoint{ { 4, 8 } };
  endpoint.Send();
  endpoint.Refuse();
  CHECK(endpoint.mGate.Room() == 1);
  for (int each = 0; each < 6; ++each) {
    endpoint.mTime += kLater;
    REQUIRE(endpoint.Send());
    endpoint.Complete();
  }
  CHECK(endpoint.mGate.Room() == 4);
}

TEST_CASE("refusal_gate/part_shrinks_and_grows/room_follows")
{
  bound_endpoint endpoint{ { 8, 8 } };
  endpoint.mInFlight = 3;
  endpoint.Send();
  endpoint.Refuse();
  CHECK(endpoint.mGate.Room() == 3);
  endpoint.mGate.SetPart(refusal_part{ 2, 8 });
  CHECK(endpoint.mGate.Room() == 2);
  endpoint.mGate.SetPart(refusal_part{ 8, 8 });
  CHECK(endpoint.mGate.Room() == 8);
  endpoint.mGate.Clear();
  CHECK(endpoint.mGate.MaySend(100, endpoint.mTime));
}

} // namespace
} // namespace thornhollow
