// Judges whether this instance can open connections to the endpoints of one
// pool, and how much of its new work it sends to them itself.
//
//   endpoint_contact contact(endpoint_contact_settings{});
//   contact.OnConnectFailed(now);
//   for (std::size_t each = contact.TakeProbes(available, now); each > 0;) ...
//   contact.OnProbed(connected, now);
//   if (contact.ShouldForward(uniform, now)) { ... }
//
// Failure scenario: this instance loses its links to all endpoints, while its
// callers and the other instances reach it. Each request would try one endpoint
// after the other and end as not served for as long as that lasts. One endpoint
// that refuses connections has merely crashed, and one that is silent may just
// be busy. So a failure only starts a check: several endpoints are probed at
// once with new connections, and only if none of them accepts one, contact is
// lost. Open connections prove nothing, as they may live on while new ones are
// refused.
//
// The end of the loss is found by probes rather than by callers' requests. New
// work then returns to the endpoints in steps. If contact is lost again soon,
// more successful probes are needed before the next return.
//
// Whether the endpoints have ended or this instance is cut off from them can
// only be told with what other instances report; see fleet/forward_choice.h.
#ifndef THORNHOLLOW_POLICY_ENDPOINTS_ENDPOINT_CONTACT_H_
#define THORNHOLLOW_POLICY_ENDPOINTS_ENDPOINT_CONTACT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "thornhollow/base/time.h"

namespace thornhollow {

struct endpoint_contact_settings
{
  // Number of endpoints that a check probes at once.
  std::size_t mCheckProbes = 3;
  // Minimum time between two checks. A crashed endpoint causes many failures.
  duration mCheckInterval = Milliseconds(300);
  // Without an answer from any endpoint for this long while requests are
  // waiting, a check is started, at most once per `mUnansweredInterval`.
  duration mUnansweredTimeout = Milliseconds(400);
  duration mUnansweredInterval = Seconds(2);
  // Interval of probes while contact is lost, and while work returns.
  duration mProbeInterval = Milliseconds(200);
  duration mReturnProbeInterval = Milliseconds(100);
  // Fraction of the new work that goes to the endpoints when contact returns.
  // It doubles after each `mReturnStep`.
  double mFirstFraction = 0.25;
  duration mReturnStep = Milliseconds(250);
  // Maximum number of successful probes in a row that a return may need. The
  // number doubles with each loss and is reset after `mStableTime` of contact.
  std::uint32_t mMaxReturnProbes = 8;
  duration mStableTime = Seconds(10);
  // Number of failures in a row during a return that count as a loss.
  std::uint32_t mReturnFailures = 2;
  // Maximum age of the evidence for contact that is reported to other
  // instances.
  duration mRecentEvidence = Seconds(3);
  // After this time in `kLost`, a request that no other instance can take is
  // refused at once instead of being tried.
  duration mConfirmedAfter = Milliseconds(500);

  friend bool operator==(const endpoint_contact_settings&,
                         const endpoint_contact_settings&) = default;
};

enum class contact_state : std::uint8_t
{
  kReached,
  kLost,
  // Work returns to the endpoints in steps.
  kReturning,
};

// "reached", "lost" or "returning".
std::string_view
Name(contact_state aState);

class endpoint_contact
{
public:
  explicit endpoint_contact(const endpoint_contact_settings& aSettings);

  // A request was sent to an endpoint of the pool, over any connection.
  void OnSent(time_point aNow);
  // Bytes of an answer arrived. `aNewConnection`: on a connection that was
  // opened for the request, which shows that connections can be opened.
  void OnAnswer(bool aNewConnection, time_point aNow);
  // A request that was sent has ended in whatever way.
  void OnEnded();
  // A connection to an endpoint could not be opened.
  void OnConnectFailed(time_point aNow);
  // A connection broke, or an endpoint stayed silent.
  void OnTrouble();
  // An endpoint joined the pool: while contact is lost, it is probed at once.
  void OnEndpointJoined();

  // Whether `TakeProbes` may have something to do, so that a caller need not
  // count endpoints for it on a calm day.
  bool MayProbe(time_point aNow) const;
  // Returns the number of endpoints, at most `aAvailable`, to be probed now,
  // each with a new connection; 0: none. The result of each probe must be
  // reported with `OnProbed`. To be called after each event and every 100 ms.
  std::size_t TakeProbes(std::size_t aAvailable, time_point aNow);
  // `aConnected`: whether the endpoint accepted the connection.
  void OnProbed(bool aConnected, time_point aNow);
  // To be called after this process was paused: discards all conclusions.
  void OnClockGap(time_point aNow);

  contact_state State() const { return mState; }
  // Whether a new request should be forwarded to another instance. `aUniform`:
  // a random number from 0 to 1.
  bool ShouldForward(double aUniform, time_point aNow) const;
  // Whether contact has been lost for long enough that trying an endpoint is
  // pointless.
  bool IsConfirmedLost(time_point aNow) const;
  // What is reported to other instances: whether endpoints can be reached;
  // nullopt without recent evidence.
  std::optional<bool> Reached(time_point aNow) const;

private:
  void SetState(contact_state aState, time_point aNow);
  void EndCheck(time_point aNow);
  void OnReturnFailure(time_point aNow);
  void OnConnected(time_point aNow);
  bool IsCheckDue(time_point aNow) const;
  double DirectFraction(time_point aNow) const;

  endpoint_contact_settings mSettings;
  contact_state mState = contact_state::kReached;
  time_point mStateSince{};
  // A failure asks for a check.
  bool mCheckWanted = false;
  time_point mNextCheck{};
  time_point mNextUnansweredCheck{};
  // Probes of the current check whose results are missing, and whether one of
  // the others succeeded.
  std::size_t mCheckOutstanding = 0;
  bool mCheckConnected = false;
  time_point mNextProbe{};
  // Successful probes in a row while contact is lost, and how many are needed.
  std::uint32_t mSuccesses = 0;
  std::uint32_t mNeededSuccesses = 1;
  std::uint32_t mReturnFailures = 0;
  std::optional<time_point> mConnectedAt;
  // Requests that were sent and have not ended.
  std::uint32_t mInFlight = 0;
  // Since when requests have been waiting without an answer from any endpoint.
  std::optional<time_point> mUnansweredSince;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ENDPOINTS_ENDPOINT_CONTACT_H_
