#include <algorithm>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/discovery/source_follower.h"

namespace thornhollow {
namespace {

struct follower_after_listing
{
  source_follower mFollower{ source_follower_settings{}, 1 };
  item_mirror mMirror;
  std::vector<item_change> mChanges;
  time_point mNow = time_point() + Seconds(10);
  source_call mNext;

  follower_after_listing()
  {
    mNext = mFollower.OnListed(
      source_listing{ { { "a", "1", 5 } }, 10 }, mMirror, mChanges, mNow);
    mChanges.clear();
  }
};

TEST_CASE_FIXTURE(follower_after_listing,
                  "source_follower/listed/watches_from_there")
{
  CHECK_FALSE(mNext.mList);
  CHECK(mNext.mAfter == 10);
  CHECK(mNext.mSendDelay == duration::zero());
  mNext = mFollower.OnWatched(
    source_changes{ { { "a", "2", 12 } }, 12 }, mMirror, mChanges, mNow);
  CHECK(mNext.mAfter == 12);
  CHECK(mChanges.size() == 1);
}

// Guards against one call per change: when ninety engines started one after the
// other, each of ninety instances made a call for each of these engines.
TEST_CASE_FIXTURE(follower_after_listing,
                  "source_follower/news/what_follows_is_gathered")
{
  mNext = mFollower.OnWatched(
    source_changes{ { { "a", "2", 12 } }, 12 }, mMirror, mChanges, mNow);
  CHECK(mNext.mSendDelay == Milliseconds(250));
  // A watch that elapsed without changes is repeated at once.
  mNext =
    mFollower.OnWatched(source_changes{ {}, 15 }, mMirror, mChanges, mNow);
  CHECK(mNext.mSendDelay == duration::zero());
  // A listing after lost history is not delayed.
  mNext = mFollower.OnWatched(history_gone{}, mMirror, mChanges, mNow);
  CHECK(mNext.mList);
  CHECK(mNext.mAfter == 15);
  CHECK(mNext.mSendDelay == duration::zero());
}

TEST_CASE_FIXTURE(follower_after_listing,
                  "source_follower/history_gone/lists_anew_until_it_succeeds")
{
  // Guards against requests to an endpoint that was removed while the source
  // dropped its history: a watch that continues after the gap never reports the
  // removal.
  mNext = mFollower.OnWatched(history_gone{}, mMirror, mChanges, mNow);
  CHECK(mNext.mList);
  mNext = mFollower.OnListed(source_failure{ "503" }, mMirror, mChanges, mNow);
  CHECK(mNext.mList);
  mNext = mFollower.OnListed(source_listing{ {}, 20 }, mMirror, mChanges, mNow);
  CHECK_FALSE(mNext.mList);
  REQUIRE(mChanges.size() == 1);
  CHECK_FALSE(mChanges[0].mValue.has_value());
}

TEST_CASE_FIXTURE(follower_after_listing,
                  "source_follower/failures/come_further_apart_up_to_a_bound")
{
  duration totalDelay{};
  for (int call = 0; call < 10; ++call) {
    mNext = mFollower.OnWatched(source_failure{}, mMirror, mChanges, mNow);
    CHECK(mNext.mSendDelay <= Milliseconds(625));
    totalDelay += mNext.mSendDelay;
  }
  CHECK(totalDelay > Seconds(3));
  mNext =
    mFollower.OnWatched(source_changes{ {}, 10 }, mMirror, mChanges, mNow);
  CHECK(mNext.mSendDelay == duration::zero());
}

TEST_CASE_FIXTURE(follower_after_listing,
                  "source_follower/outage_over/is_seen_by_a_listing_at_once")
{
  // Guards against sending work to a removed endpoint after an outage: if the
  // recovery is only seen when the next watch returns, seconds later, the
  // removal is taken for a lease that expired during the outage.
  mFollower.OnWatched(source_failure{}, mMirror, mChanges, mNow);
  CHECK_FALSE(
    mFollower
      .OnWatched(source_failure{}, mMirror, mChanges, mNow + Milliseconds(500))
      .mList);
  mNext = mFollower.OnWatched(
    source_failure{}, mMirror, mChanges, mNow + Milliseconds(1500));
  CHECK(mNext.mList);
  mFollower.OnListed(source_listing{ { { "a", "1", 5 } }, 10 },
                     mMirror,
                     mChanges,
                     mNow + Seconds(2));
  CHECK_FALSE(mFollower.Failing());
  CHECK(mChanges.empty());
}

TEST_CASE_FIXTURE(follower_after_listing,
                  "source_follower/one_failure/is_no_outage_a_second_of_it_is")
{
  mFollower.OnWatched(source_failure{}, mMirror, mChanges, mNow);
  CHECK(mFollower.Failing());
  CHECK_FALSE(mFollower.InOutage(mNow + Milliseconds(900)));
  CHECK(mFollower.InOutage(mNow + Milliseconds(1000)));
}

// The source is unresponsive for six seconds. Guards against replacing open
// watches by new long ones during the outage, which are never answered: with
// waits of 22 s, a configuration change took effect only 12 s after the
// recovery, on all instances.
struct eight_followers_of_unresponsive_source
{
  static constexpr int kFollowerCount = 8;

