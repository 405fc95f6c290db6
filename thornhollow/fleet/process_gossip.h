// Spreads among all instances news about processes of endpoints that one of
// them heard from the process itself.
//
//   process_gossip gossip(process_gossip_settings{}, seed);
//   gossip.OnNew(process);
//   for (const auto& each : gossip.Due(peers, now)) { Send(each); }
//
// Guards against requests that other instances send to an endpoint, for example
// a leaving one, while only the instance that got its answer knows better.
//
// News is sent to a few random peers at once and in one further round, and each
// receiver to which it is new does the same. Two rounds to eight peers reach a
// fleet of 420 in a few hops. Messages are sent only when something is new, not
// with each answer that says the same again.
#ifndef THORNHOLLOW_FLEET_PROCESS_GOSSIP_H_
#define THORNHOLLOW_FLEET_PROCESS_GOSSIP_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "thornhollow/base/endpoint_hash.h"
#include "thornhollow/base/time.h"

namespace thornhollow {

struct process_gossip_settings
{
  // Peers that receive a message in each round, and rounds.
  std::size_t mFanout = 8;
  int mRounds = 2;
  // Maximum number of processes in a message, which fits a datagram.
  std::size_t mMaxProcesses = 60;
  // Minimum time between two rounds, in which news gather.
  duration mMinInterval = Milliseconds(20);

  friend bool operator==(const process_gossip_settings&,
                         const process_gossip_settings&) = default;
};

// One message and the addresses to send it to.
struct outgoing_processes
{
  std::vector<std::string> mTo;
  std::vector<endpoint_process_hash> mProcesses;

  friend bool operator==(const outgoing_processes&,
                         const outgoing_processes&) = default;
};

class process_gossip
{
public:
  process_gossip(const process_gossip_settings& aSettings, std::uint64_t aSeed);

  // Something about the process was not known before.
  void OnNew(endpoint_process_hash aProcess);
  // Returns the messages that are due. To be called after `OnNew` and every 100
  // ms.
  std::vector<outgoing_processes> Due(const std::vector<std::string>& aPeers,
                                      time_point aNow);

private:
  struct news
  {
    endpoint_process_hash mProcess = 0;
    int mRoundsLeft = 0;
  };

  process_gossip_settings mSettings;
  std::mt19937_64 mRandom;
  std::vector<news> mNews;
  time_point mNextAt{};
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_PROCESS_GOSSIP_H_
