#include <doctest/doctest.h>

#include "thornhollow/policy/endpoints/out_of_service.h"

namespace thornhollow {
namespace {

struct one_domain
{
  time_point mNow = time_point() + Seconds(100);
  domain_name mHall{ "hall" };
  out_of_service_domains mDomains;
};

TEST_CASE_FIXTURE(one_domain, "out_of_service/in_service/nothing_is_expected")
{
  CHECK_FALSE(mDomains.Contains(mHall));
  CHECK_FALSE(mDomains.ExpectedLeft(mHall, mNow).has_value());
}

// Guards against callers that come back to the same refusal every moment.
TEST_CASE_FIXTURE(one_domain, "out_of_service/out_for_long/as_long_again")
{
  mDomains.Take(mHall, mNow);
  CHECK(mDomains.ExpectedLeft(mHall, mNow) == Seconds(2));
  CHECK(mDomains.ExpectedLeft(mHall, mNow + Seconds(10)) == Seconds(10));
  CHECK(mDomains.ExpectedLeft(mHall, mNow + Seconds(900)) == Seconds(30));
}

TEST_CASE_FIXTURE(one_domain, "out_of_service/taken_out_twice/first_counts")
{
  mDomains.Take(mHall, mNow);
  mDomains.Take(mHall, mNow + Seconds(5));
  CHECK(mDomains.ExpectedLeft(mHall, mNow + Seconds(8)) == Seconds(8));
}

TEST_CASE_FIXTURE(one_domain, "out_of_service/taken_back/is_in_service")
{
  mDomains.Take(mHall, mNow);
  mDomains.Return(mHall, mNow);
  CHECK_FALSE(mDomains.Contains(mHall));
  CHECK(mDomains.size() == 0);
}

TEST_CASE_FIXTURE(one_domain,
                  "out_of_service/all_domains_of_a_pool/first_back_counts")
{
  const std::set<domain_name> none;
  const std::set<domain_name> both{ mHall, domain_name("yard") };
  CHECK_FALSE(mDomains.ExpectedLeftOfAll(none, mNow).has_value());
  mDomains.Take(mHall, mNow);
  CHECK_FALSE(mDomains.ExpectedLeftOfAll(both, mNow).has_value());
  mDomains.Take(domain_name("yard"), mNow + Seconds(4));
  CHECK(mDomains.ExpectedLeftOfAll(both, mNow + Seconds(10)) == Seconds(6));
}

TEST_CASE_FIXTURE(one_domain, "out_of_service/taken_back/told_for_a_while")
{
  mDomains.Take(mHall, mNow);
  mDomains.Return(mHall, mNow + Seconds(1));
  CHECK(mDomains.LatelyReturned(mNow + Seconds(3)) ==
        std::vector<returned_domain>{ { mHall, Seconds(2) } });
  CHECK(mDomains.LatelyReturned(mNow + Seconds(11)).empty());
}

// Guards against a burst at cold endpoints by an instance that has just started
// and never saw that their domain was out.
TEST_CASE_FIXTURE(one_domain, "out_of_service/return_reported/news_once")
{
  CHECK(mDomains.OnReturnReported({ mHall, Seconds(1) }, mNow));
  CHECK_FALSE(mDomains.OnReturnReported({ mHall, Seconds(1) }, mNow));
  CHECK_FALSE(
    mDomains.OnReturnReported({ domain_name("old"), Seconds(60) }, mNow));
  mDomains.Take(mHall, mNow);
  CHECK_FALSE(mDomains.OnReturnReported({ mHall, Seconds(1) }, mNow));
}

} // namespace
} // namespace thornhollow
