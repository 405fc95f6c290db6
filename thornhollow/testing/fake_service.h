// A stand-in for a plain service: answers each call with what it was sent, and
// counts how often each request and each body was run.
//
//   fake_service service(loop, Milliseconds(5));
//   http_server server(loop, service.Handler());
#ifndef THORNHOLLOW_TESTING_FAKE_SERVICE_H_
#define THORNHOLLOW_TESTING_FAKE_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "thornhollow/base/time.h"
#include "thornhollow/testing/http_server.h"
#include "thornhollow/testing/misbehaviour.h"

namespace thornhollow::testing {

class fake_service
{
public:
  // Each call takes `aWork`; its run counts from the moment it is read.
  fake_service(event_loop& aLoop, duration aWork);

  http_handler Handler();
  // Called when the mode `refuse` is switched, with its new value.
  void OnRefuse(std::function<void(bool)> aCallback);

private:
  void Handle(const http_request& aRequest, const exchange_ptr& aExchange);
  void Call(const http_request& aRequest, const exchange_ptr& aExchange);
  // True when a fault decided about the call before it was run.
  bool FailsBeforeRun(const misbehaviour& aFaults,
                      const exchange_ptr& aExchange);
  void SetMode(const http_request& aRequest, const exchange_ptr& aExchange);
  std::string RunsJson() const;

  event_loop& mLoop;
  duration mWork;
  misbehaviour mMode;
  std::map<std::string, std::uint32_t> mRunsOfRequest;
  std::map<std::string, std::uint32_t> mRunsOfBody;
  std::uint64_t mRuns = 0;
  std::uint64_t mDeclined = 0;
  std::function<void(bool)> mOnRefuse;
};

} // namespace thornhollow::testing

#endif // THORNHOLLOW_TESTING_FAKE_SERVICE_H_
