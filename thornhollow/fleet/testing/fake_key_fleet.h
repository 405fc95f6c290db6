// For tests: daemons with a `key_holder` and a `key_witness` each, a lagging
// list and a faulty network in virtual time, and a count of how often each key
// was run.
//
//   fake_key_fleet fleet(link_quality{}, seed);
//   fleet.Start(5);
//   fleet.Submit(0, key);
//   fleet.RunFor(Seconds(1));
//   CHECK(fleet.Runs(key) == 1);
#ifndef THORNHOLLOW_FLEET_TESTING_FAKE_KEY_FLEET_H_
#define THORNHOLLOW_FLEET_TESTING_FAKE_KEY_FLEET_H_

#include <algorithm>
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

#include "thornhollow/fleet/key_holder.h"
#include "thornhollow/fleet/key_witness.h"
#include "thornhollow/fleet/testing/fake_network.h"

namespace thornhollow {

// Parts of the guard that a test may switch off, to show that it needs them.
struct key_guard
{
  // Ask witnesses at all.
  bool mClaims = true;
  // A grant counts only if a witness vouches.
  bool mVouching = true;
  // Claim again before sending when paused.
  bool mBeforeSend = true;

  friend bool operator==(const key_guard&, const key_guard&) = default;
};

class fake_key_fleet
{
public:
  // How a submission ended.
  struct outcome
  {
    claim_key mKey = 0;
    std::optional<error_kind> mRefused;
    bool mRan = false;
  };

  fake_key_fleet(const link_quality& aQuality, std::uint64_t aSeed)
    : mQuality(aQuality)
    , mRandom(aSeed)
  {
  }

  key_claim_settings mSettings{ .mLifetime = Seconds(60),
                                .mViewLag = Seconds(5) };
  key_guard mGuard;
  // Between a grant and the moment when the daemon sends.
  duration mLongestWait = Milliseconds(500);
  // Domains over which the daemons are spread.
  std::size_t mDomains = 1;
  // What a run takes.
  duration mRunLength = Milliseconds(700);

  // Starts the daemons and lets their witnesses grow old enough
  // to vouch.
  void Start(int aCount)
  {
    for (int number = 0; number < aCount; ++number) {
      mNodes.emplace_back();
      Launch(static_cast<std::size_t>(number), "n" + std::to_string(number));
      Schedule(Milliseconds(100), [this, number] { Tick(number); });
    }
    Publish();
    RunFor(mSettings.mLifetime + 3 * mSettings.mViewLag);
  }

  std::size_t Submit(std::size_t aNode,
                     claim_key aKey,
                     std::uint64_t aFingerprint = 1)
  {
    mOutcomes.push_back({ aKey, std::nullopt, false });
    const submission id = mOutcomes.size() - 1;
    WhenAwake(aNode, [this, aNode, id, aKey, aFingerprint] {
      if (!mGuard.mClaims) {
        Run(aNode, id);
        return;
      }
      Apply(aNode, mNodes[aNode].mHolder->Submit(id, aKey, aFingerprint, mNow));
    });
    return id;
  }

  void Pause(std::size_t aNode, duration aFor)
  {
    if (mNodes[aNode].mPaused) {
      return;
    }
    mNodes[aNode].mPaused = true;
    const std::uint64_t epoch = mNodes[aNode].mEpoch;
    Schedule(aFor, [this, aNode, epoch] {
      if (mNodes[aNode].mEpoch == epoch) {
        Wake(aNode);
      }
    });
  }

  // The process dies and another one starts under its name, with no memory.
  void Restart(std::size_t aNode)
  {
    Launch(aNode, mNodes[aNode].mName);
    GiveView(aNode);
  }

  // The instance is replaced by one of another name; the list tells later.
  void Replace(std::size_t aNode)
  {
    Launch(aNode, "r" + std::to_string(++mReplaced));
    Publish();
  }

  void CutOff(std::size_t aNode, duration aFor)
  {
    mNodes[aNode].mSide = 1;
    Schedule(aFor, [this, aNode] { mNodes[aNode].mSide = 0; });
  }

  void RunFor(duration aLength)
  {
    const time_point end = mNow + aLength;
    while (!mEvents.empty() && mEvents.top().mAt <= end) {
      const event next = mEvents.top();
      mEvents.pop();
      mNow = next.mAt;
      next.mDo();
    }
    mNow = end;
  }

  int Runs(claim_key aKey) const
  {
    const auto found = mRuns.find(aKey);
    return found == mRuns.end() ? 0 : found->second;
  }

  // Messages sent to witnesses.
  std::uint64_t Exchanges() const { return mExchanges; }

