// The engine stand-in's HTTP side: the protocol towards a model engine of
// docs/design/external_protocols.md, and the control paths under /test/.
//
//   fake_engine engine(loop, settings);
//   http_server server(loop, engine.Handler());
#ifndef THORNHOLLOW_TESTING_FAKE_ENGINE_H_
#define THORNHOLLOW_TESTING_FAKE_ENGINE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "thornhollow/testing/engine_core.h"
#include "thornhollow/testing/fault_switch.h"
#include "thornhollow/testing/http_server.h"
#include "thornhollow/testing/misbehaviour.h"

namespace thornhollow::testing {

class fake_engine
{
public:
  // Declines requests beyond `aMaxWaiting` in its queue; 0 means no bound.
  // Answers tell the software version `aVersion`, as do their tokens, unless it
  // is empty. Load reports tell that it warms up for `aWarmUp` after each
  // start.
  fake_engine(event_loop& aLoop,
              engine_settings aSettings,
              std::uint32_t aMaxWaiting,
              std::string aVersion = "",
              duration aWarmUp = {});

  http_handler Handler();
  fault_switch& Faults() { return mFaults; }

private:
  struct stream
  {
    exchange_ptr mExchange;
    std::string mId;
    misbehaviour mFaults;
    // Whether this run ends the engine with its first token.
    bool mEndsEngine = false;
    bool mResumed = false;
    bool mBegun = false;
    std::uint32_t mSent = 0;
  };

  void Handle(const http_request& aRequest, const exchange_ptr& aExchange);
  void Complete(const http_request& aRequest, const exchange_ptr& aExchange);
  // Whether the waiting queue has reached its bound.
  bool IsFull() const;
  void Cancel(const http_request& aRequest, const exchange_ptr& aExchange);
  std::string LoadJson() const;
  std::string RunsJson() const;
  void ScheduleStep();
  void Step();
  // False when the stream ended.
  bool Deliver(stream& aStream, const emitted_token& aToken);
  void Begin(stream& aStream);
  // Drops all runs, as a crash of the engine does.
  void End();
  // True when a fault ended the stream.
  bool BreakStream(stream& aStream);

  event_loop& mLoop;
  engine_core mCore;
  std::uint32_t mMaxWaiting;
  std::string mVersion;
  duration mWarmUp;
  time_point mWarmFrom;
  // Completions that arrived while it warmed up.
  std::vector<time_point> mColdArrivals;
  fault_switch mFaults;
  std::map<run_number, stream> mStreams;
  bool mStepScheduled = false;
};

} // namespace thornhollow::testing

#endif // THORNHOLLOW_TESTING_FAKE_ENGINE_H_
