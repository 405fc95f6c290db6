#include "thornhollow/daemon/source_link.h"

#include <random>
#include <utility>
#include <variant>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "thornhollow/discovery/pending_calls.h"
#include "thornhollow/net/clock.h"

namespace thornhollow {

class source_link::core : public std::enable_shared_from_this<core>
{
public:
  core(boost::asio::io_context& aIo,
       item_source& aSource,
       std::string aPrefix,
       std::string aWhat,
       item_change_handler aOnChanges,
       json_log& aLog)
    : mSource(aSource)
    , mPrefix(std::move(aPrefix))
    , mWhat(std::move(aWhat))
    , mOnChanges(std::move(aOnChanges))
    , mLog(aLog)
    , mFollower(source_follower_settings{}, std::random_device()())
    , mTimer(aIo)
  {
  }

  void SetReading(bool aReads)
  {
    if (std::exchange(mReadsSource, aReads) == aReads) {
      return;
    }
    if (aReads && mIdle) {
      Restart();
    }
    if (!aReads) {
      mFollower.StopReading();
      RecordReadingStopped();
    }
  }

  void ScheduleCall(const source_call& aCall)
  {
    const std::uint64_t round = ++mRound;
    mOpenCalls.Clear();
    mIdle = !mReadsSource;
    if (mIdle) {
      mFollower.StopReading();
      return;
    }
    if (aCall.mSendDelay <= duration::zero()) {
      Send(aCall, round);
      return;
    }
    mTimer.expires_after(aCall.mSendDelay);
    mTimer.async_wait([weak = weak_from_this(),
                       round](const boost::system::error_code& aError) {
      const auto self = weak.lock();
      if (!aError && self && self->mRound == round) {
        // Chooses the call again, since a peer may have supplied changes during
        // the send delay.
        self->Send(self->mFollower.Start(self->mMirror), round);
      }
    });
  }

  void Restart() { ScheduleCall(mFollower.Start(mMirror)); }

  void OnWatchSuspected(suspicion_reason aWhy, time_point aNow)
  {
    if (!mReadsSource || !mOpenCalls.AllowsProbe(aWhy, aNow)) {
      return;
    }
    if (const auto call = mFollower.OnSuspected(aWhy, mMirror, aNow)) {
      LogAdditionalCall(Name(aWhy), aNow);
      Send(*call, mRound);
    }
  }

  void SetStagger(const watch_stagger& aStagger)
  {
    mFollower.SetStagger(aStagger);
  }

  void Tick(time_point aNow)
  {
    if (mReadsSource && mOpenCalls.IsOverdue(aNow)) {
      CallAgainAfterOverdue(aNow);
    }
    if (mFollower.InOutage(aNow)) {
      RecordOutage();
    }
  }

  void OnPeerListing(const std::vector<source_item>& aItems,
                     std::uint64_t aRevision)
  {
    if (const std::uint64_t before = mMirror.Revision(); aRevision > before) {
      ApplyPeerChanges(mMirror.OnListing(aItems, aRevision), before, Now());
    }
  }

  void OnPeerChanges(const std::vector<item_change>& aChanges,
                     std::uint64_t aAfter,
                     std::uint64_t aRevision)
  {
    if (const std::uint64_t before = mMirror.Revision();
        aRevision > before && aAfter == before && mMirror.Listed()) {
      ApplyPeerChanges(
        mMirror.OnPeerChanges(aChanges, aAfter, aRevision), before, Now());
    }
  }

  void Stop()
  {
    ++mRound;
    mOpenCalls.Clear();
    mTimer.cancel();
  }

  const item_mirror& Mirror() const { return mMirror; }
  bool Failing() const { return mFollower.Failing(); }
  std::optional<time_point> LastAnswerTime() const
  {
    return mFollower.LastAnswer();
  }

private:
  // A pending call to the source. A round is a set of calls that run
  // concurrently and that the first answer to any of them ends.
  struct sent_call
  {
    std::uint64_t mRound = 0;
    std::uint64_t mCallNumber = 0;
    time_point mSentAt{};
    // When the source is expected to answer the call if no item changes: after
    // the wait that the call requests.
    time_point mDueAt{};
  };

