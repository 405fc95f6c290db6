// Asks endpoints when their processes started, to find out whether connections
// lead to the processes that their entries tell of.
//
//   process_check check(io, log, metrics);
//   check.SetStatus(path, readStartedMs);
//   if (check.Evidence(process, madeAt) == process_evidence::kMustAsk) {
//     check.Confirm(process, madeAt, [](process_verdict aVerdict) { ... });
//   }
//   check.AskIfRunning(process, [](process_verdict aVerdict) { ... });
//
// To confirm a connection, nothing is asked of endpoints whose entries state no
// start time: on such platforms each process has a name of its own.
// streams/process_confirmations.h tells what follows from an answer.
#ifndef THORNHOLLOW_DAEMON_PROCESS_CHECK_H_
#define THORNHOLLOW_DAEMON_PROCESS_CHECK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "thornhollow/base/header_field.h"
#include "thornhollow/base/ids.h"
#include "thornhollow/base/result.h"
#include "thornhollow/base/time.h"
#include "thornhollow/daemon/json_log.h"
#include "thornhollow/daemon/metrics.h"
#include "thornhollow/streams/process_confirmations.h"

namespace boost::asio {
class io_context;
}

namespace thornhollow {

struct fetch_answer;

// A process as an endpoint's entry tells of it.
struct listed_process
{
  endpoint_name mEndpoint;
  std::string mAddress;
  process_number mNumber = 0;
  // Start time in milliseconds by the endpoint's clock; 0 if not stated.
  std::int64_t mStartedMs = 0;

  friend bool operator==(const listed_process&,
                         const listed_process&) = default;
};

// Whether a connection is known to lead to the listed process.
enum class process_evidence : std::uint8_t
{
  // The endpoint can't be asked.
  kCannotAsk,
  kMustAsk,
  kConfirmed,
};

class process_check
{
public:
  using handler = process_confirmations::handler;
  // Reads from an endpoint's status when its process started, in milliseconds;
  // 0 if not stated.
  using status_reader = std::function<result<std::int64_t>(std::string_view)>;

  // `aLog` and `aMetrics` must outlive this object.
  process_check(boost::asio::io_context& aIo, json_log& aLog, metrics& aMetrics)
    : mIo(aIo)
    , mLog(aLog)
    , mMetrics(aMetrics)
  {
  }

  // `aPath`: where endpoints tell their status. Without this no connection is
  // confirmed. `aExpectedHeader`: names the endpoint that is asked; any other
  // one answers 421.
  void SetStatus(std::string aPath,
                 status_reader aReader,
                 std::string aExpectedHeader)
  {
    mPath = std::move(aPath);
    mReader = std::move(aReader);
    mExpectedHeader = std::move(aExpectedHeader);
  }

  // Of a connection that was made then.
  process_evidence Evidence(const listed_process& aProcess,
                            time_point aMadeAt) const;
  // Calls `aDone` once the endpoint has answered, or has not in time; at once
  // if nothing has to be asked.
  void Confirm(const listed_process& aProcess,
               time_point aMadeAt,
               handler aDone);
  // Finds out whether the process still runs, which may be listed no longer, by
  // a question that is sent now or later: `kListed` if it does, `kUnknown` if
  // nothing told so for `kLongestQuestion`. Where endpoints tell no status, one
  // that accepts a connection runs. One question serves all whose answers have
  // ended before it was sent.
  void AskIfRunning(const listed_process& aProcess, handler aDone);
  // Longer than sound endpoints stand still, and shorter than callers wait for
  // more of a stream.
  static constexpr duration kLongestQuestion = Milliseconds(1'500);
  // Calls `aDone` with whether the endpoint promptly answers a question that is
  // asked now; with true, at once, where endpoints can't be asked. One question
  // serves all that ask while it is open.
  void AskIfResponding(const std::string& aAddress,
                       std::function<void(bool)> aDone);
  // The process is no longer listed.
  void Forget(process_number aProcess);

private:
  bool CanAsk(const listed_process& aProcess) const
  {
    return mReader && aProcess.mStartedMs != 0;
  }
  void Ask(const listed_process& aProcess);
  // The answer is null if none came in time; `aRefused`: nothing listens there.
  using status_handler =
    std::function<void(const fetch_answer* aAnswer, bool aRefused)>;
  void FetchStatus(const std::string& aAddress,
                   std::vector<header_field> aHeaders,
                   duration aTimeout,
                   status_handler aDone);
  void AskUntil(const listed_process& aProcess, time_point aUntil);
  // Sends one question; the handler gets what it told.
  void AskOnce(const listed_process& aProcess,
               duration aTimeout,
               handler aDone);
  process_verdict RunningVerdictOf(const listed_process& aProcess,
                                   const fetch_answer* aAnswer) const;
  void OnRunningVerdict(const listed_process& aProcess,
                        process_verdict aVerdict);
  process_verdict VerdictOf(const listed_process& aProcess,
                            const fetch_answer* aAnswer) const;
  void OnVerdict(const listed_process& aProcess, process_verdict aVerdict);

  boost::asio::io_context& mIo;
  json_log& mLog;
  metrics& mMetrics;
  std::string mPath;
  status_reader mReader;
  std::string mExpectedHeader;
  process_confirmations mConfirmations;
  // Those who wait for whether a process still runs.
  process_confirmations mRunning;
  // Those who wait for whether the endpoint at an address responds.
  std::map<std::string, std::vector<std::function<void(bool)>>> mResponding;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_PROCESS_CHECK_H_
