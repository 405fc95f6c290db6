// Measures in virtual time what membership costs a daemon: bytes and datagrams
// a second, processor time with codec and seal, how soon a dead member is
// removed by all, and how soon a new configuration version is known to all.
//
//   gossip-cost --members=4,16,38,100 --seconds=60 --seed=1
//
// Each datagram is encoded, sealed, opened and decoded as a daemon would do it.
// The processor time includes the fake network and is thus an upper bound.
#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include <fmt/core.h>
#include <gflags/gflags.h>

#include "thornhollow/fleet/testing/fake_network.h"
#include "thornhollow/wire/codec.h"
#include "thornhollow/wire/seal.h"
#include "thornhollow/wire/testing/sealed_wire.h"

DEFINE_string(members, "4,16,38,100", "members of the domain, one run each");
DEFINE_int32(domains, 11, "domains, each with as many members");
DEFINE_int32(seconds, 60, "virtual seconds measured");
DEFINE_uint64(seed, 1, "seed of every random choice");
DEFINE_double(lost, 0.01, "share of datagrams lost");

namespace thornhollow {
namespace {

std::string
NameOf(int aDomain, int aMember)
{
  return fmt::format("entry-{}-{}", aDomain, aMember);
}

struct fleet_run
{
  fake_network mNetwork{ link_quality{ FLAGS_lost, 0, 0 }, FLAGS_seed };
  sealed_wire mWire;
  int mMembers;

  explicit fleet_run(int aMembers)
    : mMembers(aMembers)
  {
    mNetwork.mIntercept = [this](const instance_name& aFrom,
                                 const send_datagram& aDatagram) {
      return mWire.Carry(aFrom, aDatagram);
    };
    for (int domain = 0; domain < FLAGS_domains; ++domain) {
      for (int member = 0; member < aMembers; ++member) {
        mNetwork.Add(NameOf(domain, member), fmt::format("hall-{}", domain));
      }
    }
    mNetwork.PublishList();
    mNetwork.RunFor(Seconds(20));
  }

  // Everyone sheds in this many pools, as at letter 1's peak.
  void SetPressures()
  {
    for (auto& [name, node] : mNetwork.Nodes()) {
      for (int pool = 0; pool < 24; ++pool) {
        node.mCore->OnPressure(
          { pool_name(fmt::format("model-{}", pool)), 3, Milliseconds(80), {} },
          mNetwork.Now());
      }
    }
  }

  void MeasureCost()
  {
    const std::uint64_t bytes = mWire.mBytes;
    const std::uint64_t datagrams = mWire.mDatagrams;
    const std::clock_t start = std::clock();
    for (int second = 0; second < FLAGS_seconds; ++second) {
      SetPressures();
      mNetwork.RunFor(Seconds(1));
    }
    const double spent =
      static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    const double memberSeconds =
      static_cast<double>(mNetwork.Nodes().size()) * FLAGS_seconds;
    const auto sent = static_cast<double>(mWire.mBytes - bytes);
    const auto count = static_cast<double>(mWire.mDatagrams - datagrams);
    // What one sends another gets: both directions count for a member.
    fmt::print("{:>7} {:>9.0f} {:>11.2f} {:>9} {:>10.3f}",
               mMembers,
               2 * sent / memberSeconds,
               2 * count / memberSeconds,
               mWire.mLargest,
               100 * spent / memberSeconds);
  }

  void MeasureConfiguration()
  {
    auto& first = mNetwork.At(NameOf(0, 0));
    mNetwork.Apply(first, first.mCore->OnConfiguration(7, mNetwork.Now()));
    // A daemon that hears of it fetches the parts and has it in force; the
    // fetch is counted with 20 ms.
    std::map<instance_name, time_point> due;
    const auto taken = mNetwork.RunUntilHolds(
      [&] {
        Fetch(due);
        return std::ranges::all_of(mNetwork.Nodes(), [](const auto& aNode) {
          return aNode.second.mCore->ConfigurationVersion() == 7;
        });
      },
      Seconds(30));
    Print(taken);
  }

  void Fetch(std::map<instance_name, time_point>& aDue)
  {
    for (auto& [name, node] : mNetwork.Nodes()) {
      for (const auto& [at, action] : node.mActions) {
        if (std::holds_alternative<newer_configuration>(action)) {
          aDue.try_emplace(name, at + Milliseconds(20));
        }
      }
      if (const auto found = aDue.find(name);
          found != aDue.end() && mNetwork.Now() >= found->second) {
        mNetwork.Apply(node, node.mCore->OnConfiguration(7, mNetwork.Now()));
      }
    }
  }

  void MeasureDetection()
  {
    const std::string dead = NameOf(0, 1);
    mNetwork.Kill(dead);
    const auto taken = mNetwork.RunUntilHolds(
      [&] {
        return std::ranges::none_of(mNetwork.Nodes(), [&](const auto& aNode) {
          return aNode.second.mRunning &&
                 mNetwork.Sees(aNode.second, mNetwork.At(dead));
        });
      },
      Seconds(60));
    Print(taken);
    fmt::print("\n");
  }

  static void Print(const std::optional<duration>& aTaken)
  {
    if (aTaken) {
      fmt::print(" {:>11}", ToMilliseconds(*aTaken));
    } else {
      fmt::print(" {:>11}", "never");
    }
  }
};

void
Measure(int aMembers)
{
  fleet_run run(aMembers);
  run.MeasureCost();
  run.MeasureConfiguration();
  run.MeasureDetection();
}

// Payload bytes of one submission with an idempotency key: each of three
// witnesses is asked and told the end, and answers both.
void
MeasureClaim()
{
  const instance_name self(NameOf(0, 0));
  const instance_name peer(NameOf(0, 1));
  constexpr std::uint64_t kEpoch = 1'764'710'000'000'000;
  sealer seal("a key for measurements only", self, kEpoch);
  const claim_request request{
    claim_kind::kClaim,
    0x8000'0000'0000'0001,
    0x8000'0000'0000'0002,
    { self, kEpoch },
    100'000,
    1,
    { peer, instance_name(NameOf(0, 2)), instance_name(NameOf(0, 3)) }
  };
  const claim_answer answer{ request.mKey, request.mClaim,          1,
                             peer,         claim_verdict::kGranted, true };
  constexpr std::size_t kHeadBytes = 4;
  const std::size_t asked = seal.Seal(peer, EncodeStream(request)).size();
  const std::size_t answered = seal.Seal(self, EncodeStream(answer)).size();
  fmt::print("claim request {} bytes, answer {} bytes, sealed; {} bytes a "
             "submission with a key\n",
             asked,
             answered,
             6 * (asked + answered + 2 * kHeadBytes));
}

} // namespace
} // namespace thornhollow

int
main(int argc, char** argv)
{
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  fmt::print("{} domains, {} virtual seconds, {} of datagrams lost\n",
             FLAGS_domains,
             FLAGS_seconds,
             FLAGS_lost);
  fmt::print("{:>7} {:>9} {:>11} {:>9} {:>10} {:>11} {:>11}\n",
             "members",
             "bytes/s",
             "datagrams/s",
             "largest",
             "core %",
             "config ms",
             "removal ms");
  std::stringstream members(FLAGS_members);
  for (std::string each; std::getline(members, each, ',');) {
    thornhollow::Measure(std::atoi(each.c_str()));
  }
  thornhollow::MeasureClaim();
  return 0;
}