  struct followed_source
  {
    source_follower mFollower;
    item_mirror mMirror;
    source_call mCall;
    time_point mEndsAt{};
    // If true, the source answers the call at `mEndsAt`; if false, the call
    // times out at that time.
    bool mWillAnswer = true;
  };

  std::vector<followed_source> mFollowers;
  time_point mStart = time_point() + Seconds(100);

  explicit eight_followers_of_unresponsive_source(std::uint64_t aSeed)
  {
    for (int each = 0; each < kFollowerCount; ++each) {
      mFollowers.push_back(
        { source_follower(source_follower_settings{}, aSeed * 100 + each),
          {},
          {},
          {} });
      followed_source& added = mFollowers.back();
      std::vector<item_change> changes;
      added.mFollower.SetStagger(
        { static_cast<std::size_t>(each), kFollowerCount, 1 });
      added.mCall = added.mFollower.OnListed(
        source_listing{ {}, 10 }, added.mMirror, changes, mStart);
    }
  }

  // When the first follower receives a change written at `aWrittenAt`, if the
  // source is unresponsive from `aOutageStart` until `aOutageEnd`.
  time_point FirstObserved(time_point aOutageStart,
                           time_point aOutageEnd,
                           time_point aWrittenAt)
  {
    for (followed_source& each : mFollowers) {
      Begin(each, mStart, aOutageStart, aOutageEnd);
    }
    for (time_point now = mStart; now < mStart + Seconds(60);
         now += Milliseconds(10)) {
      bool anyFails = false;
      for (followed_source& each : mFollowers) {
        anyFails = anyFails || each.mFollower.Failing();
        const bool isOpen =
          each.mWillAnswer && now >= each.mEndsAt - WaitTime(each);
        if (now >= aWrittenAt && isOpen) {
          return now;
        }
        if (now >= each.mEndsAt) {
          End(each, now, aOutageStart, aOutageEnd);
        }
      }
      for (followed_source& each : mFollowers) {
        const auto probe =
          anyFails ? each.mFollower.OnSuspected(
                       suspicion_reason::kPeerFails, each.mMirror, now)
                   : std::nullopt;
        if (probe) {
          each.mCall = *probe;
          Begin(each, now, aOutageStart, aOutageEnd);
        }
      }
    }
    return mStart + Seconds(60);
  }

private:
  static duration WaitTime(const followed_source& aFollower)
  {
    return aFollower.mCall.mList ? duration::zero() : aFollower.mCall.mWait;
  }

  static void Begin(followed_source& aFollower,
                    time_point aNow,
                    time_point aOutageStart,
                    time_point aOutageEnd)
  {
    const time_point sentAt = aNow + aFollower.mCall.mSendDelay;
    const time_point dueAt = sentAt + WaitTime(aFollower);
    aFollower.mWillAnswer = (sentAt < aOutageStart || sentAt >= aOutageEnd) &&
                            !(sentAt < aOutageStart && dueAt >= aOutageStart);
    aFollower.mEndsAt =
      aFollower.mWillAnswer ? dueAt : dueAt + aFollower.mCall.mResponseTimeout;
  }

