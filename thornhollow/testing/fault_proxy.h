// A TCP proxy that breaks connections on command, for tests of what happens
// between two processes. Control paths, on an address of their own:
//
//   POST /test/mode  {"fault":"silence","direction":"both","delay_ms":0,
//                     "after_bytes":100}; replaces what was on before
//   GET /test/connections  {"accepted":n,"open":n,"up_bytes":n,"down_bytes":n}
//
// "up" is from the connecting side to the target.
#ifndef THORNHOLLOW_TESTING_FAULT_PROXY_H_
#define THORNHOLLOW_TESTING_FAULT_PROXY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "thornhollow/base/result.h"
#include "thornhollow/testing/http_server.h"

namespace thornhollow::testing {

enum class proxy_fault : std::uint8_t
{
  kPass,
  // Closes connections in order, or with a reset; new ones likewise.
  kCut,
  kReset,
  // Holds bytes back, also on new connections, until the fault is lifted.
  kFreeze,
  // Swallows bytes and closes on the connections that are open now, for good;
  // new connections pass.
  kSilence,
  // Closes the listening socket; open connections pass.
  kRefuse,
};

enum class proxy_direction : std::uint8_t
{
  kUp,
  kDown,
};

inline constexpr std::size_t kProxyDirections = 2;

struct proxy_mode
{
  proxy_fault mFault = proxy_fault::kPass;
  // Directions that a freeze or a silence applies to, by proxy_direction.
  std::array<bool, kProxyDirections> mApplies{ true, true };
  // Added to each piece that passes, in both directions.
  std::uint32_t mDelayMs = 0;
  // The fault strikes each connection when so many bytes have passed in one of
  // its directions, rather than at once.
  std::optional<std::uint64_t> mAfterBytes;

  friend bool operator==(const proxy_mode&, const proxy_mode&) = default;
};

// Reads the JSON of POST /test/mode. Fails with kMalformedRequest on anything
// but an object with known fields and values.
result<proxy_mode>
ReadProxyMode(std::string_view aJson);

class fault_proxy
{
public:
  // Connects to `aTarget`, "ip:port", for each connection that it accepts.
  fault_proxy(event_loop& aLoop, const std::string& aTarget);
  ~fault_proxy();
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;

  // Listens on "ip:port" and returns the address in use. Fails with kInternal
  // where it or the target's address can't be used.
  result<std::string> Listen(const std::string& aAddress);
  void SetMode(const proxy_mode& aMode);
  http_handler ControlHandler();

  struct state;

private:
  std::shared_ptr<state> mState;
};

} // namespace thornhollow::testing

#endif // THORNHOLLOW_TESTING_FAULT_PROXY_H_
