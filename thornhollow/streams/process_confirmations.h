// Which connections are known to lead to the process that an endpoint's entry
// tells of, as the endpoint was asked.
//
//   process_confirmations confirmations;
//   if (confirmations.Covers(process, madeAt)) { ... }
//   if (confirmations.Await(process, madeAt, onVerdict, now)) { Ask(process); }
//   const auto done = confirmations.OnAnswer(process, verdict, now);
//
// Guards against streams of two software versions where an endpoint has started
// again under its name and address, and its entry still tells of the process
// before. An instance without a connection to that one sees nothing break. It
// shows as a new connection that leads to the new process. Processes of one
// name follow each other, and the listed one had started before the connection
// was made. So if the listed process answers a question that was sent after
// that, the connection leads to no other.
#ifndef THORNHOLLOW_STREAMS_PROCESS_CONFIRMATIONS_H_
#define THORNHOLLOW_STREAMS_PROCESS_CONFIRMATIONS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "thornhollow/base/time.h"

namespace thornhollow {

// Number of a listed process; never used again for another.
using process_number = std::uint64_t;

enum class process_verdict : std::uint8_t
{
  // The listed process answered, or one that doesn't tell when it started.
  kListed,
  // Another process answered.
  kOther,
  // No answer in time.
  kUnknown,
  // Nothing listens at its address.
  kRefused,
};

class process_confirmations
{
public:
  using handler = std::function<void(process_verdict)>;
  // To be called with the verdict, after which the endpoint is to be asked
  // again if `mAskAgain`.
  struct answered
  {
    std::vector<handler> mHandlers;
    bool mAskAgain = false;
  };

  // Whether a connection that was made then leads to the listed process.
  bool Covers(process_number aProcess, time_point aMadeAt) const;
  // Keeps `aHandler` until a question that was asked at `aMadeAt` or later is
  // answered. Returns whether the endpoint is to be asked now.
  bool Await(process_number aProcess,
             time_point aMadeAt,
             handler aHandler,
             time_point aNow);
  // The question that is open has been answered, or was not in time.
  answered OnAnswer(process_number aProcess,
                    process_verdict aVerdict,
                    time_point aNow);
  // The process is no longer listed. Returns what waits for a verdict on it.
  std::vector<handler> Forget(process_number aProcess);

private:
  struct waiting
  {
    time_point mMadeAt{};
    handler mHandler;
  };
  struct known
  {
    // When a question was sent that the listed process answered.
    std::optional<time_point> mConfirmedAt;
    // When the question that is open was sent.
    std::optional<time_point> mAskedAt;
    std::vector<waiting> mWaiting;
  };

  std::map<process_number, known> mKnown;
};

} // namespace thornhollow

#endif // THORNHOLLOW_STREAMS_PROCESS_CONFIRMATIONS_H_
