// What one instance counts, as Prometheus metrics. Every refusal kind and every
// reason for another attempt has its counter from the start, at zero.
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

namespace thornhollow {

// Requests of one pool that an instance holds.
struct held_requests
{
  // All that have no final answer yet.
  std::size_t mInFlight = 0;
  // Those of them that no endpoint works on.
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
  // The request ended with this error as its answer.
  void OnRefused(error_kind aKind);
  // Another attempt is made because the last one ended so.
  void OnRetry(error_kind aReason);
  void OnFirstToken(const class_name& aClass, duration aSinceArrival);
  void OnTokenGap(const class_name& aClass, duration aSinceLast);
  // Tokens computed for an answer that nobody received whole.
  void OnWastedTokens(std::uint64_t aTokens);
  void OnConfiguration(std::uint64_t aVersion);
  void OnConfigurationRefused();
  // What is held of a source's items: up to which of its revisions, and how
  // long ago the source itself last answered; nothing where it never did.
  void SetSource(std::string_view aWhat,
                 std::uint64_t aRevision,
                 std::optional<duration> aAnswerAge);
  // Any other event worth a count, such as "peer_datagram_refused". Names are
  // constants of the program, so the set is bounded.
  void OnEvent(std::string_view aEvent);

  // Bytes that this instance exchanged for control, by what for: "platform",
  // "peers" or "load". Payload, without the transport's own bytes.
  void OnControlBytes(std::string_view aPath, std::size_t aBytes);

  // What is held now, by pool; a pool that isn't named holds nothing.
  void SetHeld(const std::map<pool_name, held_requests>& aByPool);

  // Prometheus' text format. What the instance believes of its configuration
  // stands first: a reader that keeps only a page's beginning has it.
  std::string Page() const;

private:
  struct families;
  std::unique_ptr<families> mFamilies;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_METRICS_H_
