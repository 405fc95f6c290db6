// Prometheus metrics of one instance. The counters of all refusal kinds and
// retry reasons exist from the start, at zero.
//
//   metrics counted;
//   counted.OnRefused(error_kind::kQueueFull);
//   const std::string page = counted.Page();
//
#ifndef THORNHOLLOW_DAEMON_METRICS_H_
#define THORNHOLLOW_DAEMON_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "thornhollow/base/error.h"
#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/policy/admission/memory_account.h"

namespace thornhollow {

// Numbers of requests of one pool that an instance holds.
struct held_requests
{
  // Requests without a final answer.
  std::size_t mInFlight = 0;
  // Requests in flight without a current attempt at an endpoint. These requests
  // are included in `mInFlight`.
  std::size_t mWaiting = 0;

  friend bool operator==(const held_requests&, const held_requests&) = default;
};

class metrics
{
public:
  metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;
  ~metrics();

  void OnRequest(const class_name& aClass);
  void OnCompleted(const class_name& aClass, std::uint64_t aTokens);
  // Counts a request that ended with this error as its response.
  void OnRefused(error_kind aKind);
  // Counts another attempt at a request whose last attempt failed for this
  // reason.
  void OnRetry(error_kind aReason);
  void OnFirstToken(const class_name& aClass, duration aSinceArrival);
  void OnTokenGap(const class_name& aClass, duration aSinceLast);
  // Counts tokens generated for a response that the caller did not receive in
  // full.
  void OnWastedTokens(std::uint64_t aTokens);
  void OnConfiguration(std::uint64_t aVersion);
  void OnConfigurationRefused();
  // Sets the source revision up to which items of the kind `aWhat` are known,
  // and the time since the source itself last answered; nullopt if it never
  // has.
  void SetSource(std::string_view aWhat,
                 std::uint64_t aRevision,
                 std::optional<duration> aAnswerAge);
  // Sets the number of pools whose endpoints this instance cannot reach, and of
  // the requests that other instances serve for it now.
  void SetContact(std::size_t aLostPools, std::size_t aForwarded);
  // Sets the number of failure domains that the operator has taken out of
  // service, and of endpoints that warm up.
  void SetDomainsOutOfService(std::size_t aDomains);
  void SetWarmingUp(std::size_t aEndpoints);
  // Sets the bytes of bodies and answers that are held.
  void SetMemory(const memory_use& aUse);
  // Counts an event that has no metric of its own, such as
  // "peer_datagram_refused". Event names must be constants in the program, so
  // that the number of label values is bounded.
  void OnEvent(std::string_view aEvent);

  // Counts bytes of control traffic by purpose: "platform", "peers" or "load".
  // Counts payload only, without transport overhead.
  void OnControlBytes(std::string_view aPath, std::size_t aBytes);

  // Sets the requests held now, by pool. Pools not listed are set to zero.
  void SetHeld(const std::map<pool_name, held_requests>& aByPool);

  // Returns all metrics in Prometheus text format. The configuration and source
  // revisions come first, so that a reader that keeps only the beginning of the
  // page still has them.
  std::string Page() const;

private:
  struct families;
  std::unique_ptr<families> mFamilies;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_METRICS_H_
