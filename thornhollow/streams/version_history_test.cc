#include <doctest/doctest.h>

#include "thornhollow/streams/version_history.h"

namespace thornhollow {
namespace {

constexpr duration kWindow = Seconds(25);
constexpr endpoint_version_hash kOld = 1;
constexpr endpoint_version_hash kNew = 2;
const pool_name kPool("engines");

struct pool_of_one_version
{
  version_history mHistory;
  time_point mNow{ Seconds(100) };

  pool_of_one_version()
  {
    mHistory.SetWindow(kWindow);
    mHistory.Put(endpoint_name("i-1"), kPool, kOld, mNow);
    mHistory.Put(endpoint_name("i-2"), kPool, kOld, mNow);
  }

  listed_versions Listed() const { return mHistory.Of(kPool, mNow); }
};

TEST_CASE_FIXTURE(pool_of_one_version,
                  "version_history/one_version/sole_after_the_window")
{
  CHECK(Listed() == listed_versions{ version_count::kSoleSoFar, kOld });
  mNow += kWindow;
  CHECK(Listed() == listed_versions{ version_count::kSole, kOld });
  CHECK(mHistory.Of(pool_name("other"), mNow) == listed_versions{});
}

// A stream of the version that is gone may still be continued.
TEST_CASE_FIXTURE(pool_of_one_version,
                  "version_history/old_version_went/counts_for_the_window")
{
  mNow += kWindow;
  mHistory.Put(endpoint_name("i-3"), kPool, kNew, mNow);
  CHECK(Listed().mCount == version_count::kSeveral);
  mHistory.Remove(endpoint_name("i-1"), mNow);
  mHistory.Remove(endpoint_name("i-2"), mNow);
  mNow += kWindow - Milliseconds(1);
  CHECK(Listed().mCount == version_count::kSeveral);
  mNow += Milliseconds(1);
  CHECK(Listed() == listed_versions{ version_count::kSole, kNew });
}

TEST_CASE_FIXTURE(pool_of_one_version,
                  "version_history/endpoint_changes_version/both_count")
{
  mNow += kWindow;
  mHistory.Put(endpoint_name("i-1"), kPool, kNew, mNow);
  mHistory.Put(endpoint_name("i-2"), kPool, kNew, mNow);
  CHECK(Listed().mCount == version_count::kSeveral);
}

// A process that was paused missed versions that came and went.
TEST_CASE_FIXTURE(pool_of_one_version,
                  "version_history/restarted/sole_after_another_window")
{
  mNow += kWindow;
  mHistory.Restart(mNow);
  CHECK(Listed().mCount == version_count::kSoleSoFar);
  mNow += kWindow;
  CHECK(Listed().mCount == version_count::kSole);
}

} // namespace
} // namespace thornhollow
