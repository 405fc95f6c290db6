#include "thornhollow/daemon/source_link.h"

#include <random>
#include <utility>
#include <variant>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "thornhollow/discovery/source_follower.h"
#include "thornhollow/net/clock.h"

namespace thornhollow {

class source_link::core : public std::enable_shared_from_this<core>
{
public:
  core(boost::asio::io_context& aIo,
       item_source& aSource,
       std::string aPrefix,
       std::string aWhat,
       source_link_listener aListener,
       json_log& aLog)
    : mSource(aSource)
    , mPrefix(std::move(aPrefix))
    , mWhat(std::move(aWhat))
    , mListener(std::move(aListener))
    , mLog(aLog)
    , mFollower(follower_settings{}, std::random_device()())
    , mTimer(aIo)
  {
  }

  void SetReading(bool aReads)
  {
    if (std::exchange(mReads, aReads) == aReads) {
      return;
    }
    if (aReads && mIdle) {
      Restart();
    }
    if (!aReads) {
      mFollower.StopAsking();
      NoteRegained();
    }
  }

  void Ask(const source_call& aCall)
  {
    const std::uint64_t round = ++mRound;
    mIdle = !mReads;
    if (mIdle) {
      return;
    }
    if (aCall.mPause <= duration::zero()) {
      Send(aCall, round);
      return;
    }
    mTimer.expires_after(aCall.mPause);
    mTimer.async_wait([weak = weak_from_this(),
                       round](const boost::system::error_code& aWrong) {
      const auto self = weak.lock();
      if (!aWrong && self && self->mRound == round) {
        // What a peer told meanwhile need not be asked for.
        self->Send(self->mFollower.Start(self->mMirror), round);
      }
    });
  }

  void Restart() { Ask(mFollower.Start(mMirror)); }

  void OnPeerFails(time_point aNow)
  {
    if (!mReads) {
      return;
    }
    if (const auto call = mFollower.OnPeerFails(mMirror, aNow)) {
      Ask(*call);
    }
  }

  void SetInstances(std::size_t aInstances)
  {
    mFollower.SetInstances(aInstances);
  }

  void Tick(time_point aNow)
  {
    if (!mLost && mFollower.InOutage(aNow)) {
      mLost = true;
      mLog.Write(log_level::kWarning,
                 "source_lost",
                 { { "what", mWhat },
                   { "at", static_cast<std::int64_t>(mMirror.At()) },
                   { "answer_age_ms", AnswerAgeMs() } });
      mListener.mOnLost();
    }
  }

  void OnPeerListing(const std::vector<source_item>& aItems, std::uint64_t aAt)
  {
    if (const std::uint64_t before = mMirror.At(); aAt > before) {
      TakePeersNews(mMirror.OnListing(aItems, aAt), before);
    }
  }

  void OnPeerChanges(const std::vector<item_change>& aChanges,
                     std::uint64_t aAsked,
                     std::uint64_t aAt)
  {
    if (const std::uint64_t before = mMirror.At();
        aAt > before && aAsked == before && mMirror.Listed()) {
      TakePeersNews(mMirror.OnPeerChanges(aChanges, aAsked, aAt), before);
    }
  }

  void Stop()
  {
    ++mRound;
    mTimer.cancel();
  }

  const item_mirror& Mirror() const { return mMirror; }
  bool Failing() const { return mFollower.Failing(); }
  std::optional<time_point> Answered() const { return mFollower.Answered(); }

private:
  void Send(const source_call& aCall, std::uint64_t aRound)
  {
    mSentAt = Now();
    if (aCall.mList) {
      mSource.List(
        mPrefix,
        aCall.mLimit,
        [weak = weak_from_this(), aRound](const list_outcome& aOutcome) {
          if (const auto self = weak.lock()) {
            self->OnListed(aOutcome, aRound);
          }
        });
      return;
    }
    mSource.Watch(
      mPrefix,
      aCall.mAfter,
      aCall.mWait,
      aCall.mLimit,
      [weak = weak_from_this(), aRound](const watch_outcome& aOutcome) {
        if (const auto self = weak.lock()) {
          self->OnWatched(aOutcome, aRound);
        }
      });
  }

  void OnListed(const list_outcome& aOutcome, std::uint64_t aRound)
  {
    if (aRound != mRound) {
      return;
    }
    if (const auto* failed = std::get_if<source_failure>(&aOutcome)) {
      LogFailure(*failed);
    }
    std::vector<item_change> news;
    const source_call next = mFollower.OnListed(aOutcome, mMirror, news, Now());
    Apply(news, next);
  }

  void OnWatched(const watch_outcome& aOutcome, std::uint64_t aRound)
  {
    if (aRound != mRound) {
      return;
    }
    if (const auto* failed = std::get_if<source_failure>(&aOutcome)) {
      LogFailure(*failed);
    } else if (std::holds_alternative<history_gone>(aOutcome)) {
      mLog.Write(
        log_level::kInfo, "source_history_gone", { { "what", mWhat } });
    }
    std::vector<item_change> news;
    const source_call next =
      mFollower.OnWatched(aOutcome, mMirror, news, Now());
    Apply(news, next);
  }

