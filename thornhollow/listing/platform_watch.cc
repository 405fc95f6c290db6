#include "thornhollow/listing/platform_watch.h"

#include <random>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

#include "thornhollow/net/clock.h"
#include "thornhollow/net/http_fetch.h"

namespace thornhollow {
namespace {

// How long the platform may hold a long poll. A long poll counts as one call,
// so a longer wait reduces the call rate. But a poll on a dead connection hides
// a change for the wait plus `kResponseGrace`, and an endpoint that leaves must
// receive no new work after a few seconds. The values here hide a change for at
// most 3 s, and 420 instances make 210 calls/s of the 2,000 calls/s that all
// callers together may make.
constexpr duration kLongPollWait = Seconds(2);
// A response of the platform is due within this time beyond the long poll's
// wait; if it is later, the poll is abandoned and repeated on a new connection.
constexpr duration kResponseGrace = Seconds(1);
// Mean delay in seconds after a failed poll, so that readers don't poll an
// unavailable service in a tight loop; randomized so that they don't retry at
// the same moment.
constexpr double kMeanRetrySeconds = 0.5;

} // namespace

class platform_watch::loop : public std::enable_shared_from_this<loop>
{
public:
  loop(boost::asio::io_context& aIo,
       std::string aAddress,
       std::string aPath,
       watch_listener aListener)
    : mIo(aIo)
    , mAddress(std::move(aAddress))
    , mPath(std::move(aPath))
    , mListener(std::move(aListener))
    , mTimer(aIo)
    , mRandom(std::random_device()())
  {
  }

  void Poll()
  {
    fetch_call call;
    call.mAddress = mAddress;
    call.mTarget = fmt::format(
      "{}?after={}&wait_ms={}", mPath, mVersion, ToMilliseconds(kLongPollWait));
    call.mTimeout = kLongPollWait + kResponseGrace;
    mPolledAt = Now();
    Fetch(mIo, call, [self = shared_from_this()](fetch_outcome aOutcome) {
      self->OnOutcome(std::move(aOutcome));
    });
  }

  void Stop()
  {
    mStopped = true;
    mTimer.cancel();
  }

private:
  static constexpr unsigned kOk = 200;
  static constexpr unsigned kNotModified = 304;

  void OnOutcome(fetch_outcome aOutcome)
  {
    if (mStopped) {
      return;
    }
    // A response that waited in the socket while this process was paused is as
    // old as the pause, but idempotency keys rely on a fresh list.
    if (Now() - mPolledAt > kLongPollWait + kResponseGrace) {
      aOutcome.reset();
    }
    if (aOutcome) {
      mListener.mOnBytes(aOutcome->mExchangedBytes);
    }
    if (aOutcome && aOutcome->mHttpStatus == kNotModified) {
      mListener.mOnUnchanged();
      Poll();
      return;
    }
    // A part of a list may be a list as well.
    const bool isNewer = aOutcome && aOutcome->mHttpStatus == kOk &&
                         !aOutcome->mIsOpenEnded && aOutcome->mVersion &&
                         *aOutcome->mVersion > mVersion;
    if (isNewer) {
      mVersion = *aOutcome->mVersion;
      mListener.mOnValue(
        platform_value{ mVersion, std::move(aOutcome->mBody) });
      Poll();
      return;
    }
    mListener.mOnFailure();
    ScheduleRetry();
  }

  void ScheduleRetry()
  {
    std::uniform_real_distribution<double> factor(0.5, 1.5);
    mTimer.expires_after(FromSeconds(kMeanRetrySeconds * factor(mRandom)));
    mTimer.async_wait(
      [self = shared_from_this()](const boost::system::error_code& aError) {
        if (!aError && !self->mStopped) {
          self->Poll();
        }
      });
  }

  boost::asio::io_context& mIo;
  std::string mAddress;
  std::string mPath;
  watch_listener mListener;
  boost::asio::steady_timer mTimer;
  std::mt19937 mRandom;
  std::uint64_t mVersion = 0;
  time_point mPolledAt{};
  bool mStopped = false;
};

platform_watch::platform_watch(boost::asio::io_context& aIo,
                               std::string aAddress,
                               std::string aPath,
                               watch_listener aListener)
  : mLoop(std::make_shared<loop>(aIo,
                                 std::move(aAddress),
                                 std::move(aPath),
                                 std::move(aListener)))
{
}

platform_watch::~platform_watch()
{
  mLoop->Stop();
}

void
platform_watch::Start()
{
  mLoop->Poll();
}

} // namespace thornhollow
