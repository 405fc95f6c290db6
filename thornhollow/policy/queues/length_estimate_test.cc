#include <string>

#include <doctest/doctest.h>

#include "thornhollow/policy/queues/length_estimate.h"

namespace thornhollow {
namespace {

struct notes_and_plans
{
  notes_and_plans()
  {
    for (std::uint32_t i = 0; i < 100; ++i) {
      mLengths.Learn(mNotes, mPool, 30 + i % 20);
      if (i % 4 == 0) {
        mLengths.Learn(mPlans, mPool, 1000 + 40 * i);
      }
    }
  }

  work_item Item(const class_name& aClass, std::uint32_t aMost = 0) const
  {
    work_item item;
    item.mClass = aClass;
    item.mPool = mPool;
    item.mMaxOutputTokens = aMost;
    return item;
  }

  pool_name mPool{ "m" };
  class_name mNotes{ "notes" };
  class_name mPlans{ "plans" };
  length_estimate mLengths{ length_estimate_settings{} };
};

TEST_CASE_FIXTURE(notes_and_plans,
                  "length_estimate/two_classes/each_within_a_bucket")
{
  CHECK(mLengths.Quantile(Item(mNotes), 0.5) ==
        doctest::Approx(40).epsilon(0.2));
  CHECK(mLengths.Expected(Item(mPlans)) == doctest::Approx(2920).epsilon(0.2));
  CHECK(mLengths.IsLong(Item(mPlans)));
  CHECK_FALSE(mLengths.IsLong(Item(mNotes)));
}

TEST_CASE_FIXTURE(notes_and_plans,
                  "length_estimate/caller_gave_maximum/caps_the_estimate")
{
  CHECK(mLengths.Expected(Item(mPlans, 50)) == 50);
  CHECK_FALSE(mLengths.IsLong(Item(mPlans, 50)));
}

TEST_CASE_FIXTURE(notes_and_plans,
                  "length_estimate/unknown_class/takes_the_pools_figure")
{
  CHECK(mLengths.Quantile(Item(class_name("new")), 0.5) ==
        doctest::Approx(40).epsilon(0.3));
  work_item other = Item(mNotes);
  other.mPool = pool_name("other");
  CHECK(mLengths.Expected(other) == 239);
  CHECK_FALSE(mLengths.IsLong(other));
}

TEST_CASE_FIXTURE(notes_and_plans,
                  "length_estimate/habit_changes/follows_within_a_thousand")
{
  for (int i = 0; i < 1000; ++i) {
    mLengths.Learn(mNotes, mPool, 400);
  }
  CHECK(mLengths.Quantile(Item(mNotes), 0.5) ==
        doctest::Approx(400).epsilon(0.2));
}

TEST_CASE_FIXTURE(notes_and_plans,
                  "length_estimate/more_classes_than_bound/memory_bounded")
{
  for (int i = 0; i < 3000; ++i) {
    mLengths.Learn(class_name(std::to_string(i)), mPool, 1);
  }
  CHECK(mLengths.size() == length_estimate_settings{}.mMaxPairs);
  mLengths.Configure(declarations{});
  CHECK(mLengths.size() == 0);
}

} // namespace
} // namespace thornhollow
