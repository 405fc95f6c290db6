// For tests: an instance of a fleet in virtual time, what is on its way to it,
// and how the links share what they carry.
//
//   MoveBytes(instances, bytesInAStep, [](const auto& aTo, const auto& aCopy) {
//     return ... the instance that gives the copy, or null ...;
//   });
//
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
#include "thornhollow/fleet/large_copies.h"
#include "thornhollow/fleet/relay_peers.h"
#include "thornhollow/fleet/testing/silent_source.h"

namespace thornhollow {

// A peer's answer on its way: as of when it began to come.
struct copy_on_its_way
{
  std::string mFrom;
  std::size_t mWhich = 0;
  std::uint64_t mAsked = 0;
  std::vector<item_change> mChanges;
  std::optional<std::vector<source_item>> mItems;
  std::uint64_t mAt = 0;
  std::optional<duration> mSourceBackFor;
  time_point mAskedAt{};
  time_point mLastBytes{};
  double mBytesLeft = 0;
};

// A call to the source that is on its way.
struct open_call
{
  source_call mCall;
  time_point mSent{};
  // Waited at the source while that was silent.
  bool mLost = false;
  // Once the answer has begun to come: what is left of it, and up to which
  // revision it tells.
  std::optional<double> mBytesLeft = std::nullopt;
  std::uint64_t mTellsUpTo = 0;
  time_point mLastBytes{};
};

// How an instance follows one kind of items.
struct modelled_link
{
  followed mWhich{};
  source_follower mFollower;
  item_mirror mMirror;
  time_point mSendAt{};
  bool mToSend = true;
  // No call is on its way or due, as others read the source.
  bool mIdle = false;
  // On their way beside each other, the newest last.
  std::vector<open_call> mOpen = {};
  pending_calls mRound = pending_calls{};
  // Of earlier rounds: nobody waits for them, and they come all the same.
  std::vector<open_call> mGivenUp = {};
};

struct modelled_instance
{
  std::string mAddress;
  domain_name mDomain;
  int mDomainIndex = 0;
  std::unique_ptr<relay_peers> mPeers;
  copy_requests mRequests{ copy_request_settings{} };
  std::vector<modelled_link> mLinks;
  time_point mSourceFailsUntil{};
  time_point mNextTick{};
  time_point mStopsAt = time_point::max();
  time_point mTurnedAwayFrom{};
  time_point mTurnedAwayUntil{};
  endpoint_roster mRoster{ roster_settings{} };
  // For its domain, and for whatever reason.
  bool mReads = true;
  bool mAsksSource = true;
  std::vector<copy_on_its_way> mCopies = {};
  large_copies mLargeCopies = large_copies{};
  // What its link carries at the moment.
  std::size_t mComing = 0;
  std::size_t mGoing = 0;
};

// When the source itself last answered the instance.
inline std::optional<time_point>
SourceAnswered(const modelled_instance& aOne)
{
  return std::max(aOne.mLinks[0].mFollower.LastAnswer(),
                  aOne.mLinks[1].mFollower.LastAnswer());
}

// Tells its roster when the source last answered it or, by their word, others.
inline void
NoteSource(modelled_instance& aOne)
{
  for (const auto& each :
       { SourceAnswered(aOne), aOne.mPeers->SourceAnswered() }) {
    if (each) {
      aOne.mRoster.OnSourceAnswered(*each);
    }
  }
}

// Calls `aDo` for each answer and copy that is coming: with the instance that
// it comes to, the one that gives it, null for the source, and what is left of
// it. `aGiver` returns who gives a copy, null while it doesn't come.
template<class giver, class action>
void
ForEachTransfer(std::vector<modelled_instance>& aInstances,
                const giver& aGiver,
                const action& aDo)
{
  for (modelled_instance& each : aInstances) {
    for (modelled_link& its : each.mLinks) {
      for (std::vector<open_call>* calls : { &its.mOpen, &its.mGivenUp }) {
        for (open_call& call : *calls) {
          if (!call.mLost && call.mBytesLeft && *call.mBytesLeft > 0) {
            aDo(each, nullptr, *call.mBytesLeft);
          }
        }
      }
    }
    for (copy_on_its_way& copy : each.mCopies) {
      modelled_instance* const from = aGiver(each, copy);
      if (from != nullptr && copy.mBytesLeft > 0) {
        aDo(each, from, copy.mBytesLeft);
      }
    }
  }
}

// Of what a link carries, all that comes on it at the same time has an even
// part, and so has all that goes.
template<class giver>
void
MoveBytes(std::vector<modelled_instance>& aInstances,
          double aCarried,
          const giver& aGiver)
{
  for (modelled_instance& each : aInstances) {
    each.mComing = 0;
    each.mGoing = 0;
  }
  ForEachTransfer(
    aInstances,
    aGiver,
    [](modelled_instance& aTo, modelled_instance* aFrom, double&) {
      ++aTo.mComing;
      if (aFrom != nullptr) {
        ++aFrom->mGoing;
      }
    });
  ForEachTransfer(
    aInstances,
    aGiver,
    [aCarried](
      modelled_instance& aTo, modelled_instance* aFrom, double& aLeft) {
      const std::size_t sharing =
        std::max(aTo.mComing, aFrom == nullptr ? 0 : aFrom->mGoing);
      aLeft -= aCarried / static_cast<double>(sharing);
    });
}

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_TESTING_MODELLED_INSTANCE_H_
