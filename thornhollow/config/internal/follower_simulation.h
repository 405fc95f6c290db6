// A fleet of config_follower objects in virtual time, with a platform that can
// be down, silent, slow or stale, and links that can be cut. For tests and
// measurements only: one process, no sockets, seeded.
//
//   follower_simulation fleet(seed);
//   fleet.AddDomain("hall", 8);
//   fleet.Publish(1, bundle);
//   fleet.RunFor(Seconds(3));
//
#ifndef THORNHOLLOW_CONFIG_INTERNAL_FOLLOWER_SIMULATION_H_
#define THORNHOLLOW_CONFIG_INTERNAL_FOLLOWER_SIMULATION_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "thornhollow/config/config_follower.h"

namespace thornhollow::internal {

// What a caller of one instance would see of its configuration.
struct followed_state
{
  std::optional<revision> mInForce;
  std::optional<declarations> mDeclared;
  // The highest that was ever in force, restarts included.
  revision mHighest;
  // Whether a revision was ever replaced by a lower one, restarts included.
  bool mReverted = false;
};

struct platform_state
{
  bool mDown = false;
  // Calls get no answer at all.
  bool mSilent = false;
  duration mDelay = Milliseconds(3);
  // Answers with this version, as a replica that lags does.
  std::optional<std::uint64_t> mStaleAt;
  std::uint64_t mVersion = 0;
  std::map<std::uint64_t, std::string> mManifests;
  std::map<std::string, std::string> mParts;
  // Calls by whole second since the start.
  std::map<std::int64_t, std::uint64_t> mCallsBySecond;
};

class follower_simulation
{
public:
  explicit follower_simulation(std::uint64_t aSeed,
                               const follower_settings& aSettings = {})
    : mSettings(aSettings)
    , mRandom(aSeed)
  {
  }
  follower_simulation(const follower_simulation&) = delete;
  follower_simulation& operator=(const follower_simulation&) = delete;

  platform_state mPlatform;
  // Domains without a way to the platform, and pairs of domains without one to
  // each other (both orders).
  std::set<std::string> mCutFromPlatform;
  std::set<std::pair<std::string, std::string>> mCutDomains;

  // Whether gossip carries the age of the platform's word, and whether news is
  // pushed at once.
  bool mAges = true;
  bool mPushes = true;

  time_point Now() const { return mNow; }

  // Instances DOMAIN-0 and up; started together.
  void AddDomain(const std::string& aDomain, std::size_t aCount)
  {
    for (std::size_t each = 0; each < aCount; ++each) {
      auto added = std::make_unique<instance>();
      added->mName = instance_name(aDomain + '-' + std::to_string(each));
      added->mDomain = domain_name(aDomain);
      mByName.emplace(added->mName, added.get());
      mByDomain[added->mDomain].push_back(added.get());
      mInstances.push_back(std::move(added));
    }
    for (auto& each : mInstances) {
      if (each->mFollower == nullptr) {
        StartInstance(*each);
      }
    }
    for (auto& each : mInstances) {
      Apply(*each, each->mFollower->SetMembers(Members(), mNow));
    }
  }

  // Ends an instance and starts it anew, with nothing but its name.
  void Restart(std::size_t aInstance)
  {
    instance& each = *mInstances.at(aInstance);
    ++each.mLife;
    StartInstance(each);
  }

  // From now until then the instance does nothing; then it goes on with what it
  // believed.
  void Pause(std::size_t aInstance, duration aLength)
  {
    mInstances.at(aInstance)->mPausedUntil = mNow + aLength;
  }

  // Publishes parts, then the manifest; without parts, as an operator does who
  // forgets them.
  void Publish(std::uint64_t aVersion,
               const bundle& aBundle,
               bool aParts = true)
  {
    if (aParts) {
      PublishParts(aBundle);
    }
    mPlatform.mVersion = aVersion;
    mPlatform.mManifests[aVersion] = aBundle.mManifest;
    for (auto& waiting : std::exchange(mWatches, {})) {
      Answer(waiting.mInstance, waiting.mLife, waiting.mRead);
    }
  }

  // The platform answers nothing until `mSilent` is taken back; watches that
  // wait there now are never answered, not even then.
  void FallSilent()
  {
    mPlatform.mSilent = true;
    mWatches.clear();
  }

  void PublishParts(const bundle& aBundle)
  {
    for (const bundle_part& part : aBundle.mParts) {
      mPlatform.mParts[part.mDigest] = part.mText;
    }
  }

  void RunFor(duration aLength)
  {
    const time_point end = mNow + aLength;
    while (!mEvents.empty() && mEvents.top().mAt <= end) {
      const event next = mEvents.top();
      mEvents.pop();
      mNow = next.mAt;
      next.mRun();
    }
    mNow = end;
  }

