// Spreads reports of requests that are suspected of ending endpoints among all
// instances.
//
//   crash_gossip gossip(crash_gossip_settings{}, suspects, seed);
//   for (const auto& each : gossip.Due(peers, now)) { Send(each); }
//   for (const auto& each : gossip.OnDigest(from, digest, now)) { Send(each); }
//
// A new item is sent to a few random peers at once and in one further round,
// and each receiver does the same. Two rounds to eight peers reach a fleet of
// 420 in a few hops; the probability that an instance is left out, with one in
// fifty messages lost, is below one in a million.
//
// An instance that has just started, or was cut off, has another digest than
// its peers. Digests stand in the periodic messages between instances; at a
// difference each of the two sends the other what it holds.
#ifndef THORNHOLLOW_FLEET_CRASH_GOSSIP_H_
#define THORNHOLLOW_FLEET_CRASH_GOSSIP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "thornhollow/base/time.h"
#include "thornhollow/policy/suspects/crash_report.h"
#include "thornhollow/policy/suspects/crash_suspects.h"

namespace thornhollow {

struct crash_gossip_settings
{
  // Peers that receive a report in each round.
  std::size_t mFanout = 8;
  // Maximum size of an encoded report, which fits a datagram with its envelope.
  std::size_t mMaxReportBytes = 750;
  // Messages that may be sent at once and, in the long run, per second. In a
  // storm of ends the least important items wait.
  double mMaxBurst = 512;
  double mMessagesPerSecond = 256;
  // Minimum time between two calls of `Due` that return reports, in which items
  // gather.
  duration mMinInterval = Milliseconds(5);
  // Minimum time between two full reports to one peer.
  duration mFullReportInterval = Milliseconds(500);

  friend bool operator==(const crash_gossip_settings&,
                         const crash_gossip_settings&) = default;
};

// One report and the addresses to send it to.
struct outgoing_crash_report
{
  std::vector<std::string> mTo;
  crash_report mReport;

  friend bool operator==(const outgoing_crash_report&,
                         const outgoing_crash_report&) = default;
};

class crash_gossip
{
public:
  // `aSuspects` must outlive the object.
  crash_gossip(const crash_gossip_settings& aSettings,
               crash_suspects& aSuspects,
               std::uint64_t aSeed);

  // Returns the reports that are due. To be called when something new is known
  // and every 100 ms.
  std::vector<outgoing_crash_report> Due(const std::vector<std::string>& aPeers,
                                         time_point aNow);
  // Handles the digest that the instance at `aPeer` holds; returns the reports
  // that the peer needs.
  std::vector<outgoing_crash_report> OnDigest(const std::string& aPeer,
                                              std::uint64_t aDigest,
                                              time_point aNow);

private:
  std::vector<std::string> DrawRecipients(
    const std::vector<std::string>& aPeers);

  crash_gossip_settings mSettings;
  crash_suspects& mSuspects;
  std::mt19937_64 mRandom;
  time_point mNextAt{};
  // Messages that may be sent now, as of `mAllowanceAt`.
  double mAllowance;
  time_point mAllowanceAt{};
  std::size_t mTurn = 0;
  // When each peer may get a full report again.
  std::map<std::string, time_point> mNextFullReport;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_CRASH_GOSSIP_H_