  // The shortest time between two runs of one key, if any key ran twice.
  std::optional<duration> ClosestRuns() const { return mClosestRuns; }

  const outcome& At(std::size_t aSubmission) const
  {
    return mOutcomes[aSubmission];
  }
  key_witness& Witness(std::size_t aNode) { return *mNodes[aNode].mWitness; }
  // The nodes that witness `aKey`, highest rank first.
  std::vector<std::size_t> WitnessNodes(claim_key aKey) const
  {
    std::vector<std::size_t> out;
    for (const auto& name : WitnessesOf(aKey, mView, mSettings.mWitnesses)) {
      if (const auto index = IndexOf(name)) {
        out.push_back(*index);
      }
    }
    return out;
  }
  std::size_t size() const { return mNodes.size(); }

private:
  struct node
  {
    std::string mName;
    std::uint64_t mEpoch = 0;
    bool mPaused = false;
    int mSide = 0;
    std::unique_ptr<key_holder> mHolder;
    std::unique_ptr<key_witness> mWitness;
    // Submissions whose `BeforeSend` was asked.
    std::map<submission, bool> mSending;
    // Happens on waking.
    std::vector<std::function<void()>> mInbox;
  };

  struct event
  {
    time_point mAt;
    std::uint64_t mOrder = 0;
    std::function<void()> mDo;

    friend bool operator<(const event& aLeft, const event& aRight)
    {
      return std::pair(aRight.mAt, aRight.mOrder) <
             std::pair(aLeft.mAt, aLeft.mOrder);
    }
  };

  void Schedule(duration aAfter, std::function<void()> aDo)
  {
    mEvents.push({ mNow + aAfter, ++mOrder, std::move(aDo) });
  }

  void Launch(std::size_t aNode, const std::string& aName)
  {
    node& started = mNodes[aNode];
    started.mName = aName;
    ++started.mEpoch;
    started.mPaused = false;
    started.mInbox.clear();
    started.mSending.clear();
    const instance_name self(aName);
    started.mHolder = std::make_unique<key_holder>(
      mSettings, claim_holder{ self, started.mEpoch });
    started.mWitness = std::make_unique<key_witness>(mSettings, self, mNow);
  }

  void WhenAwake(std::size_t aNode, std::function<void()> aDo)
  {
    if (mNodes[aNode].mPaused) {
      mNodes[aNode].mInbox.push_back(std::move(aDo));
    } else {
      aDo();
    }
  }

  void Wake(std::size_t aNode)
  {
    mNodes[aNode].mPaused = false;
    for (const auto& each : std::exchange(mNodes[aNode].mInbox, {})) {
      each();
    }
    // A daemon that was paused reads the list again.
    GiveView(aNode);
  }

  void Tick(int aNumber)
  {
    const auto index = static_cast<std::size_t>(aNumber);
    Schedule(Milliseconds(100), [this, aNumber] { Tick(aNumber); });
    if (!mNodes[index].mPaused) {
      mNodes[index].mWitness->Tick(mNow);
      Apply(index, mNodes[index].mHolder->Tick(mNow));
    }
  }

  domain_name DomainOf(std::size_t aNode) const
  {
    return domain_name("hall-" + std::to_string(aNode % mDomains));
  }

  void Publish()
  {
    ++mView.mList.mVersion;
    mView.mDomains.clear();
    for (std::size_t domain = 0; domain < mDomains; ++domain) {
      mView.mDomains.push_back(DomainOf(domain));
    }
    mView.mList.mInstances.clear();
    for (std::size_t index = 0; index < mNodes.size(); ++index) {
      mView.mList.mInstances.push_back(
        { instance_name(mNodes[index].mName), DomainOf(index), "", false });
    }
    for (std::size_t index = 0; index < mNodes.size(); ++index) {
      GiveView(index);
    }
  }

  // The list of now, at a daemon of now, some time later.
  void GiveView(std::size_t aNode)
  {
    const auto lag = std::uniform_int_distribution<std::int64_t>(
      0, ToMilliseconds(mSettings.mViewLag))(mRandom);
    const std::uint64_t epoch = mNodes[aNode].mEpoch;
    Schedule(Milliseconds(lag), [this, aNode, epoch, view = mView] {
      if (mNodes[aNode].mEpoch == epoch && !mNodes[aNode].mPaused) {
        mNodes[aNode].mWitness->OnView(view, mNow);
        mNodes[aNode].mHolder->OnView(view, mNow);
      }
    });
  }

  std::optional<std::size_t> IndexOf(const instance_name& aName) const
  {
    const auto found = std::ranges::find(mNodes, aName.Text(), &node::mName);
    if (found == mNodes.end()) {
      return std::nullopt;
    }
    return static_cast<std::size_t>(found - mNodes.begin());
  }