  // Runs until every instance has `aVersion` in force; how long that took, or
  // nothing after `aMost`.
  std::optional<duration> RunUntilInForce(std::uint64_t aVersion,
                                          duration aMost)
  {
    const time_point start = mNow;
    while (!AllInForce(aVersion)) {
      if (mNow - start >= aMost) {
        return std::nullopt;
      }
      RunFor(Milliseconds(5));
    }
    return mNow - start;
  }

  bool AllInForce(std::uint64_t aVersion) const
  {
    return std::ranges::all_of(mInstances, [&](const auto& aEach) {
      return aEach->mState.mInForce &&
             aEach->mState.mInForce->mVersion == aVersion;
    });
  }

  std::size_t size() const { return mInstances.size(); }
  const followed_state& State(std::size_t aInstance) const
  {
    return mInstances.at(aInstance)->mState;
  }
  const config_follower& Follower(std::size_t aInstance) const
  {
    return *mInstances.at(aInstance)->mFollower;
  }
  bool AnyReverted() const
  {
    return std::ranges::any_of(
      mInstances, [](const auto& aEach) { return aEach->mState.mReverted; });
  }

  // Calls that the platform counted from `aFrom` on for `aSeconds`, a second.
  double CallsPerSecond(time_point aFrom, std::int64_t aSeconds) const
  {
    std::uint64_t sum = 0;
    for (const auto& [second, calls] : mPlatform.mCallsBySecond) {
      const std::int64_t from = SecondOf(aFrom);
      sum += second >= from && second < from + aSeconds ? calls : 0;
    }
    return static_cast<double>(sum) / static_cast<double>(aSeconds);
  }

private:
  struct instance
  {
    instance_name mName;
    domain_name mDomain;
    std::unique_ptr<config_follower> mFollower;
    followed_state mState;
    // Verdicts that wait for `put_in_force`.
    std::map<revision, declarations> mJudged;
    time_point mPausedUntil{};
    // Events of an earlier life find nobody.
    std::uint64_t mLife = 0;
    std::optional<time_point> mWake;
  };
  struct event
  {
    time_point mAt{};
    std::uint64_t mOrder = 0;
    std::function<void()> mRun;

    friend bool operator<(const event& aLeft, const event& aRight)
    {
      return std::pair(aLeft.mAt, aLeft.mOrder) >
             std::pair(aRight.mAt, aRight.mOrder);
    }
  };
  struct watch
  {
    instance* mInstance = nullptr;
    std::uint64_t mLife = 0;
    read_manifest mRead;
    time_point mEnds{};
  };

  static constexpr duration kPeerDelay = Milliseconds(2);
  static constexpr duration kVerdictDelay = Milliseconds(50);
  static constexpr duration kGossipPeriod = Milliseconds(1000);
  static constexpr int kPushed = 4;
  static constexpr std::uint64_t kLinkHolders = 2;

  static std::int64_t SecondOf(time_point aWhen)
  {
    return ToMilliseconds(aWhen.time_since_epoch()) / 1000;
  }

  void At(time_point aWhen, std::function<void()> aRun)
  {
    mEvents.push({ aWhen, ++mOrder, std::move(aRun) });
  }

  // Runs `aDo` on the instance after `aDelay`, later where it is paused, never
  // where it was restarted meanwhile.
  void Deliver(instance& aTo,
               duration aDelay,
               std::function<follower_actions(config_follower&)> aDo)
  {
    DeliverTo(&aTo, aTo.mLife, mNow + aDelay, std::move(aDo));
  }
  void DeliverTo(instance* aTo,
                 std::uint64_t aLife,
                 time_point aWhen,
                 std::function<follower_actions(config_follower&)> aDo)
  {
    At(aWhen, [this, aTo, aLife, aDo = std::move(aDo)] {
      if (aTo->mLife != aLife) {
        return;
      }
      if (mNow < aTo->mPausedUntil) {
        DeliverTo(aTo, aLife, aTo->mPausedUntil, aDo);
        return;
      }
      Apply(*aTo, aDo(*aTo->mFollower));
    });
  }

  config_hint HintOf(const instance& aFrom) const
  {
    config_hint hint = aFrom.mFollower->Hint(mNow);
    if (!mAges) {
      hint.mPlatformAge.reset();
    }
    return hint;
  }

  std::vector<follower_member> Members() const
  {
    std::vector<follower_member> members;
    for (const auto& each : mInstances) {
      members.push_back({ each->mName, each->mDomain });
    }
    return members;
  }

  instance* Find(const instance_name& aName)
  {
    const auto found = mByName.find(aName);
    return found == mByName.end() ? nullptr : found->second;
  }

  bool Linked(const instance& aFrom, const instance& aTo) const
  {
    return !mCutDomains.contains({ aFrom.mDomain.Text(), aTo.mDomain.Text() });
  }