  void Send(const source_call& aCall, std::uint64_t aRound)
  {
    const time_point now = Now();
    const sent_call sent{ aRound, ++mCallNumber, now, now + aCall.mWait };
    mOpenCalls.OnSent(aCall, now);
    response_progress onBytes = [weak = weak_from_this(),
                                 aRound](std::size_t aBytes) {
      if (const auto self = weak.lock()) {
        self->OnBytes(aRound, aBytes);
      }
    };
    if (aCall.mList) {
      mSource.List(
        mPrefix,
        aCall.mIdleTimeout,
        std::move(onBytes),
        [weak = weak_from_this(), sent](const list_outcome& aOutcome) {
          if (const auto self = weak.lock()) {
            self->OnListed(aOutcome, sent);
          }
        });
      return;
    }
    mSource.Watch(
      mPrefix,
      aCall.mAfter,
      aCall.mWait,
      aCall.mIdleTimeout,
      std::move(onBytes),
      [weak = weak_from_this(), sent](const watch_outcome& aOutcome) {
        if (const auto self = weak.lock()) {
          self->OnWatched(aOutcome, sent);
        }
      });
  }

  void OnBytes(std::uint64_t aRound, std::size_t aBytes)
  {
    if (aRound == mRound) {
      mOpenCalls.OnBytes(Now());
      mBytesReceived = aBytes;
    }
  }

  void CallAgainAfterOverdue(time_point aNow)
  {
    const source_call next = mFollower.OnOverdue(mMirror, aNow);
    if (mFollower.Failing()) {
      LogFailure({ "overdue" }, mOpenCalls.NewestCallAge(aNow));
    } else {
      LogAdditionalCall("overdue", aNow);
    }
    Send(next, mRound);
  }

  // Whether the outcome of a call determines the next call. A failed call that
  // is not the newest of its round does not determine it: the failure was
  // logged when the call became overdue, and another call of the round may
  // still be answered.
  template<class outcome>
  bool IsDecisive(const outcome& aOutcome, const sent_call& aSent) const
  {
    const bool failed = std::holds_alternative<source_failure>(aOutcome);
    return aSent.mRound == mRound &&
           (!failed || mCallNumber == aSent.mCallNumber);
  }

  void RecordDelay(const sent_call& aSent, time_point aNow)
  {
    if (aNow > aSent.mDueAt) {
      mFollower.RecordDelay(aNow - aSent.mDueAt);
    }
  }

  void OnListed(const list_outcome& aOutcome, const sent_call& aSent)
  {
    if (!IsDecisive(aOutcome, aSent)) {
      return;
    }
    const time_point now = Now();
    if (const auto* failed = std::get_if<source_failure>(&aOutcome)) {
      LogFailure(*failed, now - aSent.mSentAt);
    } else {
      RecordDelay(aSent, now);
    }
    std::vector<item_change> changes;
    const source_call next =
      mFollower.OnListed(aOutcome, mMirror, changes, now);
    Apply(changes, next);
  }

  void OnWatched(const watch_outcome& aOutcome, const sent_call& aSent)
  {
    if (!IsDecisive(aOutcome, aSent)) {
      return;
    }
    const time_point now = Now();
    if (const auto* failed = std::get_if<source_failure>(&aOutcome)) {
      LogFailure(*failed, now - aSent.mSentAt);
    } else if (std::holds_alternative<history_gone>(aOutcome)) {
      mLog.Write(
        log_level::kInfo, "source_history_gone", { { "what", mWhat } });
    } else {
      RecordDelay(aSent, now);
    }
    std::vector<item_change> changes;
    const source_call next =
      mFollower.OnWatched(aOutcome, mMirror, changes, now);
    Apply(changes, next);
  }

  void Apply(const std::vector<item_change>& aChanges, const source_call& aNext)
  {
    LogRecovery();
    RecordRecovery();
    if (!aChanges.empty()) {
      mOnChanges(aChanges);
    }
    ScheduleCall(aNext);
  }

  void ApplyPeerChanges(const std::vector<item_change>& aChanges,
                        std::uint64_t aBefore,
                        time_point aNow)
  {
    mLog.Write(log_level::kInfo,
               "taken_from_peer",
               { { "what", mWhat },
                 { "from", static_cast<std::int64_t>(aBefore) },
                 { "at", static_cast<std::int64_t>(mMirror.Revision()) },
                 { "changes", static_cast<std::int64_t>(aChanges.size()) },
                 { "answer_age_ms", AnswerAgeMs() } });
    if (!aChanges.empty()) {
      OnWatchSuspected(suspicion_reason::kPeerKnewFirst, aNow);
      mOnChanges(aChanges);
    }
  }

  void RecordOutage()
  {
    if (std::exchange(mInOutage, true)) {
      return;
    }
    mLog.Write(log_level::kWarning,
               "source_lost",
               { { "what", mWhat },
                 { "at", static_cast<std::int64_t>(mMirror.Revision()) },
                 { "answer_age_ms", AnswerAgeMs() } });
  }

