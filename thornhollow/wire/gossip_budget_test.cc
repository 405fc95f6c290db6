// Bounds on what membership costs, in virtual time; the figures behind them are
// in docs/design/membership.md.

#include <string>

#include <doctest/doctest.h>

#include "thornhollow/fleet/testing/fake_network.h"
#include "thornhollow/wire/testing/sealed_wire.h"

namespace thornhollow {
namespace {

struct measured_fleet
{
  static constexpr int kDomains = 2;
  static constexpr int kSeconds = 10;

  // Bytes a second at one member, both directions.
  static double BytesASecond(int aMembers)
  {
    fake_network network(link_quality{ 0.01, 0, 0 }, 1);
    sealed_wire wire;
    network.mIntercept = [&wire](const auto& aFrom, const auto& aDatagram) {
      return wire.Carry(aFrom, aDatagram);
    };
    for (int domain = 0; domain < kDomains; ++domain) {
      for (int member = 0; member < aMembers; ++member) {
        network.Add("entry-" + std::to_string(domain) + "-" +
                      std::to_string(member),
                    "hall-" + std::to_string(domain));
      }
    }
    network.PublishList();
    // Past the news of who joined, which take a minute at 64 members.
    network.RunFor(Seconds(90));
    const std::uint64_t before = wire.mBytes;
    network.RunFor(Seconds(kSeconds));
    CHECK(wire.mLargest <= kMaxDatagramBytes);
    return 2 * static_cast<double>(wire.mBytes - before) /
           (kSeconds * kDomains * aMembers);
  }
};

TEST_CASE_FIXTURE(measured_fleet, "gossip/domain_of_38/stays_in_its_budget")
{
  // A third of the 18 KB/s that all control may take.
  const double bytes = BytesASecond(38);
  MESSAGE("38 members: ", bytes, " bytes/s");
  CHECK(bytes < 6'000);
}

TEST_CASE_FIXTURE(measured_fleet, "gossip/more_members/cost_one_no_more")
{
  // Were traffic to grow with the members, 420 daemons would spend their whole
  // budget on hearing of each other.
  const double few = BytesASecond(16);
  const double many = BytesASecond(64);
  MESSAGE("16 members: ", few, ", 64 members: ", many, " bytes/s");
  CHECK(many < 1.1 * few);
}

} // namespace
} // namespace thornhollow
