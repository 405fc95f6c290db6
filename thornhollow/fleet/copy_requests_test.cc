#include <doctest/doctest.h>

#include "thornhollow/fleet/copy_requests.h"

namespace thornhollow {
namespace {

const domain_name kHall("hall");
const newer_copy kConfiguration{ "peer", { 34, 34 }, true, false };

// One peer that holds revision 34 of both copies.
struct one_peer_with_newer_copies
{
  relay_peers mPeers{ relay_peer_settings{}, "self", kHall, {}, 1 };
  copy_requests mRequests{ copy_request_settings{} };
  time_point mNow = time_point() + Seconds(100);

  one_peer_with_newer_copies() { ReceiveHello(); }

  void ReceiveHello()
  {
    relay_hello hello;
    hello.mAddress = "peer";
    hello.mDomain = kHall;
    hello.mRevisions = { 34, 34 };
    mPeers.OnHello(hello, mNow);
  }

  std::optional<newer_copy> TickAfter(duration aDelay,
                                      const known_revisions& aOwn,
                                      bool aReads)
  {
    return mRequests.Tick(mPeers, aOwn, aReads, mNow + aDelay);
  }
};

TEST_CASE_FIXTURE(one_peer_with_newer_copies,
                  "copy_requests/reader_behind/asks_when_the_source_had_time")
{
  const known_revisions own{ 29, 34 };
  CHECK_FALSE(TickAfter(duration::zero(), own, true));
  CHECK_FALSE(TickAfter(Milliseconds(200), own, true));
  CHECK(TickAfter(Milliseconds(300), own, true) == kConfiguration);
  CHECK_FALSE(TickAfter(Milliseconds(400), own, true));
  CHECK(TickAfter(Milliseconds(600), own, true) == kConfiguration);
}

TEST_CASE_FIXTURE(one_peer_with_newer_copies,
                  "copy_requests/caught_up/waits_again_the_next_time")
{
  TickAfter(duration::zero(), { 29, 34 }, true);
  CHECK_FALSE(TickAfter(Milliseconds(200), { 34, 34 }, true));
  CHECK_FALSE(TickAfter(Milliseconds(300), { 34, 33 }, true));
}

TEST_CASE_FIXTURE(one_peer_with_newer_copies,
                  "copy_requests/no_reader_behind/asks_at_once")
{
  CHECK(TickAfter(duration::zero(), { 29, 34 }, false) == kConfiguration);
}

// Guards against a configuration that comes into force seconds late because the
// peers that hold it cannot serve everyone who requests it.
TEST_CASE_FIXTURE(one_peer_with_newer_copies,
                  "copy_requests/asked_in_vain/the_source_is_asked")
{
  const known_revisions own{ 29, 34 };
  TickAfter(duration::zero(), own, false);
  TickAfter(Milliseconds(600), own, false);
  CHECK_FALSE(mRequests.NeedsSource(mNow + Milliseconds(600)));
  CHECK(mRequests.NeedsSource(mNow + Milliseconds(700)));
  TickAfter(Milliseconds(700), { 34, 34 }, false);
  CHECK_FALSE(mRequests.NeedsSource(mNow + Milliseconds(700)));
}

// Guards against requesting a large copy again, from a peer or from the source,
// while it is being transferred over a narrow link.
TEST_CASE_FIXTURE(one_peer_with_newer_copies,
                  "copy_requests/copy_comes_slowly/it_is_waited_for")
{
  const known_revisions own{ 29, 34 };
  CHECK(TickAfter(duration::zero(), own, false) == kConfiguration);
  for (int each = 1; each <= 10; ++each) {
    const duration delay = each * Milliseconds(100);
    mRequests.OnBytes(copied_items::kConfiguration, mNow + delay);
    CHECK_FALSE(TickAfter(delay, own, false));
    CHECK_FALSE(mRequests.NeedsSource(mNow + delay));
  }
  mNow += Milliseconds(1'600);
  ReceiveHello();
  CHECK(TickAfter(duration::zero(), own, false) == kConfiguration);
}

// Guards against endpoint changes that are delayed by the transfer of a large
// configuration.
TEST_CASE_FIXTURE(one_peer_with_newer_copies,
                  "copy_requests/configuration_comes/endpoints_are_asked_for")
{
  mRequests.OnBytes(copied_items::kConfiguration, mNow);
  const auto result = TickAfter(duration::zero(), { 29, 33 }, false);
  REQUIRE(result.has_value());
  CHECK(result->mEndpoints);
  CHECK_FALSE(result->mConfiguration);
}

TEST_CASE_FIXTURE(one_peer_with_newer_copies,
                  "copy_requests/put_off/another_is_asked_at_the_next_look")
{
  CHECK(TickAfter(duration::zero(), { 29, 34 }, false) == kConfiguration);
  mRequests.OnDeclined();
  CHECK(TickAfter(Milliseconds(100), { 29, 34 }, false) == kConfiguration);
}

// Guards against a reader that waits for `mSourceGracePeriod` anew after each
// change of a series. A reader whose copy has been behind a peer's throughout
// the series need not wait again, because the source evidently does not answer
// it in time.
TEST_CASE_FIXTURE(one_peer_with_newer_copies,
                  "copy_requests/reader_behind_in_a_series/asks_on")
{
  TickAfter(duration::zero(), { 29, 34 }, true);
  CHECK(TickAfter(Milliseconds(300), { 29, 34 }, true) == kConfiguration);
  relay_hello hello;
  hello.mAddress = "peer";
  hello.mDomain = kHall;
  hello.mRevisions = { 36, 34 };
  mPeers.OnHello(hello, mNow + Milliseconds(500));
  const auto result = TickAfter(Milliseconds(600), { 34, 34 }, true);
  REQUIRE(result.has_value());
  CHECK(result->mRevisions.mConfiguration == 36);
}

// Guards against all instances asking the source during a series of changes:
// their copies are behind at every moment, although each change reaches them
// through a peer in time.
TEST_CASE_FIXTURE(one_peer_with_newer_copies,
                  "copy_requests/behind_another_revision/the_time_begins_anew")
{
  TickAfter(duration::zero(), { 29, 34 }, false);
  relay_hello hello;
  hello.mAddress = "peer";
  hello.mDomain = kHall;
  hello.mRevisions = { 36, 34 };
  mPeers.OnHello(hello, mNow + Milliseconds(600));
  TickAfter(Milliseconds(600), { 34, 34 }, false);
  CHECK_FALSE(mRequests.NeedsSource(mNow + Milliseconds(800)));
  TickAfter(Milliseconds(1'300), { 34, 34 }, false);
  CHECK(mRequests.NeedsSource(mNow + Milliseconds(1'300)));
}

} // namespace
} // namespace thornhollow
