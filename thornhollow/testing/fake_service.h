// A stand-in for a plain service: answers each call with what it was sent, and
// counts how often each request and each body was run.
//
//   fake_service service(loop, Milliseconds(5));
//   http_server server(loop, service.Handler());
#ifndef THORNHOLLOW_TESTING_FAKE_SERVICE_H_
#define THORNHOLLOW_TESTING_FAKE_SERVICE_H_

#include <cstdint>
#include <map>
#include <string>

#include "thornhollow/base/time.h"
#include "thornhollow/testing/fault_switch.h"
#include "thornhollow/testing/http_server.h"

namespace thornhollow::testing {

class fake_service
{
public:
  // Each call takes `aWork`; its run counts from the moment it is read.
  fake_service(event_loop& aLoop, duration aWork);

  http_handler Handler();
  fault_switch& Faults() { return mFaults; }

private:
  void Handle(const http_request& aRequest, const exchange_ptr& aExchange);
  void Call(const http_request& aRequest, const exchange_ptr& aExchange);
  std::string RunsJson() const;

  event_loop& mLoop;
  duration mWork;
  fault_switch mFaults;
  std::map<std::string, std::uint32_t> mRunsOfRequest;
  std::map<std::string, std::uint32_t> mRunsOfBody;
  std::uint64_t mRuns = 0;
};

} // namespace thornhollow::testing

#endif // THORNHOLLOW_TESTING_FAKE_SERVICE_H_
