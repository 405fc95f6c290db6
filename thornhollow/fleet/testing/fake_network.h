// For tests and measurements: a network of `membership` objects in virtual time
// that delays, drops, duplicates and reorders datagrams, partitions nodes, and
// pauses, kills and restarts members.
//
//   fake_network network(link_quality{}, seed);
//   network.Add("a", "hall");
//   network.PublishList();
//   network.RunFor(Seconds(5));
//
#ifndef THORNHOLLOW_FLEET_TESTING_FAKE_NETWORK_H_
#define THORNHOLLOW_FLEET_TESTING_FAKE_NETWORK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "thornhollow/fleet/membership.h"

namespace thornhollow {

struct link_quality
{
  // Fractions of datagrams that are lost or duplicated, 0 to 1.
  double mLossRate = 0;
  double mDuplicationRate = 0;
  // Fraction of datagrams that are delayed by up to two seconds, 0 to 1.
  double mDelayRate = 0;

  friend bool operator==(const link_quality&, const link_quality&) = default;
};

class fake_network
{
public:
  struct node
  {
    listed_instance mInfo;
    std::unique_ptr<membership> mCore;
    bool mRunning = true;
    bool mPaused = false;
    // Datagrams are delivered only between nodes of the same partition.
    int mPartition = 0;
    std::uint64_t mEpoch = 1;
    // Datagrams that arrived while the node was paused.
    std::vector<gossip_message> mInbox;
    // All actions that the node returned except datagrams, with the time of
    // each.
    std::vector<std::pair<time_point, membership_action>> mActions;
    // Point in time since which the node has run without an injected fault.
    time_point mStableSince{};
  };

  fake_network(const link_quality& aQuality, std::uint64_t aSeed)
    : mLinkQuality(aQuality)
    , mRandom(aSeed)
  {
  }

  // Called with each datagram that a node sends; returns the message to deliver
  // instead, or nothing to drop the datagram.
  std::function<std::optional<gossip_message>(const instance_name& aFrom,
                                              const send_datagram&)>
    mIntercept;
  membership_settings mSettings;

  void Add(const std::string& aName, const std::string& aDomain)
  {
    const instance_name name(aName);
    node& added = mNodes[name];
    added.mInfo = { name, domain_name(aDomain), "127.0.0.1:" + aName, false };
    Start(added);
    ScheduleTick(name);
  }

  // Delivers the list of all running nodes to each running node that is not
  // paused.
  void PublishList()
  {
    ++mList.mVersion;
    mList.mInstances.clear();
    for (const auto& [name, each] : mNodes) {
      if (each.mRunning) {
        mList.mInstances.push_back(each.mInfo);
      }
    }
    for (auto& [name, each] : mNodes) {
      if (each.mRunning && !each.mPaused) {
        Apply(each, each.mCore->OnInstances(mList, mNow));
      }
    }
  }

  void Kill(const std::string& aName)
  {
    node& killed = At(aName);
    killed.mRunning = false;
    killed.mInbox.clear();
  }

  // Starts a new process under the same name, without the state of the previous
  // one.
  void Restart(const std::string& aName)
  {
    node& restarted = At(aName);
    ++restarted.mEpoch;
    restarted.mRunning = true;
    restarted.mPaused = false;
    Start(restarted);
    Apply(restarted, restarted.mCore->OnInstances(mList, mNow));
  }

  void Pause(const std::string& aName) { At(aName).mPaused = true; }

  void Resume(const std::string& aName)
  {
    node& resumed = At(aName);
    resumed.mPaused = false;
    resumed.mStableSince = mNow;
    // Datagrams queued in the socket are handled before the next tick.
    for (const gossip_message& each : std::exchange(resumed.mInbox, {})) {
      Apply(resumed, resumed.mCore->OnMessage(each, mNow));
    }
  }

  void SetPartition(const std::string& aName, int aPartition)
  {
    At(aName).mPartition = aPartition;
    for (auto& [name, each] : mNodes) {
      each.mStableSince = mNow;
    }
  }

  void RunFor(duration aLength) { RunUntil(mNow + aLength); }

  void RunUntil(time_point aEnd)
  {
    while (!mEvents.empty() && mEvents.top().mAt <= aEnd) {
      const event next = mEvents.top();
      mEvents.pop();
      mNow = next.mAt;
      Handle(next);
    }
    mNow = aEnd;
  }

