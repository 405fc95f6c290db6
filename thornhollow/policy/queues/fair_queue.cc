#include "thornhollow/policy/queues/fair_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace thornhollow {

const team_name&
fair_queue::EffectiveTeam(const team_name& aTeam) const
{
  return mByTeam ? aTeam : mCommonTeam;
}

double
fair_queue::StartTag(const team_name& aTeam) const
{
  const auto found = mTeams.find(EffectiveTeam(aTeam));
  return found == mTeams.end()
           ? mVirtualTime
           : std::max(mVirtualTime, found->second.mFinishTag);
}

fair_queue::position
fair_queue::Push(const waiting_request& aRequest, double aWeight)
{
  const double start = StartTag(aRequest.mItem.mTeam);
  const double finish = start + aRequest.mWork.mCost / aWeight;
  mTeams[EffectiveTeam(aRequest.mItem.mTeam)].mFinishTag = finish;
  return Insert(start, { aRequest, finish, aWeight });
}

fair_queue::position
fair_queue::PushFront(const waiting_request& aRequest)
{
  const double start =
    mWaiting.empty()
      ? mVirtualTime
      : std::min(mVirtualTime, mWaiting.begin()->first.mStartTag);
  return Insert(start, { aRequest, start, 1 });
}

fair_queue::position
fair_queue::Insert(double aStartTag, entry aEntry)
{
  const position at{ aStartTag, mSequence++ };
  mTotalCost += aEntry.mRequest.mWork.mCost;
  if (team_state& owner = mTeams[EffectiveTeam(aEntry.mRequest.mItem.mTeam)];
      owner.mWaiting++ == 0) {
    owner.mWeight = aEntry.mWeight;
    mActiveWeight += owner.mWeight;
    ++mActiveTeams;
  }
  mWaiting.emplace(at, std::move(aEntry));
  return at;
}

const waiting_request*
fair_queue::Front() const
{
  return mWaiting.empty() ? nullptr : &mWaiting.begin()->second.mRequest;
}

const waiting_request*
fair_queue::Back() const
{
  return mWaiting.empty() ? nullptr
                          : &std::prev(mWaiting.end())->second.mRequest;
}

const waiting_request*
fair_queue::Find(const position& aPosition) const
{
  const auto found = mWaiting.find(aPosition);
  return found == mWaiting.end() ? nullptr : &found->second.mRequest;
}

void
fair_queue::Dequeue(const position& aPosition)
{
  if (const auto found = mWaiting.find(aPosition); found != mWaiting.end()) {
    mVirtualTime = std::max(mVirtualTime, found->first.mStartTag);
    EraseEntry(found);
  }
}

bool
fair_queue::Erase(const position& aPosition)
{
  const auto found = mWaiting.find(aPosition);
  if (found == mWaiting.end()) {
    return false;
  }
  team_state& owner =
    mTeams.at(EffectiveTeam(found->second.mRequest.mItem.mTeam));
  if (owner.mFinishTag == found->second.mFinishTag) {
    owner.mFinishTag = found->first.mStartTag;
  }
  EraseEntry(found);
  return true;
}

void
fair_queue::EraseBack()
{
  Erase(std::prev(mWaiting.end())->first);
}

void
fair_queue::AdjustCost(const team_name& aTeam,
                       double aCostDelta,
                       double aWeight)
{
  if (const auto found = mTeams.find(EffectiveTeam(aTeam));
      found != mTeams.end()) {
    found->second.mFinishTag += aCostDelta / aWeight;
  }
}

void
fair_queue::EraseEntry(entries::iterator aEntry)
{
  const auto owner =
    mTeams.find(EffectiveTeam(aEntry->second.mRequest.mItem.mTeam));
  mTotalCost -= aEntry->second.mRequest.mWork.mCost;
  if (--owner->second.mWaiting == 0) {
    mActiveWeight -= owner->second.mWeight;
    --mActiveTeams;
    if (owner->second.mFinishTag <= mVirtualTime) {
      mTeams.erase(owner);
    }
  }
  mWaiting.erase(aEntry);
  if (mWaiting.empty()) {
    // While no request waits, no team has to be served before another, so the
    // teams' state isn't needed. The reset also limits the accumulation of
    // rounding errors.
    mTeams.clear();
    mVirtualTime = 0;
    mTotalCost = 0;
    mActiveWeight = 0;
  }
}

double
fair_queue::CostAhead(const team_name& aTeam) const
{
  if (mWaiting.empty()) {
    return 0;
  }
  // Until the virtual time reaches the new request's start tag, every team with
  // waiting requests is served in proportion to its weight. In addition each of
  // these teams may have one request that starts before that start tag and ends
  // after it.
  const double mean = mTotalCost / static_cast<double>(mWaiting.size());
  const double ahead = (StartTag(aTeam) - mVirtualTime) * mActiveWeight +
                       mean * static_cast<double>(mActiveTeams);
  return std::min(mTotalCost, ahead);
}

bool
fair_queue::PrecedesBack(const team_name& aTeam) const
{
  return !mWaiting.empty() &&
         StartTag(aTeam) < std::prev(mWaiting.end())->first.mStartTag;
}

} // namespace thornhollow
