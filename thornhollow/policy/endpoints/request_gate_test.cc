#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/policy/endpoints/request_gate.h"

namespace thornhollow {
namespace {

constexpr time_point kNow{ Seconds(100) };

// Requests that pass in a span while one waits at any time.
int
Passed(request_gate& aGate, time_point aFrom, duration aSpan)
{
  int passed = 0;
  for (time_point at = aFrom; at < aFrom + aSpan; at += Milliseconds(1)) {
    if (aGate.MaySend(at)) {
      aGate.OnSent(at);
      ++passed;
    }
  }
  return passed;
}

double
SumOfRates(int aInstances, double aBound)
{
  std::vector<std::string> all;
  all.reserve(static_cast<std::size_t>(aInstances));
  for (int each = 0; each < aInstances; ++each) {
    all.push_back("10.0.0." + std::to_string(each) + ":7");
  }
  double sum = 0;
  for (const std::string& own : all) {
    std::vector<std::string> others = all;
    std::erase(others, own);
    endpoint_shares shares(own);
    shares.SetInstances(others, true, 1);
    sum += RateOfRequests(shares, endpoint_name("e1"), aBound);
  }
  return sum;
}

TEST_CASE("request_gate/no_bound/sends_all")
{
  request_gate gate;
  CHECK(Passed(gate, kNow, Seconds(1)) == 1'000);
}

TEST_CASE("request_gate/no_part/sends_nothing")
{
  request_gate gate;
  gate.SetRate(0, kNow);
  CHECK(Passed(gate, kNow, Seconds(60)) == 0);
  CHECK_FALSE(gate.Wait(kNow));
}

TEST_CASE("request_gate/steady_callers/whole_rate_is_used")
{
  request_gate gate;
  gate.SetRate(2.5, kNow);
  const int passed = Passed(gate, kNow, Seconds(40));
  CHECK(passed >= 99);
  CHECK(passed <= 101);
}

// What wasn't used must not be sent later at once.
TEST_CASE("request_gate/idle_before/half_a_request_more_at_most")
{
  request_gate gate;
  gate.SetRate(1, kNow);
  CHECK(Passed(gate, kNow + Seconds(60), Seconds(4)) <= 5);
}

// Where the users of an endpoint change, the one before may just have sent.
TEST_CASE("request_gate/part_begins/first_request_after_an_interval")
{
  request_gate gate;
  gate.SetRate(0, kNow);
  gate.SetRate(0.5, kNow);
  CHECK(Passed(gate, kNow, Milliseconds(1'990)) == 0);
  CHECK(gate.Wait(kNow) == Seconds(2));
}

TEST_CASE("request_gate/rate_grows/no_longer_wait_than_its_interval")
{
  request_gate gate;
  gate.SetRate(0.1, kNow);
  gate.SetRate(2, kNow);
  CHECK(gate.Wait(kNow) == Milliseconds(500));
}

TEST_CASE("request_gate/bound_ends/sends_all")
{
  request_gate gate;
  gate.SetRate(0.1, kNow);
  gate.SetRate(std::nullopt, kNow);
  CHECK(gate.MaySend(kNow));
}

TEST_CASE("request_gate/any_fleet/rates_sum_up_to_the_bound")
{
  for (const int instances : { 1, 3, 8, 85, 420 }) {
    for (const double bound : { 0.3, 1.0, 2.4, 10.0, 80.0 }) {
      CAPTURE(instances);
      CAPTURE(bound);
      CHECK(SumOfRates(instances, bound) == doctest::Approx(bound));
    }
  }
}

// Nobody would hear that the bound is over.
TEST_CASE("request_gate/bound_of_zero/one_instance_asks_now_and_then")
{
  CHECK(SumOfRates(8, 0) == doctest::Approx(0.1));
}

} // namespace
} // namespace thornhollow
