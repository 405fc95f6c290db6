#include <cmath>
#include <random>

#include <doctest/doctest.h>

#include "thornhollow/policy/endpoints/prefill_rate.h"

namespace thornhollow {
namespace {

// Simulates the waits for the first token at engines of one speed: the prefill
// of the prompt, the network round trip, and in some cases the prefill of
// queued prompts that this instance does not know about.
struct engine_of_a_pool
{
  double mPerSecond = 0;
  double mChunk = 0;

  duration WaitFor(double aTokens, std::mt19937_64& aRandom) const
  {
    std::uniform_real_distribution<double> way(0.012, 0.024);
    std::uniform_real_distribution<double> queue(0, 1);
    const double chunks = std::ceil(aTokens / mChunk);
    const double queued = queue(aRandom) < 0.2 ? queue(aRandom) * 0.2 : 0;
    return FromSeconds(aTokens / mPerSecond + chunks * 0.0005 + way(aRandom) +
                       queued);
  }
};

constexpr double kPrior = 55'000;

TEST_CASE("prefill_rate/eight_kinds_of_engine/known_within_a_fifth_after_ten")
{
  for (const double perSecond : { 20'000.0, 60'000.0, 100'000.0, 150'000.0 }) {
    for (const double chunk : { 512.0, 8'192.0 }) {
      const engine_of_a_pool engine{ perSecond, chunk };
      std::mt19937_64 random(7);
      std::uniform_real_distribution<double> size(6'000, 12'000);
      prefill_rate subject(kPrior);
      for (int answer = 0; answer < 10; ++answer) {
        const double tokens = size(random);
        subject.OnPrefill(tokens, engine.WaitFor(tokens, random));
      }
      CAPTURE(perSecond);
      CAPTURE(chunk);
      CHECK(subject.Known());
      CHECK(subject.PerSecond() > perSecond * 0.8);
      CHECK(subject.PerSecond() < perSecond * 1.2);
    }
  }
}

TEST_CASE("prefill_rate/engine_turns_slow/is_followed")
{
  std::mt19937_64 random(3);
  prefill_rate subject(kPrior);
  const engine_of_a_pool before{ 60'000, 4'096 };
  const engine_of_a_pool after{ 30'000, 4'096 };
  for (int answer = 0; answer < 50; ++answer) {
    subject.OnPrefill(8'000, before.WaitFor(8'000, random));
  }
  for (int answer = 0; answer < 60; ++answer) {
    subject.OnPrefill(8'000, after.WaitFor(8'000, random));
  }
  CHECK(subject.PerSecond() < 36'000);
}

TEST_CASE("prefill_rate/odd_answers/are_bounded")
{
  prefill_rate subject(kPrior);
  subject.OnPrefill(9'000, duration::zero());
  subject.OnPrefill(9'000, Milliseconds(-5));
  subject.OnPrefill(10, Seconds(2));
  CHECK(subject.PerSecond() == doctest::Approx(kPrior));
  CHECK_FALSE(subject.Known());
  for (int answer = 0; answer < 1'000; ++answer) {
    subject.OnPrefill(1e12, Milliseconds(19));
  }
  CHECK(subject.PerSecond() <= 2e6);
  for (int answer = 0; answer < 2'000; ++answer) {
    subject.OnPrefill(1'000, Seconds(1'000));
  }
  CHECK(subject.PerSecond() >= 2'000);
}

} // namespace
} // namespace thornhollow
