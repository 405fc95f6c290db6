#include <string>

#include <doctest/doctest.h>

#include "thornhollow/policy/domain_reach.h"

namespace thornhollow {
namespace {

const domain_name kOwn("own");
const domain_name kYard("yard");
const domain_name kDock("dock");
const domain_name kHall("hall");

struct four_domains_heard
{
  domain_reach mReach{ domain_reach_settings{}, kOwn };
  time_point mNow = time_point() + Seconds(100);

  four_domains_heard()
  {
    for (const domain_name& each : { kOwn, kYard, kDock, kHall }) {
      mReach.OnPeerHeard(each, mNow);
    }
    mNow += Milliseconds(100);
  }

  bool Doubted(const domain_name& aDomain) const
  {
    return mReach.Doubted(aDomain, mNow);
  }

  void After(duration aTime) { mNow += aTime; }
};

TEST_CASE("domain_reach/nothing_known/not_doubted")
{
  const domain_reach reach(domain_reach_settings{}, kOwn);
  CHECK_FALSE(reach.Doubted(kYard, time_point() + Seconds(1)));
}

TEST_CASE_FIXTURE(four_domains_heard,
                  "domain_reach/endpoint_unreached/doubted_until_a_word")
{
  CHECK(mReach.OnUnreached(kYard, mNow));
  CHECK(Doubted(kYard));
  CHECK_FALSE(Doubted(kDock));
  CHECK_FALSE(Doubted(kOwn));
  After(Milliseconds(150));
  mReach.OnPeerHeard(kYard, mNow);
  CHECK_FALSE(Doubted(kYard));
}

TEST_CASE_FIXTURE(four_domains_heard,
                  "domain_reach/attempts_on_their_way/one_doubt")
{
  CHECK(mReach.OnUnreached(kYard, mNow));
  for (int each = 0; each < 10; ++each) {
    After(Milliseconds(20));
    CHECK_FALSE(mReach.OnUnreached(kYard, mNow));
  }
  mReach.OnPeerHeard(kYard, mNow);
  CHECK_FALSE(Doubted(kYard));
}

TEST_CASE_FIXTURE(four_domains_heard,
                  "domain_reach/two_others_unreached/own_domain_is_cut_off")
{
  mReach.OnUnreached(kYard, mNow);
  After(Milliseconds(300));
  mReach.OnUnreached(kDock, mNow);
  CHECK(Doubted(kHall));
  CHECK(Doubted(domain_name("never heard of")));
  CHECK_FALSE(Doubted(kOwn));
}

TEST_CASE_FIXTURE(four_domains_heard,
                  "domain_reach/two_others_unreached/heard_since_not_doubted")
{
  mReach.OnUnreached(kYard, mNow);
  mReach.OnUnreached(kDock, mNow);
  After(Milliseconds(100));
  mReach.OnPeerHeard(kHall, mNow);
  CHECK_FALSE(Doubted(kHall));
  CHECK(Doubted(kYard));
}

TEST_CASE_FIXTURE(four_domains_heard,
                  "domain_reach/only_words_come_through/not_each_ends_a_doubt")
{
  int doubts = 0;
  for (int each = 0; each < 40; ++each) {
    if (!Doubted(kYard)) {
      mReach.OnUnreached(kYard, mNow);
      ++doubts;
    }
    After(Milliseconds(100));
    mReach.OnPeerHeard(kYard, mNow);
  }
  CHECK(doubts <= 5);
  mReach.OnAnswered(kYard, mNow);
  CHECK_FALSE(Doubted(kYard));
}

TEST_CASE_FIXTURE(four_domains_heard, "domain_reach/silence/tried_again")
{
  mReach.OnUnreached(kYard, mNow);
  After(Seconds(4));
  CHECK(Doubted(kYard));
  After(Seconds(1));
  CHECK_FALSE(Doubted(kYard));
}

TEST_CASE("domain_reach/no_instance_heard_there/tried_again_sooner")
{
  domain_reach reach(domain_reach_settings{}, kOwn);
  const time_point now = time_point() + Seconds(100);
  reach.OnUnreached(kYard, now);
  CHECK(reach.Doubted(kYard, now + Milliseconds(900)));
  CHECK_FALSE(reach.Doubted(kYard, now + Seconds(1)));
}

// Guards against forged messages, each with a name of its own, that fill the
// memory: known domains are judged on, others aren't noted.
TEST_CASE_FIXTURE(four_domains_heard, "domain_reach/many_names/few_are_noted")
{
  for (int each = 0; each < 10'000; ++each) {
    mReach.OnPeerHeard(domain_name("d" + std::to_string(each)), mNow);
  }
  CHECK_FALSE(mReach.OnUnreached(domain_name("d9999"), mNow));
  CHECK(mReach.OnUnreached(kYard, mNow));
  CHECK(Doubted(kYard));
}

TEST_CASE_FIXTURE(four_domains_heard, "domain_reach/stood_still/forgotten")
{
  mReach.OnUnreached(kYard, mNow);
  mReach.Forget();
  CHECK_FALSE(Doubted(kYard));
}

} // namespace
} // namespace thornhollow