  void StartInstance(instance& aEach)
  {
    aEach.mFollower = std::make_unique<config_follower>(
      mSettings, aEach.mName, aEach.mDomain, mRandom());
    aEach.mJudged.clear();
    aEach.mState.mInForce.reset();
    aEach.mState.mDeclared.reset();
    aEach.mWake.reset();
    std::vector<instance_name> peers;
    for (const auto& other : mInstances) {
      if (other->mName != aEach.mName) {
        peers.push_back(other->mName);
      }
    }
    std::ranges::shuffle(peers, mRandom);
    Apply(aEach, aEach.mFollower->SetMembers(Members(), mNow));
    Apply(aEach, aEach.mFollower->Start(peers, mNow));
    Gossip(aEach);
  }

  // As membership does: each period an instance pings one other of its domain,
  // and two of each domain ping one instance of each other domain. The hint
  // rides on the ping and on its answer.
  void Gossip(instance& aEach)
  {
    const duration wait =
      kGossipPeriod + Milliseconds(static_cast<std::int64_t>(mRandom() % 50));
    At(mNow + wait, [this, &aEach, life = aEach.mLife] {
      if (aEach.mLife != life) {
        return;
      }
      if (mNow >= aEach.mPausedUntil) {
        Ping(aEach, AnyOf(aEach.mDomain));
        PingOtherDomains(aEach);
      }
      Gossip(aEach);
    });
  }

  instance& AnyOf(const domain_name& aDomain)
  {
    const auto& all = mByDomain.at(aDomain);
    return *all[mRandom() % all.size()];
  }

  void PingOtherDomains(instance& aEach)
  {
    if (mRandom() % mByDomain.at(aEach.mDomain).size() >= kLinkHolders) {
      return;
    }
    for (const auto& [domain, all] : mByDomain) {
      if (domain != aEach.mDomain) {
        Ping(aEach, AnyOf(domain));
      }
    }
  }

  void Ping(instance& aFrom, instance& aTo)
  {
    if (&aFrom == &aTo || !Linked(aFrom, aTo)) {
      return;
    }
    Tell(aFrom, aTo);
    At(mNow + kPeerDelay, [this, from = &aFrom, to = &aTo] {
      if (mNow >= to->mPausedUntil) {
        Tell(*to, *from);
      }
    });
  }

  void Tell(instance& aFrom, instance& aTo)
  {
    Deliver(aTo,
            kPeerDelay,
            [this, from = aFrom.mName, hint = HintOf(aFrom)](
              config_follower& aFollower) {
              return aFollower.OnHint(from, hint, mNow);
            });
  }

  void Apply(instance& aEach, const follower_actions& aActions)
  {
    for (const follower_action& action : aActions) {
      std::visit([&](const auto& aAction) { Do(aEach, aAction); }, action);
    }
    ScheduleWake(aEach);
  }

  void ScheduleWake(instance& aEach)
  {
    const auto due = aEach.mFollower->NextDue();
    if (!due || (aEach.mWake && *aEach.mWake <= *due && *aEach.mWake > mNow)) {
      return;
    }
    aEach.mWake = std::max(*due, mNow + Milliseconds(1));
    DeliverTo(
      &aEach, aEach.mLife, *aEach.mWake, [this](config_follower& aFollower) {
        return aFollower.Advance(mNow);
      });
  }

  bool PlatformReachable(const instance& aFrom)
  {
    ++mPlatform.mCallsBySecond[SecondOf(mNow)];
    return !mCutFromPlatform.contains(aFrom.mDomain.Text());
  }

  void Do(instance& aEach, const read_manifest& aRead)
  {
    if (!PlatformReachable(aEach) || mPlatform.mSilent) {
      return;
    }
    if (mPlatform.mDown) {
      Deliver(aEach,
              mPlatform.mDelay,
              [this, call = aRead.mCall](config_follower& aFollower) {
                return aFollower.OnManifestRead(call, read_failed{}, mNow);
              });
      return;
    }
    const std::uint64_t shown = mPlatform.mStaleAt.value_or(mPlatform.mVersion);
    if (shown > aRead.mAfter || aRead.mWait == duration::zero()) {
      Answer(&aEach, aEach.mLife, aRead);
      return;
    }
    mWatches.push_back({ &aEach, aEach.mLife, aRead, mNow + aRead.mWait });
    At(mNow + aRead.mWait, [this] {
      for (auto& each : ExtractEnded()) {
        Answer(each.mInstance, each.mLife, each.mRead);
      }
    });
  }

  std::vector<watch> ExtractEnded()
  {
    std::vector<watch> ended;
    std::erase_if(mWatches, [&](const watch& aWatch) {
      if (aWatch.mEnds <= mNow) {
        ended.push_back(aWatch);
        return true;
      }
      return false;
    });
    return ended;
  }

