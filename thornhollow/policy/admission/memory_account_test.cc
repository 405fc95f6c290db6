#include <algorithm>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/policy/admission/memory_account.h"

namespace thornhollow {
namespace {

constexpr std::uint64_t kMiB = std::uint64_t{ 1 } << 20U;

struct small_account
{
  memory_account_ptr mAccount{ new memory_account(
    { .mBodies = 16 * kMiB, .mAnswers = 8 * kMiB }) };
};

// Guards against a sum of bodies and answers that grows past the limits, and
// against room that isn't given back.
TEST_CASE_FIXTURE(small_account, "memory_account/random_use/stays_in_limits")
{
  std::mt19937 random(7);
  std::vector<memory_charge> held;
  for (int step = 0; step < 20'000; ++step) {
    const std::uint64_t bytes = random() % (2 * kMiB);
    const std::string endpoint = "e" + std::to_string(random() % 5);
    auto charge = random() % 2 == 0 ? mAccount->ChargeBody(bytes)
                                    : mAccount->ChargeAnswer(endpoint, bytes);
    if (charge) {
      held.push_back(std::move(*charge));
    }
    if (!held.empty() && random() % 2 == 0) {
      std::swap(held[random() % held.size()], held.back());
      held.pop_back();
    }
    const memory_use use = mAccount->Use();
    REQUIRE(use.mBodies <= 16 * kMiB);
    REQUIRE(use.mAnswers <= 8 * kMiB);
  }
  held.clear();
  CHECK(mAccount->Use().mBodies == 0);
  CHECK(mAccount->Use().mAnswers == 0);
  CHECK(mAccount->Use().mPeak > 0);
}

// Guards against one endpoint's answers without end that leave no room for
// those of others.
TEST_CASE_FIXTURE(small_account,
                  "memory_account/an_endless_endpoint/leaves_room_for_others")
{
  memory_charge endless;
  while (mAccount->GrowAnswer(endless, "endless", 8'192)) {
  }
  CHECK(endless.Bytes() <= 4 * kMiB);
  CHECK(endless.Bytes() > 4 * kMiB - 16'384);
  CHECK(mAccount->ChargeAnswer("sound", kMiB));
  CHECK(mAccount->ChargeBody(8 * kMiB));
  endless = {};
  CHECK(mAccount->Use().mAnswers == 0);
}

TEST_CASE_FIXTURE(small_account,
                  "memory_account/no_room/bodies_get_it_in_their_order")
{
  auto first = mAccount->ChargeBody(14 * kMiB);
  REQUIRE(first);
  std::vector<int> order;
  std::vector<memory_charge> held;
  const auto wait = [&](int aNumber, std::uint64_t aBytes) {
    return mAccount->WaitForRoom(aBytes, [&, aNumber](memory_charge aCharge) {
      order.push_back(aNumber);
      held.push_back(std::move(aCharge));
    });
  };
  CHECK_FALSE(mAccount->ChargeBody(8 * kMiB));
  wait(1, 8 * kMiB);
  const auto second = wait(2, 4 * kMiB);
  wait(3, 4 * kMiB);
  // Later ones don't pass by, but small ones do.
  CHECK_FALSE(mAccount->ChargeBody(kMiB));
  CHECK(mAccount->ChargeBody(memory_account::kSmallBodyBytes));
  mAccount->StopWaiting(second);
  first.reset();
  CHECK(order == std::vector<int>{ 1, 3 });
  held.clear();
  CHECK(mAccount->Use().mBodies == 0);
  CHECK(mAccount->Use().mWaiting == 0);
}

// Guards against sizes near the largest number that wrap round.
TEST_CASE_FIXTURE(small_account, "memory_account/huge_sizes/find_no_room")
{
  const std::uint64_t huge = ~std::uint64_t{ 0 };
  const auto some = mAccount->ChargeBody(kMiB);
  const auto answer = mAccount->ChargeAnswer("e", kMiB);
  CHECK_FALSE(mAccount->ChargeBody(huge));
  CHECK_FALSE(mAccount->EverFits(huge));
  CHECK_FALSE(mAccount->ChargeAnswer("e", huge));
  CHECK_FALSE(mAccount->ChargeAnswer("e", huge / 2));
  CHECK(mAccount->Use().mBodies == kMiB);
}

TEST_CASE_FIXTURE(small_account, "memory_account/growth/is_charged_once")
{
  memory_charge charge;
  CHECK(mAccount->GrowBody(charge, kMiB));
  CHECK(mAccount->GrowBody(charge, kMiB));
  CHECK(mAccount->GrowBody(charge, 3 * kMiB));
  CHECK(mAccount->Use().mBodies == 3 * kMiB);
  CHECK_FALSE(mAccount->GrowBody(charge, 17 * kMiB));
  charge = {};
  CHECK(mAccount->Use().mBodies == 0);
}

} // namespace
} // namespace thornhollow
