#include <doctest/doctest.h>

#include "thornhollow/policy/admission/connection_limits.h"

namespace thornhollow {
namespace {

class processes
{
protected:
  static process_limits With(std::uint32_t aMegabytes,
                             std::size_t aDescriptors,
                             std::size_t aConnections = 2'048)
  {
    return { aMegabytes, aDescriptors, aConnections, true };
  }

  // Descriptors of all connections at a time, the ones being closed included.
  static std::size_t Open(const connection_limits& aLimits)
  {
    const auto listener = [](std::size_t aServed) {
      return aServed == 0 ? 0 : aServed + MaxClosing(aServed);
    };
    return listener(aLimits.mCallers) + listener(aLimits.mForwarded) +
           2 * listener(aLimits.mOperators) + aLimits.mPeers +
           aLimits.mIdlePeers + aLimits.mToEndpoints;
  }
};

// Guards against listeners that together take all descriptors.
TEST_CASE_FIXTURE(processes,
                  "connection_limits: any descriptors, some are left for files")
{
  for (const std::size_t all :
       { 256U, 512U, 1'024U, 2'875U, 4'100U, 20'000U }) {
    const connection_limits limits = ConnectionLimits(With(1'024, all, 65'535));
    CAPTURE(all);
    CHECK(Open(limits) + all / 20 <= all);
    CHECK(limits.mCallers >= all / 5);
  }
}

// Guards against connections whose sum takes the process over its memory.
TEST_CASE_FIXTURE(processes,
                  "connection_limits: little memory, connections fit into it")
{
  for (const std::uint32_t megabytes : { 100U, 120U, 260U, 1'024U }) {
    const connection_limits limits =
      ConnectionLimits(With(megabytes, 20'000, 65'535));
    const std::uint64_t served = limits.mCallers + limits.mForwarded;
    CAPTURE(megabytes);
    CHECK(served * 30'000 + 16'000'000 <= megabytes * 250'000ULL);
    CHECK(limits.mCallerSocketBytes + limits.mForwardedSocketBytes <=
          megabytes * 100'000ULL);
  }
}

TEST_CASE_FIXTURE(processes,
                  "connection_limits: a small machine, more than its callers "
                  "have open are taken")
{
  const connection_limits limits = ConnectionLimits(With(260, 4'100));
  CHECK(limits.mCallers >= 1'000);
  CHECK(limits.mForwarded >= 100);
  CHECK(limits.mOperators == 64);
  CHECK(limits.mPeers == 256);
}

TEST_CASE_FIXTURE(processes,
                  "connection_limits: enough of all, the setting decides")
{
  const connection_limits limits = ConnectionLimits(With(4'000, 20'000, 2'048));
  CHECK(limits.mCallers + limits.mForwarded == 2'048);
}

// Guards against connections that are in use and give way to a crowd.
TEST_CASE("connection: others wait, it gives way only when it isn't in use")
{
  const duration idle = Seconds(15);
  CHECK(MayGiveWay(quiet_state::kSilent, duration::zero(), idle));
  CHECK_FALSE(MayGiveWay(quiet_state::kInHeader, Milliseconds(900), idle));
  CHECK(MayGiveWay(quiet_state::kInHeader, Seconds(1), idle));
  CHECK_FALSE(MayGiveWay(quiet_state::kIdle, Milliseconds(11'900), idle));
  CHECK(MayGiveWay(quiet_state::kIdle, Milliseconds(12'100), idle));
}

// Guards against room that is kept by a body that doesn't come.
TEST_CASE("body: others wait for room, a slow one loses its own")
{
  CHECK_FALSE(ComesTooSlowly(0, Milliseconds(900)));
  CHECK(ComesTooSlowly(0, Seconds(1)));
  CHECK(ComesTooSlowly(20'000, Seconds(2)));
  CHECK_FALSE(ComesTooSlowly(200'000, Seconds(2)));
}

// Guards against bytes that lie in the sockets of a crowd.
TEST_CASE("sockets: over their room, those with the most bytes are closed")
{
  CHECK(OverRoom({ 10, 50, 20, 50 }, 130).empty());
  CHECK(OverRoom({ 10, 60, 20, 50 }, 85) == std::vector<std::size_t>{ 1 });
  CHECK(OverRoom({ 10, 60, 20, 50 }, 20).size() == 3);
}

} // namespace
} // namespace thornhollow
