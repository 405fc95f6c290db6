// For tests: simulates instances with a `key_holder` and a `key_witness` each,
// a list of instances that lags behind and a faulty network in virtual time,
// and counts how often the request of each key was run.
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

// Protections that a test may disable to show that each one is needed.
struct key_protections
{
  // Whether keys are claimed from witnesses at all.
  bool mClaims = true;
  // Whether at least one witness must vouch for a granted key.
  bool mVouching = true;
  // Whether the claim is checked again before sending, as a pause may have
  // expired it.
  bool mBeforeSend = true;

  friend bool operator==(const key_protections&,
                         const key_protections&) = default;
};

class fake_key_fleet
{
public:
  // Outcome of a submission.
  struct outcome
  {
    claim_key mKey = 0;
    std::optional<error_kind> mRefused;
    bool mRan = false;
  };

  fake_key_fleet(const link_quality& aQuality, std::uint64_t aSeed)
    : mLinkQuality(aQuality)
    , mRandom(aSeed)
  {
  }

  key_claim_settings mSettings{ .mLifetime = Seconds(60),
                                .mViewLag = Seconds(5) };
  key_protections mProtections;
  // Maximum time between the grant of a key and sending the request.
  duration mMaxSendDelay = Milliseconds(500);
  // Number of domains across which the instances are spread.
  std::size_t mDomains = 1;
  // Time that an endpoint takes to run a request.
  duration mRunDuration = Milliseconds(700);

  // Starts the instances and runs until their witnesses have been up long
  // enough to vouch.
  void Start(int aCount)
  {
    for (int number = 0; number < aCount; ++number) {
      mNodes.emplace_back();
      StartProcess(static_cast<std::size_t>(number),
                   "n" + std::to_string(number));
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
    const submission_id id = mOutcomes.size() - 1;
    RunWhenAwake(aNode, [this, aNode, id, aKey, aFingerprint] {
      if (!mProtections.mClaims) {
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

  // Ends the node's process and starts another process under the same name,
  // without the keys that the first process remembered.
  void Restart(std::size_t aNode)
  {
    StartProcess(aNode, mNodes[aNode].mName);
    DeliverView(aNode);
  }

  // Replaces the instance by one with a different name, which the other
  // instances find in the list after a lag.
  void Replace(std::size_t aNode)
  {
    StartProcess(aNode, "r" + std::to_string(++mReplaced));
    Publish();
  }

  void Isolate(std::size_t aNode, duration aFor)
  {
    mNodes[aNode].mPartition = 1;
    Schedule(aFor, [this, aNode] { mNodes[aNode].mPartition = 0; });
  }

  void RunFor(duration aLength)
  {
    const time_point end = mNow + aLength;
    while (!mEvents.empty() && mEvents.top().mAt <= end) {
      const event next = mEvents.top();
      mEvents.pop();
      mNow = next.mAt;
      next.mCallback();
    }
    mNow = end;
  }

  int Runs(claim_key aKey) const
  {
    const auto found = mRuns.find(aKey);
    return found == mRuns.end() ? 0 : found->second;
  }

  // Number of requests sent to witnesses so far.
  std::uint64_t RequestsSent() const { return mRequestsSent; }

  // The shortest time between two runs of one key, if any key ran twice.
  std::optional<duration> MinRunInterval() const { return mMinRunInterval; }

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
    int mPartition = 0;
    std::unique_ptr<key_holder> mHolder;
    std::unique_ptr<key_witness> mWitness;
    // Submissions whose `BeforeSend` has been called.
    std::map<submission_id, bool> mBeforeSendCalled;
    // Callbacks to run when the paused instance resumes.
    std::vector<std::function<void()>> mInbox;
  };

  struct event
  {
    time_point mAt;
    std::uint64_t mSequence = 0;
    std::function<void()> mCallback;

    friend bool operator<(const event& aLeft, const event& aRight)
    {
      return std::pair(aRight.mAt, aRight.mSequence) <
             std::pair(aLeft.mAt, aLeft.mSequence);
    }
  };

  void Schedule(duration aAfter, std::function<void()> aCallback)
  {
    mEvents.push({ mNow + aAfter, ++mSequence, std::move(aCallback) });
  }

  void StartProcess(std::size_t aNode, const std::string& aName)
  {
    node& started = mNodes[aNode];
    started.mName = aName;
    ++started.mEpoch;
    started.mPaused = false;
    started.mInbox.clear();
    started.mBeforeSendCalled.clear();
    const instance_name self(aName);
    started.mHolder = std::make_unique<key_holder>(
      mSettings, claim_holder{ self, started.mEpoch });
    started.mWitness = std::make_unique<key_witness>(mSettings, self, mNow);
  }

  void RunWhenAwake(std::size_t aNode, std::function<void()> aCallback)
  {
    if (mNodes[aNode].mPaused) {
      mNodes[aNode].mInbox.push_back(std::move(aCallback));
    } else {
      aCallback();
    }
  }

  void Wake(std::size_t aNode)
  {
    mNodes[aNode].mPaused = false;
    for (const auto& each : std::exchange(mNodes[aNode].mInbox, {})) {
      each();
    }
    // An instance that was paused reads the list again.
    DeliverView(aNode);
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
      DeliverView(index);
    }
  }

  // Delivers the current list of instances to the node after a random lag,
  // provided that, after the lag, the node still runs the same process and is
  // not paused.
  void DeliverView(std::size_t aNode)
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
      if (const auto* request = std::get_if<request_grant>(&each)) {
        SendRequest(aNode, request->mTo, request->mRequest);
      } else if (const auto* notification =
                   std::get_if<notify_witness>(&each)) {
        SendRequest(aNode, notification->mTo, notification->mRequest);
      } else if (const auto* run = std::get_if<run_submission>(&each)) {
        OnRun(aNode, run->mSubmission);
      } else if (const auto* refused = std::get_if<refuse_submission>(&each)) {
        mOutcomes[refused->mSubmission].mRefused = refused->mKind;
      }
    }
  }

  void OnRun(std::size_t aNode, submission_id aSubmission)
  {
    node& sender = mNodes[aNode];
    if (sender.mBeforeSendCalled[aSubmission]) {
      Run(aNode, aSubmission);
      return;
    }
    sender.mBeforeSendCalled[aSubmission] = true;
    const auto wait = std::uniform_int_distribution<std::int64_t>(
      0, ToMilliseconds(mMaxSendDelay))(mRandom);
    ScheduleOnProcess(aNode, Milliseconds(wait), [this, aNode, aSubmission] {
      if (mProtections.mBeforeSend) {
        Apply(aNode, mNodes[aNode].mHolder->BeforeSend(aSubmission, mNow));
      } else {
        Run(aNode, aSubmission);
      }
    });
  }

  // Runs the callback after the delay or, if the instance is paused at the end
  // of the delay, when it resumes, and only if the node still runs the same
  // process.
  void ScheduleOnProcess(std::size_t aNode,
                         duration aAfter,
                         std::function<void()> aCallback)
  {
    const std::uint64_t epoch = mNodes[aNode].mEpoch;
    Schedule(aAfter, [this, aNode, epoch, act = std::move(aCallback)] {
      if (mNodes[aNode].mEpoch == epoch) {
        RunWhenAwake(aNode, act);
      }
    });
  }

  void Run(std::size_t aNode, submission_id aSubmission)
  {
    const claim_key key = mOutcomes[aSubmission].mKey;
    if (++mRuns[key] > 1) {
      const duration apart = mNow - mLastRun[key];
      mMinRunInterval = std::min(apart, mMinRunInterval.value_or(apart));
    }
    mLastRun[key] = mNow;
    mOutcomes[aSubmission].mRan = true;
    ScheduleOnProcess(aNode, mRunDuration, [this, aNode, aSubmission] {
      Apply(aNode,
            mNodes[aNode].mHolder->OnEnded(aSubmission, ran::kYes, mNow));
    });
  }

  bool WithProbability(double aProbability)
  {
    return std::uniform_real_distribution<double>()(mRandom) < aProbability;
  }

  // Calls `aOnArrival` at the receiving node once for each copy of the message
  // that arrives: none if it is lost, two if it is duplicated.
  void Transmit(std::size_t aFrom,
                std::size_t aTo,
                const std::function<void()>& aOnArrival)
  {
    if (mNodes[aFrom].mPartition != mNodes[aTo].mPartition ||
        WithProbability(mLinkQuality.mLossRate)) {
      return;
    }
    const int copies = WithProbability(mLinkQuality.mDuplicationRate) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      const std::int64_t maxDelay =
        WithProbability(mLinkQuality.mDelayRate) ? 2'000 : 2;
      ScheduleOnProcess(
        aTo,
        Milliseconds(
          std::uniform_int_distribution<std::int64_t>(0, maxDelay)(mRandom)),
        aOnArrival);
    }
  }

