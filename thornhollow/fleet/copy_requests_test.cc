#include <doctest/doctest.h>

#include "thornhollow/fleet/copy_requests.h"

namespace thornhollow {
namespace {

const domain_name kHall("hall");

// One peer, which knows revision 34 of both copies.
struct one_peer_that_knows_more
{
  relay_peers mPeers{ relay_peer_settings{}, "self", kHall, {}, 1 };
  copy_requests mRequests{ copy_request_settings{} };
  time_point mNow = time_point() + Seconds(100);

  one_peer_that_knows_more()
  {
    relay_hello hello;
    hello.mAddress = "peer";
    hello.mDomain = kHall;
    hello.mKnown = { 34, 34 };
    mPeers.OnHello(hello, mNow);
  }

  std::optional<std::string> After(duration aLater,
                                   const known_revisions& aMine,
                                   bool aReads)
  {
    return mRequests.Tick(mPeers, aMine, aReads, mNow + aLater);
  }
};

TEST_CASE_FIXTURE(one_peer_that_knows_more,
                  "copy_requests/reader_behind/asks_when_the_source_had_time")
{
  const known_revisions mine{ 29, 34 };
  CHECK_FALSE(After(duration::zero(), mine, true));
  CHECK_FALSE(After(Milliseconds(200), mine, true));
  CHECK(After(Milliseconds(300), mine, true) == "peer");
  CHECK_FALSE(After(Milliseconds(400), mine, true));
  CHECK(After(Milliseconds(600), mine, true) == "peer");
}

TEST_CASE_FIXTURE(one_peer_that_knows_more,
                  "copy_requests/caught_up/waits_again_the_next_time")
{
  After(duration::zero(), { 29, 34 }, true);
  CHECK_FALSE(After(Milliseconds(200), { 34, 34 }, true));
  CHECK_FALSE(After(Milliseconds(300), { 34, 33 }, true));
}

TEST_CASE_FIXTURE(one_peer_that_knows_more,
                  "copy_requests/no_reader_behind/asks_at_once")
{
  CHECK(After(duration::zero(), { 29, 34 }, false) == "peer");
}

} // namespace
} // namespace thornhollow