  void RecordRecovery()
  {
    if (!mInOutage || mFollower.Failing()) {
      return;
    }
    mInOutage = false;
    LogState("source_regained");
  }

  void RecordReadingStopped()
  {
    if (std::exchange(mInOutage, false)) {
      LogState("source_left_to_peers");
    }
  }

  void LogState(std::string_view aEvent)
  {
    mLog.Write(log_level::kInfo,
               aEvent,
               { { "what", mWhat },
                 { "at", static_cast<std::int64_t>(mMirror.Revision()) } });
  }

  // Within a series of failures, writes a line only when the reason changes.
  // During an outage, one line for each failed call would push the lines from
  // just before the outage out of the retained log.
  void LogFailure(const source_failure& aFailure, duration aOpenFor)
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
                 { "open_ms", ToMilliseconds(aOpenFor) },
                 { "bytes", static_cast<std::int64_t>(mBytesReceived) },
                 { "answer_age_ms", AnswerAgeMs() } });
  }

  // Logs a call made while the newest one may still be answered.
  void LogAdditionalCall(std::string_view aWhy, time_point aNow)
  {
    mLog.Write(log_level::kInfo,
               "source_asked_again",
               { { "what", mWhat },
                 { "why", std::string(aWhy) },
                 { "open_ms", ToMilliseconds(mOpenCalls.NewestCallAge(aNow)) },
                 { "bytes", static_cast<std::int64_t>(mBytesReceived) },
                 { "answer_age_ms", AnswerAgeMs() } });
  }

  void LogRecovery()
  {
    if (mFailedCalls == 0 || mFollower.Failing()) {
      return;
    }
    mLog.Write(log_level::kInfo,
               "source_answers_again",
               { { "what", mWhat },
                 { "at", static_cast<std::int64_t>(mMirror.Revision()) },
                 { "failed_calls", std::exchange(mFailedCalls, 0) } });
  }

  // Returns the milliseconds since the source last answered, or -1 if it has
  // never answered.
  std::int64_t AnswerAgeMs() const
  {
    const auto answered = mFollower.LastAnswer();
    return answered ? ToMilliseconds(Now() - *answered) : -1;
  }

  item_source& mSource;
  std::string mPrefix;
  std::string mWhat;
  item_change_handler mOnChanges;
  json_log& mLog;
  item_mirror mMirror;
  source_follower mFollower;
  boost::asio::steady_timer mTimer;
  bool mReadsSource = true;
  // Whether no call is pending and none is scheduled.
  bool mIdle = false;
  // Number of the current round of concurrent calls; answers to calls of
  // earlier rounds are ignored.
  std::uint64_t mRound = 0;
  bool mInOutage = false;
  // The number of the newest call.
  std::uint64_t mCallNumber = 0;
  // The pending calls of the current round; none during a send delay.
  pending_calls mOpenCalls;
  // Bytes of the last answer received so far, whether or not the answer was
  // complete.
  std::size_t mBytesReceived = 0;
  // Number of failed calls since the source last answered, and the reason
  // logged last.
  std::int64_t mFailedCalls = 0;
  std::string mLastDetail;
};

source_link::source_link(boost::asio::io_context& aIo,
                         item_source& aSource,
                         std::string aPrefix,
                         std::string aWhat,
                         item_change_handler aOnChanges,
                         json_log& aLog)
  : mCore(std::make_shared<core>(aIo,
                                 aSource,
                                 std::move(aPrefix),
                                 std::move(aWhat),
                                 std::move(aOnChanges),
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
source_link::OnWatchSuspected(suspicion_reason aWhy, time_point aNow)
{
  mCore->OnWatchSuspected(aWhy, aNow);
}

void
source_link::SetStagger(const watch_stagger& aStagger)
{
  mCore->SetStagger(aStagger);
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
                           std::uint64_t aRevision)
{
  mCore->OnPeerListing(aItems, aRevision);
}

void
source_link::OnPeerChanges(const std::vector<item_change>& aChanges,
                           std::uint64_t aAfter,
                           std::uint64_t aRevision)
{
  mCore->OnPeerChanges(aChanges, aAfter, aRevision);
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

std::optional<time_point>
source_link::LastAnswerTime() const
{
  return mCore->LastAnswerTime();
}

std::optional<duration>
source_link::AnswerAge(time_point aNow) const
{
  const auto answered = mCore->LastAnswerTime();
  return answered ? std::optional<duration>(aNow - *answered) : std::nullopt;
}

} // namespace thornhollow