  // Runs until `aDone` returns true and returns the time taken, or nothing if
  // `aDone` does not return true within `aLimit`.
  template<class predicate>
  std::optional<duration> RunUntilHolds(predicate aDone, duration aLimit)
  {
    const time_point start = mNow;
    while (!aDone()) {
      if (mNow - start >= aLimit) {
        return std::nullopt;
      }
      RunFor(Milliseconds(1));
    }
    return mNow - start;
  }

  void Apply(node& aFrom, const membership_actions& aActions)
  {
    for (const membership_action& each : aActions) {
      if (const auto* datagram = std::get_if<send_datagram>(&each)) {
        Transmit(aFrom, *datagram);
      } else {
        aFrom.mActions.emplace_back(mNow, each);
      }
    }
  }

  membership& Core(const std::string& aName) { return *At(aName).mCore; }
  node& At(const std::string& aName) { return mNodes.at(instance_name(aName)); }
  std::map<instance_name, node>& Nodes() { return mNodes; }
  time_point Now() const { return mNow; }

  // Whether `aOne` lists `aOther` as a member that is not removed.
  bool Sees(const node& aOne, const node& aOther) const
  {
    const auto found = aOne.mCore->Find(aOther.mInfo.mName);
    return found && found->mStatus != member_status::kRemoved;
  }

private:
  struct event
  {
    time_point mAt;
    std::uint64_t mSequence = 0;
    instance_name mTo;
    // Message that arrives with this event; null if the event is a tick.
    std::shared_ptr<const gossip_message> mMessage;

    // std::priority_queue returns the largest element first.
    friend bool operator<(const event& aLeft, const event& aRight)
    {
      return std::pair(aRight.mAt, aRight.mSequence) <
             std::pair(aLeft.mAt, aLeft.mSequence);
    }
  };

  void Start(node& aNode)
  {
    aNode.mCore = std::make_unique<membership>(
      mSettings, aNode.mInfo, aNode.mEpoch, mRandom());
    aNode.mInbox.clear();
    aNode.mStableSince = mNow;
  }

  void ScheduleTick(const instance_name& aName)
  {
    mEvents.push({ mNow + Milliseconds(100), ++mSequence, aName, nullptr });
  }

  void Handle(const event& aEvent)
  {
    node& to = mNodes.at(aEvent.mTo);
    if (!aEvent.mMessage) {
      ScheduleTick(aEvent.mTo);
      if (to.mRunning && !to.mPaused) {
        Apply(to, to.mCore->Tick(mNow));
      }
    } else if (to.mRunning && to.mPaused) {
      to.mInbox.push_back(*aEvent.mMessage);
    } else if (to.mRunning) {
      Apply(to, to.mCore->OnMessage(*aEvent.mMessage, mNow));
    }
  }

  bool WithProbability(double aProbability)
  {
    return std::uniform_real_distribution<double>()(mRandom) < aProbability;
  }

  void Transmit(const node& aFrom, const send_datagram& aDatagram)
  {
    const auto carried = mIntercept ? mIntercept(aFrom.mInfo.mName, aDatagram)
                                    : std::optional(aDatagram.mMessage);
    const auto to = mNodes.find(aDatagram.mTo);
    if (!carried || to == mNodes.end() ||
        to->second.mPartition != aFrom.mPartition ||
        WithProbability(mLinkQuality.mLossRate)) {
      return;
    }
    const auto message = std::make_shared<const gossip_message>(*carried);
    const int copies = WithProbability(mLinkQuality.mDuplicationRate) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      const std::int64_t maxDelay =
        WithProbability(mLinkQuality.mDelayRate) ? 2'000'000 : 2'000;
      const auto delay = std::chrono::microseconds(
        std::uniform_int_distribution<std::int64_t>(200, maxDelay)(mRandom));
      mEvents.push({ mNow + delay, ++mSequence, aDatagram.mTo, message });
    }
  }

  link_quality mLinkQuality;
  std::mt19937_64 mRandom;
  time_point mNow{ Seconds(1000) };
  std::uint64_t mSequence = 0;
  instance_list mList;
  std::map<instance_name, node> mNodes;
  std::priority_queue<event> mEvents;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_TESTING_FAKE_NETWORK_H_
