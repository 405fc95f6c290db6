#include <string>

#include <doctest/doctest.h>

#include "thornhollow/policy/endpoints/domain_reachability.h"

namespace thornhollow {
namespace {

const domain_name kOwn("own");
const domain_name kYard("yard");
const domain_name kDock("dock");
const domain_name kHall("hall");

struct four_reachable_domains
{
  domain_reachability mReach{ domain_reachability_settings{}, kOwn };
  time_point mNow = time_point() + Seconds(100);

  four_reachable_domains()
  {
    for (const domain_name& each : { kOwn, kYard, kDock, kHall }) {
      mReach.OnPeerMessage(each, mNow);
    }
    mNow += Milliseconds(100);
  }

  bool IsSuspected(const domain_name& aDomain) const
  {
    return mReach.IsSuspected(aDomain, mNow);
  }

  void After(duration aTime) { mNow += aTime; }
};

TEST_CASE("domain_reachability/nothing_known/not_doubted")
{
  const domain_reachability reach(domain_reachability_settings{}, kOwn);
  CHECK_FALSE(reach.IsSuspected(kYard, time_point() + Seconds(1)));
}

TEST_CASE_FIXTURE(four_reachable_domains,
                  "domain_reachability/endpoint_unreached/doubted_until_a_word")
{
  CHECK(mReach.OnUnreachable(kYard, mNow));
  CHECK(IsSuspected(kYard));
  CHECK_FALSE(IsSuspected(kDock));
  CHECK_FALSE(IsSuspected(kOwn));
  After(Milliseconds(150));
  mReach.OnPeerMessage(kYard, mNow);
  CHECK_FALSE(IsSuspected(kYard));
}

TEST_CASE_FIXTURE(four_reachable_domains,
                  "domain_reachability/attempts_on_their_way/one_doubt")
{
  CHECK(mReach.OnUnreachable(kYard, mNow));
  for (int each = 0; each < 10; ++each) {
    After(Milliseconds(20));
    CHECK_FALSE(mReach.OnUnreachable(kYard, mNow));
  }
  mReach.OnPeerMessage(kYard, mNow);
  CHECK_FALSE(IsSuspected(kYard));
}

TEST_CASE_FIXTURE(
  four_reachable_domains,
  "domain_reachability/two_others_unreached/own_domain_is_cut_off")
{
  mReach.OnUnreachable(kYard, mNow);
  After(Milliseconds(300));
  mReach.OnUnreachable(kDock, mNow);
  CHECK(IsSuspected(kHall));
  CHECK(IsSuspected(domain_name("never heard of")));
  CHECK_FALSE(IsSuspected(kOwn));
}

TEST_CASE_FIXTURE(
  four_reachable_domains,
  "domain_reachability/two_others_unreached/heard_since_not_doubted")
{
  mReach.OnUnreachable(kYard, mNow);
  mReach.OnUnreachable(kDock, mNow);
  After(Milliseconds(100));
  mReach.OnPeerMessage(kHall, mNow);
  CHECK_FALSE(IsSuspected(kHall));
  CHECK(IsSuspected(kYard));
}

TEST_CASE_FIXTURE(
  four_reachable_domains,
  "domain_reachability/only_words_come_through/not_each_ends_a_doubt")
{
  int suspicions = 0;
  for (int each = 0; each < 40; ++each) {
    if (!IsSuspected(kYard)) {
      mReach.OnUnreachable(kYard, mNow);
      ++suspicions;
    }
    After(Milliseconds(100));
    mReach.OnPeerMessage(kYard, mNow);
  }
  CHECK(suspicions <= 5);
  mReach.OnResponse(kYard, mNow);
  CHECK_FALSE(IsSuspected(kYard));
}

TEST_CASE_FIXTURE(four_reachable_domains,
                  "domain_reachability/silence/tried_again")
{
  mReach.OnUnreachable(kYard, mNow);
  After(Seconds(4));
  CHECK(IsSuspected(kYard));
  After(Seconds(1));
  CHECK_FALSE(IsSuspected(kYard));
}

TEST_CASE("domain_reachability/no_instance_heard_there/tried_again_sooner")
{
  domain_reachability reach(domain_reachability_settings{}, kOwn);
  const time_point now = time_point() + Seconds(100);
  reach.OnUnreachable(kYard, now);
  CHECK(reach.IsSuspected(kYard, now + Milliseconds(900)));
  CHECK_FALSE(reach.IsSuspected(kYard, now + Seconds(1)));
}

// Forged messages, each with a domain name of its own, must not exhaust memory:
// known domains are still judged, further ones are ignored.
TEST_CASE_FIXTURE(four_reachable_domains,
                  "domain_reachability/many_names/few_are_noted")
{
  for (int each = 0; each < 10'000; ++each) {
    mReach.OnPeerMessage(domain_name("d" + std::to_string(each)), mNow);
  }
  CHECK_FALSE(mReach.OnUnreachable(domain_name("d9999"), mNow));
  CHECK(mReach.OnUnreachable(kYard, mNow));
  CHECK(IsSuspected(kYard));
}

TEST_CASE_FIXTURE(four_reachable_domains,
                  "domain_reachability/stood_still/forgotten")
{
  mReach.OnUnreachable(kYard, mNow);
  mReach.ClearSuspicions();
  CHECK_FALSE(IsSuspected(kYard));
}

} // namespace
} // namespace thornhollow
