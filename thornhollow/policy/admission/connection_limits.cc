#include "thornhollow/policy/admission/connection_limits.h"

#include <algorithm>
#include <numeric>

namespace thornhollow {
namespace {

constexpr std::uint64_t kBytesPerMegabyte = 1'000'000;
// Of a process's memory, in percent: what bodies and answers leave
// (memory_account.cc), but for a part for what lies in sockets.
constexpr std::uint64_t kConnectionsPercent = 25;
constexpr std::uint64_t kSocketsPercent = 10;
// The program and its tables, before any connection.
constexpr std::uint64_t kProgramBytes = 16'000'000;
// A connection with a request in progress: session, buffers, request, attempt.
constexpr std::uint64_t kConnectionBytes = 30'000;
constexpr std::size_t kFewestConnections = 64;
// The part, as its inverse, that is for requests which instances forward.
constexpr std::size_t kForwardedPart = 8;

// Descriptors for files and the process itself: a twentieth, at least these.
constexpr std::size_t kFilesPart = 20;
constexpr std::size_t kFewestFiles = 16;
// For its listeners and calls to the source.
constexpr std::size_t kOwnDescriptors = 16;
constexpr std::size_t kFewestPeers = 8;
constexpr std::size_t kMostPeers = 256;
constexpr std::size_t kFewestIdlePeers = 4;
constexpr std::size_t kMostIdlePeers = 64;
constexpr std::size_t kFewestOperators = 8;
constexpr std::size_t kMostOperators = 64;
// Listeners for operators and balancers.
constexpr std::size_t kOperatorListeners = 2;

constexpr std::size_t kFewestClosing = 8;
constexpr std::size_t kMostClosing = 256;
// The part, as its inverse, of the connections that are served, which may be
// closing beside them, and by which connections to endpoints may be more than
// one for each request.
constexpr std::size_t kSparePart = 8;

constexpr duration kHeaderComes = Seconds(1);
constexpr double kReusedPartOfIdleTimeout = 0.8;
constexpr duration kBodyBegins = Seconds(1);
constexpr double kSlowestBodyBytesPerSecond = 16'384;

std::size_t
ConnectionsByMemory(std::uint32_t aMegabytes)
{
  const std::uint64_t bytes =
    aMegabytes * kBytesPerMegabyte * kConnectionsPercent / 100;
  const std::uint64_t left = bytes - std::min(bytes, kProgramBytes);
  return std::max<std::size_t>(left / kConnectionBytes, kFewestConnections);
}

} // namespace

std::size_t
MaxClosing(std::size_t aServed)
{
  return std::clamp(aServed / kSparePart, kFewestClosing, kMostClosing);
}

connection_limits
ConnectionLimits(const process_limits& aProcess)
{
  const std::size_t all = aProcess.mDescriptors;
  connection_limits limits;
  limits.mPeers = std::clamp(all / 16, kFewestPeers, kMostPeers);
  limits.mIdlePeers = std::clamp(all / 32, kFewestIdlePeers, kMostIdlePeers);
  limits.mOperators = std::clamp(all / 32, kFewestOperators, kMostOperators);
  const std::size_t taken =
    std::max(all / kFilesPart, kFewestFiles) + kOwnDescriptors + limits.mPeers +
    limits.mIdlePeers +
    kOperatorListeners * (limits.mOperators + MaxClosing(limits.mOperators));
  const std::size_t left = all - std::min(all, taken);
  // Each one that is served has two descriptors, and those that are closing
  // and spare ones to endpoints come on top.
  const std::size_t byDescriptors = left * kSparePart / (2 * (kSparePart + 1));
  const std::size_t served = std::max<std::size_t>(
    std::min({ aProcess.mMaxConnections,
               byDescriptors,
               ConnectionsByMemory(aProcess.mMemoryMegabytes) }),
    1);
  limits.mForwarded = aProcess.mTakesForwarded
                        ? std::max<std::size_t>(served / kForwardedPart, 1)
                        : 0;
  limits.mCallers = std::max<std::size_t>(served - limits.mForwarded, 1);
  limits.mToEndpoints = served + served / kSparePart;
  const std::uint64_t sockets =
    aProcess.mMemoryMegabytes * kBytesPerMegabyte * kSocketsPercent / 100;
  limits.mForwardedSocketBytes =
    aProcess.mTakesForwarded ? sockets / kForwardedPart : 0;
  limits.mCallerSocketBytes = sockets - limits.mForwardedSocketBytes;
  return limits;
}

bool
MayGiveWay(quiet_state aState, duration aSince, duration aIdleTimeout)
{
  switch (aState) {
    case quiet_state::kSilent:
      return true;
    case quiet_state::kInHeader:
      return aSince >= kHeaderComes;
    case quiet_state::kIdle:
      return ToSeconds(aSince) >=
             ToSeconds(aIdleTimeout) * kReusedPartOfIdleTimeout;
  }
  return false;
}

bool
ComesTooSlowly(std::uint64_t aBytes, duration aSince)
{
  return aSince >= kBodyBegins &&
         static_cast<double>(aBytes) <
           ToSeconds(aSince) * kSlowestBodyBytesPerSecond;
}

std::vector<std::size_t>
OverRoom(const std::vector<std::uint64_t>& aBytes, std::uint64_t aRoom)
{
  std::uint64_t sum =
    std::accumulate(aBytes.begin(), aBytes.end(), std::uint64_t{ 0 });
  std::vector<std::size_t> places(aBytes.size());
  std::iota(places.begin(), places.end(), std::size_t{ 0 });
  std::ranges::sort(places, std::ranges::greater{}, [&](std::size_t aPlace) {
    return aBytes[aPlace];
  });
  std::vector<std::size_t> over;
  for (const std::size_t each : places) {
    if (sum <= aRoom) {
      break;
    }
    sum -= aBytes[each];
    over.push_back(each);
  }
  return over;
}

} // namespace thornhollow
