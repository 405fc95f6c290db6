// The faults that a stand-in for an endpoint has switched on, and what they do
// to a request before it is run.
//
//   if (path == "/test/mode") { mFaults.SetMode(request, exchange); }
//   ...
//   const misbehaviour faults = mFaults.Take();
//   if (mFaults.FailsBeforeRun(faults, exchange)) { return; }
#ifndef THORNHOLLOW_TESTING_FAULT_SWITCH_H_
#define THORNHOLLOW_TESTING_FAULT_SWITCH_H_

#include <cstdint>
#include <functional>
#include <string_view>

#include "thornhollow/testing/http_server.h"
#include "thornhollow/testing/misbehaviour.h"

namespace thornhollow::testing {

// What faults do to the listener for requests.
struct listener_control
{
  // Refuses new connections, or accepts them again.
  std::function<void(bool)> mRefuse;
  // Resets all connections and refuses new ones for the given time.
  std::function<void(duration)> mEnd;
};

class fault_switch
{
public:
  void SetListener(listener_control aListener);

  // Answers POST /test/mode.
  void SetMode(const http_request& aRequest, const exchange_ptr& aExchange);

  // What is on now, whichever request it applies to.
  const misbehaviour& Mode() const { return mMode; }
  // The faults for one request; counts it against `mTimes`.
  misbehaviour Take() { return TakeFor(mMode); }

  // True when a fault decided about the request, which then must not be run.
  bool FailsBeforeRun(const misbehaviour& aFaults,
                      const exchange_ptr& aExchange);
  // Answers that the request was not run, and counts it.
  void Decline(const exchange_ptr& aExchange,
               bool aLeaving,
               std::optional<std::uint32_t> aRestMs = std::nullopt);

  std::uint64_t Declined() const { return mDeclined; }

  // Whether a request with this body ends the endpoint that runs it.
  bool EndsEndpoint(std::string_view aBody) const;
  // Ends the endpoint and brings it back later.
  void EndEndpoint();
  // How often the endpoint has ended.
  std::uint64_t Ended() const { return mEnded; }

private:
  misbehaviour mMode;
  std::uint64_t mDeclined = 0;
  std::uint64_t mEnded = 0;
  listener_control mListener;
};

} // namespace thornhollow::testing

#endif // THORNHOLLOW_TESTING_FAULT_SWITCH_H_
