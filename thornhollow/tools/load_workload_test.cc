#include <algorithm>
#include <variant>

#include <doctest/doctest.h>

#include "thornhollow/tools/load_report.h"
#include "thornhollow/tools/load_workload.h"

namespace thornhollow {
namespace {

struct workload_fixture
{
  static workload Read(const std::string& aText)
  {
    const auto verdict = ReadWorkload({ "w.yaml", aText });
    REQUIRE(std::holds_alternative<workload>(verdict));
    return std::get<workload>(verdict);
  }

  std::string mText = "seed: 7\n"
                      "duration_s: 100\n"
                      "classes:\n"
                      "  - name: notes\n"
                      "    token: t\n"
                      "    model: m\n"
                      "    rate: 20\n"
                      "    first_token_ms: 100\n"
                      "    bursts:\n"
                      "      - {from_s: 50, length_s: 10, factor: 5}\n";
};

} // namespace

TEST_CASE_FIXTURE(workload_fixture, "workload/drawn twice/same arrivals")
{
  const workload read = Read(mText);
  CHECK(DrawArrivals(read) == DrawArrivals(read));
}

TEST_CASE_FIXTURE(workload_fixture, "workload/burst/rate is multiplied in it")
{
  const auto arrivals = DrawArrivals(Read(mText));
  const auto inBurst =
    std::ranges::count_if(arrivals, [](const arrival& aArrival) {
      return aArrival.mAt >= Seconds(50) && aArrival.mAt < Seconds(60);
    });
  // 90 s at 20 a second and 10 s at 100 a second, within four deviations.
  CHECK(inBurst > 1000 - 127);
  CHECK(inBurst < 1000 + 127);
  CHECK(static_cast<long>(arrivals.size()) - inBurst > 1800 - 170);
  CHECK(static_cast<long>(arrivals.size()) - inBurst < 1800 + 170);
}

TEST_CASE_FIXTURE(workload_fixture, "workload/unknown field/refused with line")
{
  const auto verdict = ReadWorkload({ "w.yaml", mText + "    colour: red\n" });
  REQUIRE(std::holds_alternative<faults>(verdict));
  CHECK(std::get<faults>(verdict).front().mLine == 11);
}

TEST_CASE("percentiles/hundred samples/nearest rank")
{
  std::vector<duration> samples;
  for (int at = 100; at > 0; --at) {
    samples.push_back(Milliseconds(at));
  }
  CHECK(PercentilesOf(samples) ==
        percentiles{ Milliseconds(50), Milliseconds(95), Milliseconds(99) });
  CHECK(PercentilesOf({}) == percentiles{});
}

TEST_CASE_FIXTURE(workload_fixture, "load report/late first token/not attained")
{
  load_report report(Read(mText));
  load_result result;
  result.mOutcome = load_outcome::kComplete;
  result.mTokens = 3;
  for (const int firstMs : { 90, 110 }) {
    result.mFirstToken = time_point() + Milliseconds(firstMs);
    result.mEnd = *result.mFirstToken;
    report.Add(0, time_point(), 1, result);
  }
  const std::string json = report.Json(Seconds(1), 10);
  CHECK(json.find("\"completed\":2") != std::string::npos);
  CHECK(json.find("\"attained\":1") != std::string::npos);
  CHECK(json.find("\"tokens_wasted\":4") != std::string::npos);
  CHECK(report.Sound());
}

} // namespace thornhollow
