// For tests: an instance of a fleet in virtual time, its pending transfers, and
// how transfers share the links.
//
//   AdvanceTransfers(instances, bytesPerStep,
//                    [](const auto& aTo, const auto& aCopy) {
//     return ... the instance that sends the copy, or null ...;
//   });
#ifndef THORNHOLLOW_FLEET_TESTING_MODELLED_INSTANCE_H_
#define THORNHOLLOW_FLEET_TESTING_MODELLED_INSTANCE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "thornhollow/discovery/endpoint_roster.h"
#include "thornhollow/discovery/item_mirror.h"
#include "thornhollow/discovery/pending_calls.h"
#include "thornhollow/discovery/source_follower.h"
#include "thornhollow/fleet/copy_requests.h"
#include "thornhollow/fleet/large_copy_limiter.h"
#include "thornhollow/fleet/relay_peers.h"
#include "thornhollow/fleet/testing/silent_source.h"

namespace thornhollow {

// A peer's answer to a request for a copy, with the contents as of the request.
struct pending_copy
{
  std::string mFrom;
  std::size_t mSubscriptionIndex = 0;
  std::uint64_t mAfter = 0;
  std::vector<item_change> mChanges;
  std::optional<std::vector<source_item>> mItems;
  std::uint64_t mAt = 0;
  std::optional<duration> mSourceBackFor;
  time_point mRequestedAt{};
  time_point mLastBytes{};
  double mBytesLeft = 0;
};

// A call to the source that has not been answered.
struct outstanding_call
{
  source_call mCall;
  time_point mSent{};
  // Whether the call was pending while the source was silent and will therefore
  // never be answered.
  bool mLost = false;
  // `mBytesLeft`: the bytes of the answer that have not arrived yet; set when
  // the answer starts to arrive. `mAnswerRevision`: the revision up to which
  // the answer reports changes.
  std::optional<double> mBytesLeft = std::nullopt;
  std::uint64_t mAnswerRevision = 0;
  time_point mLastBytes{};
};

// How an instance follows one type of items.
struct modelled_subscription
{
  source_item_type mType{};
  source_follower mFollower;
  item_mirror mMirror;
  time_point mSendAt{};
  bool mSendPending = true;
  // Whether no call is pending or scheduled because other instances read the
  // source for this one.
  bool mIdle = false;
  // Concurrent calls to the source, ordered by their start, the newest last.
  std::vector<outstanding_call> mOutstanding = {};
  pending_calls mRound = pending_calls{};
  // Calls to the source of earlier rounds of calls. Answers to these calls are
  // ignored but still take up the link.
  std::vector<outstanding_call> mAbandoned = {};
};

struct modelled_instance
{
  std::string mAddress;
  domain_name mDomain;
  int mDomainIndex = 0;
  std::unique_ptr<relay_peers> mPeers;
  copy_requests mRequests{ copy_request_settings{} };
  std::vector<modelled_subscription> mSubscriptions;
  time_point mSourceFailsUntil{};
  time_point mNextTick{};
  // When the instance stops, and when it continues if it was only suspended.
  time_point mStopsAt = time_point::max();
  time_point mWakesAt = time_point::max();
  time_point mBlockedFrom{};
  time_point mBlockedUntil{};
  endpoint_roster mRoster{ roster_settings{} };
  // `mReads`: whether the instance is a reader. `mFollowsSource`: whether it
  // asks the source, as a reader or for another reason.
  bool mReads = true;
  bool mFollowsSource = true;
  std::vector<pending_copy> mCopies = {};
  large_copy_limiter mCopyLimiter = large_copy_limiter{};
  // Numbers of concurrent transfers on the instance's link, to the instance and
  // from it.
  std::size_t mIncoming = 0;
  std::size_t mOutgoing = 0;
};

// When the source last answered this instance.
inline std::optional<time_point>
SourceAnswered(const modelled_instance& aInstance)
{
  return std::max(aInstance.mSubscriptions[0].mFollower.LastAnswer(),
                  aInstance.mSubscriptions[1].mFollower.LastAnswer());
}

// Reports to the roster when the source last answered this instance or,
// according to its peers, another instance.
inline void
ReportSourceAnswers(modelled_instance& aInstance)
{
  for (const auto& each :
       { SourceAnswered(aInstance), aInstance.mPeers->SourceAnswered() }) {
    if (each) {
      aInstance.mRoster.OnSourceAnswered(*each);
    }
  }
}

// Calls `aVisit` for each transfer with the receiving instance, the sending one
// (null for the source) and the bytes left. `aFindSender` returns the sender of
// a copy, or null while nothing of it arrives.
template<class find_sender, class visitor>
void
ForEachTransfer(std::vector<modelled_instance>& aInstances,
                const find_sender& aFindSender,
                const visitor& aVisit)
{
  for (modelled_instance& each : aInstances) {
    for (modelled_subscription& subscription : each.mSubscriptions) {
      for (std::vector<outstanding_call>* calls :
           { &subscription.mOutstanding, &subscription.mAbandoned }) {
        for (outstanding_call& call : *calls) {
          if (!call.mLost && call.mBytesLeft && *call.mBytesLeft > 0) {
            aVisit(each, nullptr, *call.mBytesLeft);
          }
        }
      }
    }
    for (pending_copy& copy : each.mCopies) {
      modelled_instance* const from = aFindSender(each, copy);
      if (from != nullptr && copy.mBytesLeft > 0) {
        aVisit(each, from, copy.mBytesLeft);
      }
    }
  }
}

// Advances all transfers by one step. The transfers on an instance's link in
// one direction share its capacity equally. The rate of a transfer is the share
// at that end, sender or receiver, whose link has more transfers.
template<class find_sender>
void
AdvanceTransfers(std::vector<modelled_instance>& aInstances,
                 double aBytesPerStep,
                 const find_sender& aFindSender)
{
  for (modelled_instance& each : aInstances) {
    each.mIncoming = 0;
    each.mOutgoing = 0;
  }
  ForEachTransfer(
    aInstances,
    aFindSender,
    [](modelled_instance& aTo, modelled_instance* aFrom, double&) {
      ++aTo.mIncoming;
      if (aFrom != nullptr) {
        ++aFrom->mOutgoing;
      }
    });
  ForEachTransfer(
    aInstances,
    aFindSender,
    [aBytesPerStep](
      modelled_instance& aTo, modelled_instance* aFrom, double& aBytesLeft) {
      const std::size_t sharing =
        std::max(aTo.mIncoming, aFrom == nullptr ? 0 : aFrom->mOutgoing);
      aBytesLeft -= aBytesPerStep / static_cast<double>(sharing);
    });
}

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_TESTING_MODELLED_INSTANCE_H_