  static void End(followed_source& aFollower,
                  time_point aNow,
                  time_point aOutageStart,
                  time_point aOutageEnd)
  {
    std::vector<item_change> changes;
    if (!aFollower.mWillAnswer) {
      aFollower.mCall = aFollower.mFollower.OnOverdue(aFollower.mMirror, aNow);
    } else if (aFollower.mCall.mList) {
      aFollower.mCall = aFollower.mFollower.OnListed(
        source_listing{ {}, 10 }, aFollower.mMirror, changes, aNow);
    } else {
      aFollower.mCall = aFollower.mFollower.OnWatched(
        source_changes{ {}, 10 }, aFollower.mMirror, changes, aNow);
    }
    Begin(aFollower, aNow, aOutageStart, aOutageEnd);
  }
};

TEST_CASE(
  "source_follower/silent_source/its_return_is_heard_of_within_a_second")
{
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    eight_followers_of_unresponsive_source subject(seed);
    const time_point recovered = subject.mStart + Seconds(13);
    const time_point written = recovered + Milliseconds(890);
    const time_point result =
      subject.FirstObserved(subject.mStart + Seconds(7), recovered, written);
    CHECK(result - written < Seconds(1));
  }
}

TEST_CASE_FIXTURE(follower_after_listing,
                  "source_follower/peer_fails/is_asked_anew_once_in_a_while")
{
  mNow += Seconds(2);
  const auto suspect = [this](duration aDelay) {
    return mFollower.OnSuspected(
      suspicion_reason::kPeerFails, mMirror, mNow + aDelay);
  };
  const auto result = suspect(duration::zero());
  REQUIRE(result.has_value());
  CHECK(result->mWait <= Milliseconds(500));
  CHECK(result->mResponseTimeout <= Milliseconds(500));
  CHECK_FALSE(suspect(Seconds(1)));
  // A response doesn't reset the minimum interval between probes.
  mFollower.OnWatched(source_changes{ {}, 10 }, mMirror, mChanges, mNow);
  CHECK_FALSE(suspect(Milliseconds(2'900)));
  CHECK(suspect(Seconds(3)));
  // The source answered this instance recently, so a peer's failure causes no
  // probe.
  mFollower.OnWatched(
    source_changes{ {}, 10 }, mMirror, mChanges, mNow + Seconds(7));
  CHECK_FALSE(suspect(Seconds(7) + Milliseconds(500)));
}

TEST_CASE_FIXTURE(follower_after_listing,
                  "source_follower/other_call_fails/asks_within_a_second")
{
  const auto suspect = [this](duration aDelay) {
    return mFollower.OnSuspected(
      suspicion_reason::kOtherCallFails, mMirror, mNow + aDelay);
  };
  // A recent response makes a probe unnecessary.
  CHECK_FALSE(suspect(Milliseconds(900)));
  CHECK(suspect(Seconds(1)));
}

// Guards against ignoring that a peer had a change first: if a peer has a
// change that this instance's watch did not return, the watch was dead, and the
// next change took effect two seconds late.
TEST_CASE_FIXTURE(follower_after_listing,
                  "source_follower/peer_knew_first/asks_beside_its_watch")
{
  const auto result =
    mFollower.OnSuspected(suspicion_reason::kPeerKnewFirst, mMirror, mNow);
  REQUIRE(result.has_value());
  CHECK(result->mSendDelay == duration::zero());
  CHECK(result->mWait <= Milliseconds(1));
}

TEST_CASE_FIXTURE(follower_after_listing,
                  "source_follower/overdue_once/asks_beside_and_is_no_failure")
{
  mNext = mFollower.OnOverdue(mMirror, mNow);
  CHECK(mNext.mSendDelay == duration::zero());
  CHECK(mNext.mWait <= Milliseconds(1));
  CHECK_FALSE(mFollower.Failing());
  mNext =
    mFollower.OnWatched(source_changes{ {}, 10 }, mMirror, mChanges, mNow);
  CHECK(mNext.mWait >= Seconds(1));
  // Two overdue responses in a row are a failure.
  mFollower.OnOverdue(mMirror, mNow);
  mNext = mFollower.OnOverdue(mMirror, mNow);
  CHECK(mFollower.Failing());
  CHECK(mNext.mSendDelay == duration::zero());
  CHECK(mNext.mResponseTimeout <= Milliseconds(500));
}

// Guards against calling a slow source repeatedly as if it were unresponsive.
TEST_CASE_FIXTURE(follower_after_listing,
                  "source_follower/slow_answers/are_waited_for")
{
  mFollower.RecordDelay(Milliseconds(300));
  CHECK(mFollower.Start(mMirror).mResponseTimeout == Milliseconds(400));
  mFollower.RecordDelay(Seconds(5));
  CHECK(mFollower.Start(mMirror).mResponseTimeout == Milliseconds(600));
  for (int answer = 0; answer < 4; ++answer) {
    mFollower.RecordDelay(Milliseconds(4));
  }
  CHECK(mFollower.Start(mMirror).mResponseTimeout == Milliseconds(150));
}

// Guards against watches that end at the same time because a change started
// them together: the first of them ended three seconds after the change, and an
// outage within these seconds went unnoticed.
TEST_CASE("source_follower/news_for_all/watches_end_a_second_apart")
{
  constexpr std::size_t kInstances = 3;
  for (std::size_t index = 0; index < kInstances; ++index) {
    source_follower subject(source_follower_settings{}, index);
    subject.SetStagger({ index, kInstances, 0.5 });
    item_mirror mirror;
    std::vector<item_change> changes;
    subject.OnListed(source_listing{ {}, 10 }, mirror, changes, time_point());
    source_call result =
      subject.OnWatched(source_changes{ { { "a", "2", 12 } }, 12 },
                        mirror,
                        changes,
                        time_point());
    CHECK(ToSeconds(result.mWait) == static_cast<double>(index) + 0.5);
    // After its first watch, each instance waits a full round: one second for
    // each reader.
    result = subject.OnWatched(
      source_changes{ {}, 12 }, mirror, changes, time_point());
    CHECK(result.mWait == Seconds(3));
    // A new number of readers changes the positions, so the next watch again
    // ends at the instance's own position.
    subject.SetStagger({ index, kInstances + 1, 0.5 });
    CHECK(ToSeconds(subject.Start(mirror).mWait) ==
          static_cast<double>(index) + 0.5);
  }
}

TEST_CASE_FIXTURE(follower_after_listing,
                  "source_follower/failures/limits_leave_a_slow_source_time")
{
  duration maxIdleTimeout{};
  for (int call = 0; call < 6; ++call) {
    mNext = mFollower.OnWatched(source_failure{}, mMirror, mChanges, mNow);
    maxIdleTimeout = std::max(maxIdleTimeout, mNext.mIdleTimeout);
  }
  CHECK(maxIdleTimeout == Seconds(2));
}

} // namespace
} // namespace thornhollow
