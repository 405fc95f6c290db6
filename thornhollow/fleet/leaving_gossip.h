// Spreads among all instances which endpoints said in an answer that they
// leave.
//
//   leaving_gossip gossip(leaving_gossip_settings{}, seed);
//   gossip.OnNew(process);
//   for (const auto& each : gossip.Due(peers, now)) { Send(each); }
//
// Guards against requests that other instances send to a leaving endpoint while
// the source's list doesn't tell: only the instance that got the answer would
// know.
//
// What is new is sent to a few random peers at once and in one further round,
// and each receiver to which it is new does the same. Two rounds to eight peers
// reach a fleet of 420 in a few hops. Messages are sent only when something is
// new, not with each answer that repeats the word.
#ifndef THORNHOLLOW_FLEET_LEAVING_GOSSIP_H_
#define THORNHOLLOW_FLEET_LEAVING_GOSSIP_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "thornhollow/base/endpoint_hash.h"
#include "thornhollow/base/time.h"

namespace thornhollow {

struct leaving_gossip_settings
{
  // Peers that receive a message in each round, and rounds.
  std::size_t mFanout = 8;
  int mRounds = 2;
  // Maximum number of processes in a message, which fits a datagram.
  std::size_t mMaxProcesses = 60;
  // Minimum time between two rounds, in which news gather.
  duration mMinInterval = Milliseconds(20);

  friend bool operator==(const leaving_gossip_settings&,
                         const leaving_gossip_settings&) = default;
};

// One message and the addresses to send it to.
struct outgoing_leaving
{
  std::vector<std::string> mTo;
  std::vector<endpoint_process_hash> mProcesses;

  friend bool operator==(const outgoing_leaving&,
                         const outgoing_leaving&) = default;
};

class leaving_gossip
{
public:
  leaving_gossip(const leaving_gossip_settings& aSettings, std::uint64_t aSeed);

  // It was not known before that the process leaves.
  void OnNew(endpoint_process_hash aProcess);
  // Returns the messages that are due. To be called after `OnNew` and every 100
  // ms.
  std::vector<outgoing_leaving> Due(const std::vector<std::string>& aPeers,
                                    time_point aNow);

private:
  struct news
  {
    endpoint_process_hash mProcess = 0;
    int mRoundsLeft = 0;
  };

  leaving_gossip_settings mSettings;
  std::mt19937_64 mRandom;
  std::vector<news> mNews;
  time_point mNextAt{};
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_LEAVING_GOSSIP_H_