  void Apply(const std::vector<item_change>& aNews, const source_call& aNext)
  {
    LogAnswerAfterFailures();
    NoteRegained();
    if (!aNews.empty()) {
      mListener.mOnNews(aNews);
    }
    Ask(aNext);
  }

  void TakePeersNews(const std::vector<item_change>& aNews,
                     std::uint64_t aBefore)
  {
    mLog.Write(log_level::kInfo,
               "taken_from_peer",
               { { "what", mWhat },
                 { "from", static_cast<std::int64_t>(aBefore) },
                 { "at", static_cast<std::int64_t>(mMirror.At()) },
                 { "changes", static_cast<std::int64_t>(aNews.size()) },
                 { "answer_age_ms", AnswerAgeMs() } });
    if (!aNews.empty()) {
      mListener.mOnNews(aNews);
    }
  }

  void NoteRegained()
  {
    if (!mLost || mFollower.Failing()) {
      return;
    }
    mLost = false;
    mLog.Write(
      log_level::kInfo,
      "source_regained",
      { { "what", mWhat }, { "at", static_cast<std::int64_t>(mMirror.At()) } });
    mListener.mOnRegained();
  }

  // One line for each reason in a series of failures: a line for each call of
  // an outage pushes the seconds before it out of what is kept of a log.
  void LogFailure(const source_failure& aFailure)
  {
    ++mFailedCalls;
    if (mFailedCalls > 1 && aFailure.mDetail == mLastDetail) {
      return;
    }
    mLastDetail = aFailure.mDetail;
    mLog.Write(log_level::kInfo,
               "source_call_failed",
               { { "what", mWhat },
                 { "detail", aFailure.mDetail },
                 { "open_ms", ToMilliseconds(Now() - mSentAt) },
                 { "answer_age_ms", AnswerAgeMs() } });
  }

  void LogAnswerAfterFailures()
  {
    if (mFailedCalls == 0 || mFollower.Failing()) {
      return;
    }
    mLog.Write(log_level::kInfo,
               "source_answers_again",
               { { "what", mWhat },
                 { "at", static_cast<std::int64_t>(mMirror.At()) },
                 { "failed_calls", std::exchange(mFailedCalls, 0) } });
  }

  // -1: it never answered.
  std::int64_t AnswerAgeMs() const
  {
    const auto answered = mFollower.Answered();
    return answered ? ToMilliseconds(Now() - *answered) : -1;
  }

  item_source& mSource;
  std::string mPrefix;
  std::string mWhat;
  source_link_listener mListener;
  json_log& mLog;
  item_mirror mMirror;
  source_follower mFollower;
  boost::asio::steady_timer mTimer;
  bool mReads = true;
  // No call is on its way or due.
  bool mIdle = false;
  // Tells an answer that is still wanted from one that came too late.
  std::uint64_t mRound = 0;
  bool mLost = false;
  time_point mSentAt{};
  // Calls that failed since the last answer, and why the last one did.
  std::int64_t mFailedCalls = 0;
  std::string mLastDetail;
};

source_link::source_link(boost::asio::io_context& aIo,
                         item_source& aSource,
                         std::string aPrefix,
                         std::string aWhat,
                         source_link_listener aListener,
                         json_log& aLog)
  : mCore(std::make_shared<core>(aIo,
                                 aSource,
                                 std::move(aPrefix),
                                 std::move(aWhat),
                                 std::move(aListener),
                                 aLog))
{
}

source_link::~source_link()
{
  mCore->Stop();
}

void
source_link::Start()
{
  mCore->Restart();
}

void
source_link::Restart()
{
  mCore->Restart();
}

void
source_link::OnPeerFails(time_point aNow)
{
  mCore->OnPeerFails(aNow);
}

void
source_link::SetInstances(std::size_t aInstances)
{
  mCore->SetInstances(aInstances);
}

void
source_link::SetReading(bool aReads)
{
  mCore->SetReading(aReads);
}

void
source_link::Tick(time_point aNow)
{
  mCore->Tick(aNow);
}

void
source_link::OnPeerListing(const std::vector<source_item>& aItems,
                           std::uint64_t aAt)
{
  mCore->OnPeerListing(aItems, aAt);
}

void
source_link::OnPeerChanges(const std::vector<item_change>& aChanges,
                           std::uint64_t aAsked,
                           std::uint64_t aAt)
{
  mCore->OnPeerChanges(aChanges, aAsked, aAt);
}

const item_mirror&
source_link::Mirror() const
{
  return mCore->Mirror();
}

bool
source_link::Failing() const
{
  return mCore->Failing();
}

std::optional<duration>
source_link::AnswerAge(time_point aNow) const
{
  const auto answered = mCore->Answered();
  return answered ? std::optional<duration>(aNow - *answered) : std::nullopt;
}

} // namespace thornhollow