  void Answer(instance* aTo, std::uint64_t aLife, const read_manifest& aRead)
  {
    if (mPlatform.mSilent || mPlatform.mDown ||
        mCutFromPlatform.contains(aTo->mDomain.Text())) {
      return;
    }
    const std::uint64_t shown = mPlatform.mStaleAt.value_or(mPlatform.mVersion);
    manifest_answer answer = manifest_unchanged{ shown };
    if (shown > aRead.mAfter) {
      answer = manifest_text{ shown, mPlatform.mManifests.at(shown) };
    }
    DeliverTo(aTo,
              aLife,
              mNow + mPlatform.mDelay,
              [this, call = aRead.mCall, answer](config_follower& aFollower) {
                return aFollower.OnManifestRead(call, answer, mNow);
              });
  }

  void Do(instance& aEach, const fetch_bytes& aFetch)
  {
    std::optional<std::string> bytes;
    duration delay = mPlatform.mDelay;
    if (aFetch.mPeer) {
      delay = kPeerDelay;
      instance* peer = Find(*aFetch.mPeer);
      if (!Linked(aEach, *peer) || mNow < peer->mPausedUntil) {
        return;
      }
      if (const bytes_ptr held = peer->mFollower->Held(aFetch.mDigest)) {
        bytes = held->mText;
      }
    } else {
      if (!PlatformReachable(aEach) || mPlatform.mSilent) {
        return;
      }
      const auto part = mPlatform.mParts.find(aFetch.mDigest);
      if (!mPlatform.mDown && part != mPlatform.mParts.end()) {
        bytes = part->second;
      }
    }
    Deliver(aEach,
            delay,
            [this, call = aFetch.mCall, bytes](config_follower& aFollower) {
              return aFollower.OnFetched(call, bytes, mNow);
            });
  }

  void Do(instance& aEach, const ask_peer& aAsk)
  {
    instance* peer = Find(aAsk.mPeer);
    if (!Linked(aEach, *peer) || mNow < peer->mPausedUntil ||
        peer->mFollower == nullptr) {
      return;
    }
    Deliver(aEach,
            kPeerDelay,
            [this, call = aAsk.mCall, word = peer->mFollower->Word(mNow)](
              config_follower& aFollower) {
              return aFollower.OnPeerAnswered(call, word, mNow);
            });
  }

  // Membership pushes news to a few other members of the domain at once.
  void Do(instance& aEach, const announce_version& /*aAnnounce*/)
  {
    if (!mPushes) {
      return;
    }
    std::vector<instance*> others = mByDomain.at(aEach.mDomain);
    std::erase(others, &aEach);
    std::vector<instance*> told;
    std::ranges::sample(others, std::back_inserter(told), kPushed, mRandom);
    for (instance* const each : told) {
      Ping(aEach, *each);
    }
    PingOtherDomains(aEach);
  }

  void Do(instance& aEach, const judge_bundle& aJudge)
  {
    auto verdict = ReadBundle(
      aJudge.mManifest, [&](std::string_view aDigest) -> const std::string* {
        for (const bytes_ptr& part : aJudge.mParts) {
          const auto at = static_cast<std::size_t>(&part - &aJudge.mParts[0]);
          if (aJudge.mManifest.mParts[at] == aDigest) {
            return &part->mText;
          }
        }
        return nullptr;
      });
    faults found;
    if (auto* refused = std::get_if<faults>(&verdict)) {
      found = std::move(*refused);
    } else {
      aEach.mJudged[aJudge.mRevision] = std::get<declarations>(verdict);
    }
    Deliver(aEach,
            kVerdictDelay,
            [this, name = aJudge.mRevision, found](config_follower& aFollower) {
              return aFollower.OnVerdict(name, found, mNow);
            });
  }

  void Do(instance& aEach, const put_in_force& aPut)
  {
    followed_state& state = aEach.mState;
    state.mReverted |= aPut.mRevision < state.mHighest;
    state.mHighest = std::max(state.mHighest, aPut.mRevision);
    state.mInForce = aPut.mRevision;
    state.mDeclared = aEach.mJudged.at(aPut.mRevision);
    aEach.mJudged.clear();
  }

  static void Do(instance& /*aEach*/, const report_refused& /*aReport*/) {}
  static void Do(instance& /*aEach*/, const report_lower& /*aReport*/) {}

  follower_settings mSettings;
  std::mt19937_64 mRandom;
  time_point mNow{};
  std::uint64_t mOrder = 0;
  std::priority_queue<event> mEvents;
  std::vector<std::unique_ptr<instance>> mInstances;
  std::unordered_map<instance_name, instance*> mByName;
  std::map<domain_name, std::vector<instance*>> mByDomain;
  std::vector<watch> mWatches;
};

} // namespace thornhollow::internal

#endif // THORNHOLLOW_CONFIG_INTERNAL_FOLLOWER_SIMULATION_H_
