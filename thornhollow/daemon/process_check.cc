#include "thornhollow/daemon/process_check.h"

#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/handle_errors.hpp>

#include "thornhollow/net/clock.h"
#include "thornhollow/net/endpoint_probe.h"
#include "thornhollow/net/http_fetch.h"

namespace thornhollow {
namespace {

// Endpoints are a few milliseconds away and answer without a slot.
constexpr duration kAnswerTimeout = Milliseconds(300);
// One that answers later than this stood still itself until then.
constexpr duration kPromptTimeout = Milliseconds(100);
constexpr std::size_t kMaxStatusBytes = std::size_t{ 256 } << 10U;
constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kMisdirected = 421;
// A busy endpoint may reset a connection that it has no room for.
constexpr duration kAskAgainAfter = Milliseconds(100);

std::string_view
EventName(process_verdict aVerdict)
{
  switch (aVerdict) {
    case process_verdict::kListed:
      return "endpoint_process_confirmed";
    case process_verdict::kOther:
      return "endpoint_process_differs";
    case process_verdict::kRefused:
      return "endpoint_process_refuses";
    default:
      return "endpoint_process_unknown";
  }
}

// Where a connection is all that can be asked for.
process_verdict
ToProcessVerdict(probe_verdict aVerdict)
{
  switch (aVerdict) {
    case probe_verdict::kAccepts:
      return process_verdict::kListed;
    case probe_verdict::kRefuses:
      return process_verdict::kRefused;
    default:
      return process_verdict::kUnknown;
  }
}

} // namespace

process_evidence
process_check::Evidence(const listed_process& aProcess,
                        time_point aMadeAt) const
{
  if (!CanAsk(aProcess)) {
    return process_evidence::kCannotAsk;
  }
  return mConfirmations.Covers(aProcess.mNumber, aMadeAt)
           ? process_evidence::kConfirmed
           : process_evidence::kMustAsk;
}

void
process_check::Confirm(const listed_process& aProcess,
                       time_point aMadeAt,
                       handler aDone)
{
  if (Evidence(aProcess, aMadeAt) != process_evidence::kMustAsk) {
    aDone(process_verdict::kListed);
    return;
  }
  if (mConfirmations.Await(
        aProcess.mNumber, aMadeAt, std::move(aDone), Now())) {
    Ask(aProcess);
  }
}

void
process_check::Forget(process_number aProcess)
{
  for (const handler& each : mConfirmations.Forget(aProcess)) {
    each(process_verdict::kUnknown);
  }
}

void
process_check::Ask(const listed_process& aProcess)
{
  mMetrics.OnEvent("endpoint_process_asked");
  FetchStatus(aProcess.mAddress,
              {},
              kAnswerTimeout,
              [this, aProcess](const fetch_answer* aAnswer, bool aRefused) {
                OnVerdict(aProcess,
                          aRefused ? process_verdict::kRefused
                                   : VerdictOf(aProcess, aAnswer));
              });
}

void
process_check::AskIfRunning(const listed_process& aProcess, handler aDone)
{
  const time_point now = Now();
  if (mRunning.Await(aProcess.mNumber, now, std::move(aDone), now)) {
    AskUntil(aProcess, now + kLongestQuestion);
  }
}

void
process_check::AskUntil(const listed_process& aProcess, time_point aUntil)
{
  mMetrics.OnEvent("endpoint_running_asked");
  AskOnce(aProcess,
          aUntil - Now(),
          [this, aProcess, aUntil](process_verdict aVerdict) {
            if (aVerdict != process_verdict::kUnknown ||
                Now() + kAskAgainAfter >= aUntil) {
              OnRunningVerdict(aProcess, aVerdict);
              return;
            }
            const auto pause =
              std::make_shared<boost::asio::steady_timer>(mIo, kAskAgainAfter);
            pause->async_wait([this, aProcess, aUntil, pause](
                                const boost::system::error_code& aError) {
              if (!aError) {
                AskUntil(aProcess, aUntil);
              }
            });
          });
}

void
process_check::AskOnce(const listed_process& aProcess,
                       duration aTimeout,
                       handler aDone)
{
  if (!mReader) {
    ProbeEndpoint(mIo,
                  aProcess.mAddress,
                  aTimeout,
                  [done = std::move(aDone)](const endpoint_probe& aProbe) {
                    done(ToProcessVerdict(aProbe.mVerdict));
                  });
    return;
  }
  FetchStatus(aProcess.mAddress,
              { { mExpectedHeader, aProcess.mEndpoint.Text() } },
              aTimeout,
              [this, aProcess, done = std::move(aDone)](
                const fetch_answer* aAnswer, bool aRefused) {
                done(aRefused ? process_verdict::kRefused
                              : RunningVerdictOf(aProcess, aAnswer));
              });
}

// Where no start time is stated, no two processes have the same name.
process_verdict
process_check::RunningVerdictOf(const listed_process& aProcess,
                                const fetch_answer* aAnswer) const
{
  if (aAnswer != nullptr && aAnswer->mHttpStatus == kMisdirected) {
    return process_verdict::kOther;
  }
  if (aAnswer != nullptr && aProcess.mStartedMs == 0) {
    return process_verdict::kListed;
  }
  return VerdictOf(aProcess, aAnswer);
}

void
process_check::OnRunningVerdict(const listed_process& aProcess,
                                process_verdict aVerdict)
{
  if (aVerdict != process_verdict::kListed) {
    mLog.Write(log_level::kInfo,
               "endpoint_not_known_to_run",
               { { "endpoint", aProcess.mEndpoint.Text() },
                 { "address", aProcess.mAddress },
                 { "verdict", std::string(EventName(aVerdict)) } });
  }
  const auto answered = mRunning.OnAnswer(aProcess.mNumber, aVerdict, Now());
  if (answered.mAskAgain) {
    AskUntil(aProcess, Now() + kLongestQuestion);
  } else {
    mRunning.Forget(aProcess.mNumber);
  }
  for (const handler& each : answered.mHandlers) {
    each(aVerdict);
  }
}

void
process_check::FetchStatus(const std::string& aAddress,
                           std::vector<header_field> aHeaders,
                           duration aTimeout,
                           status_handler aDone)
{
  const auto refused = std::make_shared<bool>(false);
  Fetch(mIo,
        { .mAddress = aAddress,
          .mTarget = mPath,
          .mHeaders = std::move(aHeaders),
          .mTimeout = aTimeout,
          .mConnectTimeout = aTimeout,
          .mOnRefused = [refused] { *refused = true; },
          .mMaxBytes = kMaxStatusBytes },
        [refused, done = std::move(aDone)](const fetch_outcome& aOutcome) {
          done(aOutcome ? &*aOutcome : nullptr, *refused);
        });
}

void
process_check::AskIfResponding(const std::string& aAddress,
                               std::function<void(bool)> aDone)
{
  if (!mReader) {
    aDone(true);
    return;
  }
  auto& waiting = mResponding[aAddress];
  waiting.push_back(std::move(aDone));
  if (waiting.size() > 1) {
    return;
  }
  mMetrics.OnEvent("endpoint_response_asked");
  FetchStatus(aAddress,
              {},
              kPromptTimeout,
              [this, aAddress](const fetch_answer* aAnswer, bool /*aRefused*/) {
                const bool responds = aAnswer != nullptr;
                mMetrics.OnEvent(responds ? "endpoint_responds"
                                          : "endpoint_response_none");
                // Who asks from within a handler asks anew.
                const auto asked = mResponding.extract(aAddress);
                for (const auto& each : asked.mapped()) {
                  each(responds);
                }
              });
}

process_verdict
process_check::VerdictOf(const listed_process& aProcess,
                         const fetch_answer* aAnswer) const
{
  if (aAnswer == nullptr) {
    return process_verdict::kUnknown;
  }
  // Endpoints that tell no status can't be told apart by it.
  if (aAnswer->mHttpStatus == kNotFound) {
    return process_verdict::kListed;
  }
  if (aAnswer->mHttpStatus != kOk) {
    return process_verdict::kUnknown;
  }
  return boost::leaf::try_handle_all(
    [&]() -> result<process_verdict> {
      BOOST_LEAF_AUTO(startedMs, mReader(aAnswer->mBody));
      return startedMs == 0 || startedMs == aProcess.mStartedMs
               ? process_verdict::kListed
               : process_verdict::kOther;
    },
    [] { return process_verdict::kUnknown; });
}

void
process_check::OnVerdict(const listed_process& aProcess,
                         process_verdict aVerdict)
{
  mMetrics.OnEvent(EventName(aVerdict));
  if (aVerdict != process_verdict::kListed) {
    mLog.Write(log_level::kInfo,
               EventName(aVerdict),
               { { "endpoint", aProcess.mEndpoint.Text() },
                 { "address", aProcess.mAddress },
                 { "listed_started_ms", aProcess.mStartedMs } });
  }
  const auto answered =
    mConfirmations.OnAnswer(aProcess.mNumber, aVerdict, Now());
  if (answered.mAskAgain) {
    Ask(aProcess);
  }
  for (const handler& each : answered.mHandlers) {
    each(aVerdict);
  }
}

} // namespace thornhollow
