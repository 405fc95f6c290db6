#include <algorithm>
#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/fleet/forward_offers.h"

namespace thornhollow {
namespace {

const pool_name kPool("dispatch");
const forward_candidate kOther{ instance_name("entry-9"), false };
const forward_offer kOffer{ "10.0.0.9:8080", true, 3 };

struct instance_out_of_contact
{
  forward_offers_settings mSettings;
  forward_offers mOffers{ mSettings, 1 };
  time_point mNow{ Seconds(100) };

  static std::vector<forward_candidate> Others(std::size_t aOwn,
                                               std::size_t aForeign)
  {
    std::vector<forward_candidate> others;
    others.reserve(aOwn + aForeign);
    for (std::size_t each = 0; each < aOwn + aForeign; ++each) {
      others.push_back(
        { instance_name("e" + std::to_string(each)), each < aOwn });
    }
    return others;
  }
};

TEST_CASE_FIXTURE(instance_out_of_contact,
                  "forward_offers/large_fleet/few_are_asked_of_both_sides")
{
  const auto asked = mOffers.TakeQuestions(kPool, Others(38, 382), mNow);
  CHECK(asked.size() == mSettings.mAskedAtOnce);
  CHECK(std::ranges::count_if(asked, &forward_candidate::mInOwnDomain) == 2);
}

TEST_CASE_FIXTURE(instance_out_of_contact,
                  "forward_offers/one_domain/its_others_are_asked")
{
  CHECK(mOffers.TakeQuestions(kPool, Others(7, 0), mNow).size() ==
        mSettings.mAskedAtOnce);
  CHECK(mOffers.TakeQuestions(pool_name("ledger"), Others(1, 0), mNow).size() ==
        1);
}

TEST_CASE_FIXTURE(instance_out_of_contact,
                  "forward_offers/round_just_asked/none_until_the_next")
{
  CHECK_FALSE(mOffers.TakeQuestions(kPool, Others(3, 0), mNow).empty());
  mNow += mSettings.mInterval - Milliseconds(1);
  CHECK(mOffers.TakeQuestions(kPool, Others(3, 0), mNow).empty());
  mNow += Milliseconds(1);
  CHECK_FALSE(mOffers.TakeQuestions(kPool, Others(3, 0), mNow).empty());
}

TEST_CASE_FIXTURE(instance_out_of_contact,
                  "forward_offers/rounds/all_are_asked_in_time")
{
  std::set<instance_name> seen;
  for (int round = 0; round < 40; ++round) {
    for (const auto& each : mOffers.TakeQuestions(kPool, Others(6, 6), mNow)) {
      seen.insert(each.mName);
    }
    mNow += mSettings.mInterval;
  }
  CHECK(seen.size() == 12);
}

TEST_CASE_FIXTURE(instance_out_of_contact,
                  "forward_offers/offered/peer_until_it_is_old")
{
  mOffers.OnOffer(kPool, kOther, kOffer, mNow);
  CHECK(mOffers.Peers(kPool, mNow) ==
        std::vector<forward_peer>{ { "10.0.0.9:8080", false, 3, true } });
  CHECK(mOffers.Peers(pool_name("ledger"), mNow).empty());
  CHECK(mOffers.Peers(kPool, mNow + mSettings.mLifetime).empty());
}

// An instance that lost contact itself, or drains, would refuse the requests.
TEST_CASE_FIXTURE(instance_out_of_contact,
                  "forward_offers/offer_taken_back/no_peer")
{
  mOffers.OnOffer(kPool, kOther, kOffer, mNow);
  mOffers.OnOffer(kPool, kOther, forward_offer{}, mNow);
  CHECK(mOffers.Peers(kPool, mNow).empty());
}

} // namespace
} // namespace thornhollow
