// For tests and measurements: a network of `membership` objects in virtual
// time, which delays, loses, repeats and reorders datagrams, cuts sides off
// from each other, and pauses, kills and restarts members.
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
  // Shares of datagrams, 0 to 1.
  double mLost = 0;
  double mRepeated = 0;
  // Arrive up to two seconds late.
  double mLate = 0;

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
    // Datagrams pass between nodes of one side only.
    int mSide = 0;
    std::uint64_t mEpoch = 1;
    // Arrived while paused.
    std::vector<gossip_message> mInbox;
    // Every action but datagrams, with its time.
    std::vector<std::pair<time_point, membership_action>> mActions;
    // Since when the node runs undisturbed.
    time_point mSteadySince{};
  };

  fake_network(const link_quality& aQuality, std::uint64_t aSeed)
    : mQuality(aQuality)
    , mRandom(aSeed)
  {
  }

  // Sees each datagram that leaves a node; returns what arrives.
  std::function<std::optional<gossip_message>(const instance_name& aFrom,
                                              const send_datagram&)>
    mCarry;
  membership_settings mSettings;

  void Add(const std::string& aName, const std::string& aDomain)
  {
    const instance_name name(aName);
    node& added = mNodes[name];
    added.mInfo = { name, domain_name(aDomain), "127.0.0.1:" + aName, false };
    Start(added);
    ScheduleTick(name);
  }

  // Every node that runs gets the list of all of them now.
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
    node& gone = At(aName);
    gone.mRunning = false;
    gone.mInbox.clear();
  }

  // A new process under the same name, with no memory.
  void Restart(const std::string& aName)
  {
    node& again = At(aName);
    ++again.mEpoch;
    again.mRunning = true;
    again.mPaused = false;
    Start(again);
    Apply(again, again.mCore->OnInstances(mList, mNow));
  }

  void Pause(const std::string& aName) { At(aName).mPaused = true; }

  void Resume(const std::string& aName)
  {
    node& woken = At(aName);
    woken.mPaused = false;
    woken.mSteadySince = mNow;
    // What waited in the socket comes before the next tick.
    for (const gossip_message& each : std::exchange(woken.mInbox, {})) {
      Apply(woken, woken.mCore->OnMessage(each, mNow));
    }
  }

  void SetSide(const std::string& aName, int aSide)
  {
    At(aName).mSide = aSide;
    for (auto& [name, each] : mNodes) {
      each.mSteadySince = mNow;
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

  // Runs until `aDone` holds; nothing when it doesn't within `aLimit`.
  template<class predicate>
  std::optional<duration> RunTill(predicate aDone, duration aLimit)
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
        Carry(aFrom, *datagram);
      } else {
        aFrom.mActions.emplace_back(mNow, each);
      }
    }
  }

  membership& Core(const std::string& aName) { return *At(aName).mCore; }
  node& At(const std::string& aName) { return mNodes.at(instance_name(aName)); }
  std::map<instance_name, node>& Nodes() { return mNodes; }
  time_point Now() const { return mNow; }

  // Whether `aOne` holds `aOther` for alive.
  bool Sees(const node& aOne, const node& aOther) const
  {
    const auto found = aOne.mCore->Find(aOther.mInfo.mName);
    return found && found->mStatus != member_status::kRemoved;
  }

private:
  struct event
  {
    time_point mAt;
    std::uint64_t mOrder = 0;
    instance_name mTo;
    // A tick where there is none.
    std::shared_ptr<const gossip_message> mMessage;

    // std::priority_queue gives the largest first.
    friend bool operator<(const event& aLeft, const event& aRight)
    {
      return std::pair(aRight.mAt, aRight.mOrder) <
             std::pair(aLeft.mAt, aLeft.mOrder);
    }
  };

  void Start(node& aNode)
  {
    aNode.mCore = std::make_unique<membership>(
      mSettings, aNode.mInfo, aNode.mEpoch, mRandom());
    aNode.mInbox.clear();
    aNode.mSteadySince = mNow;
  }

  void ScheduleTick(const instance_name& aName)
  {
    mEvents.push({ mNow + Milliseconds(100), ++mOrder, aName, nullptr });
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

  bool Happens(double aShare)
  {
    return std::uniform_real_distribution<double>()(mRandom) < aShare;
  }

  void Carry(const node& aFrom, const send_datagram& aDatagram)
  {
    const auto carried = mCarry ? mCarry(aFrom.mInfo.mName, aDatagram)
                                : std::optional(aDatagram.mMessage);
    const auto to = mNodes.find(aDatagram.mTo);
    if (!carried || to == mNodes.end() || to->second.mSide != aFrom.mSide ||
        Happens(mQuality.mLost)) {
      return;
    }
    const auto message = std::make_shared<const gossip_message>(*carried);
    const int copies = Happens(mQuality.mRepeated) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      const std::int64_t longest = Happens(mQuality.mLate) ? 2'000'000 : 2'000;
      const auto delay = std::chrono::microseconds(
        std::uniform_int_distribution<std::int64_t>(200, longest)(mRandom));
      mEvents.push({ mNow + delay, ++mOrder, aDatagram.mTo, message });
    }
  }

  link_quality mQuality;
  std::mt19937_64 mRandom;
  time_point mNow{ Seconds(1000) };
  std::uint64_t mOrder = 0;
  instance_list mList;
  std::map<instance_name, node> mNodes;
  std::priority_queue<event> mEvents;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_TESTING_FAKE_NETWORK_H_