  void Apply(std::size_t aNode, const key_actions& aActions)
  {
    for (const key_action& each : aActions) {
      if (const auto* ask = std::get_if<ask_witness>(&each)) {
        Carry(aNode, ask->mTo, ask->mRequest);
      } else if (const auto* tell = std::get_if<tell_witness>(&each)) {
        Carry(aNode, tell->mTo, tell->mRequest);
      } else if (const auto* run = std::get_if<run_key>(&each)) {
        OnRun(aNode, run->mSubmission);
      } else if (const auto* refused = std::get_if<refuse_key>(&each)) {
        mOutcomes[refused->mSubmission].mRefused = refused->mKind;
      }
    }
  }

  void OnRun(std::size_t aNode, submission aSubmission)
  {
    node& at = mNodes[aNode];
    if (at.mSending[aSubmission]) {
      Run(aNode, aSubmission);
      return;
    }
    at.mSending[aSubmission] = true;
    const auto wait = std::uniform_int_distribution<std::int64_t>(
      0, ToMilliseconds(mLongestWait))(mRandom);
    Later(aNode, Milliseconds(wait), [this, aNode, aSubmission] {
      if (mGuard.mBeforeSend) {
        Apply(aNode, mNodes[aNode].mHolder->BeforeSend(aSubmission, mNow));
      } else {
        Run(aNode, aSubmission);
      }
    });
  }

  // Once the daemon is awake, if the process is still the same.
  void Later(std::size_t aNode, duration aAfter, std::function<void()> aDo)
  {
    const std::uint64_t epoch = mNodes[aNode].mEpoch;
    Schedule(aAfter, [this, aNode, epoch, act = std::move(aDo)] {
      if (mNodes[aNode].mEpoch == epoch) {
        WhenAwake(aNode, act);
      }
    });
  }

  void Run(std::size_t aNode, submission aSubmission)
  {
    const claim_key key = mOutcomes[aSubmission].mKey;
    if (++mRuns[key] > 1) {
      const duration apart = mNow - mLastRun[key];
      mClosestRuns = std::min(apart, mClosestRuns.value_or(apart));
    }
    mLastRun[key] = mNow;
    mOutcomes[aSubmission].mRan = true;
    Later(aNode, mRunLength, [this, aNode, aSubmission] {
      Apply(aNode,
            mNodes[aNode].mHolder->OnEnded(aSubmission, ran::kYes, mNow));
    });
  }

  bool Happens(double aShare)
  {
    return std::uniform_real_distribution<double>()(mRandom) < aShare;
  }

  // Calls `aArrived` at the node once for each copy that arrives.
  void Transfer(std::size_t aFrom,
                std::size_t aTo,
                const std::function<void()>& aArrived)
  {
    if (mNodes[aFrom].mSide != mNodes[aTo].mSide || Happens(mQuality.mLost)) {
      return;
    }
    const int copies = Happens(mQuality.mRepeated) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      const std::int64_t longest = Happens(mQuality.mLate) ? 2'000 : 2;
      Later(aTo,
            Milliseconds(
              std::uniform_int_distribution<std::int64_t>(0, longest)(mRandom)),
            aArrived);
    }
  }

  void Carry(std::size_t aFrom,
             const instance_name& aTo,
             const claim_request& aRequest)
  {
    ++mExchanges;
    const auto to = IndexOf(aTo);
    if (!to) {
      return;
    }
    Transfer(aFrom, *to, [this, aFrom, to = *to, aRequest] {
      claim_answer answer = mNodes[to].mWitness->OnRequest(aRequest, mNow);
      answer.mVouches = answer.mVouches || !mGuard.mVouching;
      Transfer(to, aFrom, [this, aFrom, answer, aRequest] {
        if (aRequest.mKind == claim_kind::kClaim) {
          Apply(aFrom, mNodes[aFrom].mHolder->OnAnswer(answer, mNow));
        } else {
          mNodes[aFrom].mHolder->OnTold(answer.mWitness, aRequest);
        }
      });
    });
  }

  link_quality mQuality;
  std::mt19937_64 mRandom;
  time_point mNow{ Seconds(1000) };
  std::uint64_t mOrder = 0;
  int mReplaced = 0;
  std::uint64_t mExchanges = 0;
  claim_view mView;
  std::vector<node> mNodes;
  std::vector<outcome> mOutcomes;
  std::map<claim_key, int> mRuns;
  std::map<claim_key, time_point> mLastRun;
  std::optional<duration> mClosestRuns;
  std::priority_queue<event> mEvents;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_TESTING_FAKE_KEY_FLEET_H_