  void SendRequest(std::size_t aFrom,
                   const instance_name& aTo,
                   const claim_request& aRequest)
  {
    ++mRequestsSent;
    const auto to = IndexOf(aTo);
    if (!to) {
      return;
    }
    Transmit(aFrom, *to, [this, aFrom, to = *to, aRequest] {
      claim_answer answer = mNodes[to].mWitness->OnRequest(aRequest, mNow);
      answer.mVouches = answer.mVouches || !mProtections.mVouching;
      Transmit(to, aFrom, [this, aFrom, answer, aRequest] {
        if (aRequest.mKind == claim_kind::kClaim) {
          Apply(aFrom, mNodes[aFrom].mHolder->OnAnswer(answer, mNow));
        } else {
          mNodes[aFrom].mHolder->OnNotified(answer.mWitness, aRequest);
        }
      });
    });
  }

  link_quality mLinkQuality;
  std::mt19937_64 mRandom;
  time_point mNow{ Seconds(1000) };
  std::uint64_t mSequence = 0;
  int mReplaced = 0;
  std::uint64_t mRequestsSent = 0;
  claim_view mView;
  std::vector<node> mNodes;
  std::vector<outcome> mOutcomes;
  std::map<claim_key, int> mRuns;
  std::map<claim_key, time_point> mLastRun;
  std::optional<duration> mMinRunInterval;
  std::priority_queue<event> mEvents;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_TESTING_FAKE_KEY_FLEET_H_
