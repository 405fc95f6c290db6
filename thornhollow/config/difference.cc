#include "thornhollow/config/difference.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>

#include <fmt/format.h>

namespace thornhollow {
namespace {

// Slots of each pool over all its endpoints.
using pool_slots = std::map<std::string_view, std::uint64_t>;

pool_slots
SlotsByPool(const declarations& aDeclared)
{
  pool_slots slots;
  for (const endpoint& each : aDeclared.mEndpoints) {
    for (const pool_name& pool : each.mPools) {
      slots[pool.Text()] += each.mSlots;
    }
  }
  return slots;
}

template<class item>
std::map<std::string_view, const item*>
ByName(const std::vector<item>& aItems)
{
  std::map<std::string_view, const item*> named;
  for (const item& each : aItems) {
    named.emplace(each.mName.Text(), &each);
  }
  return named;
}

template<class name>
std::string
Join(const std::vector<name>& aNames)
{
  std::string text;
  for (const name& each : aNames) {
    text += (text.empty() ? "" : ", ") + each.Text();
  }
  return text.empty() ? "none" : text;
}

class change_writer
{
public:
  std::vector<std::string> Take() { return std::move(mLines); }

  // Compares the items of one kind, `aWhat`. `aDescribe` writes what changed in
  // an item that both have.
  template<class item, class describe>
  void Compare(std::string_view aWhat,
               const std::vector<item>& aOld,
               const std::vector<item>& aNew,
               describe aDescribe)
  {
    const auto before = ByName(aOld);
    const auto after = ByName(aNew);
    for (const auto& [name, old] : before) {
      if (!after.contains(name)) {
        mLines.push_back(fmt::format("{} {} is removed.", aWhat, name));
      }
    }
    for (const auto& [name, now] : after) {
      mSubject = fmt::format("{} {}", aWhat, name);
      if (const auto old = before.find(name); old == before.end()) {
        mLines.push_back(fmt::format("{} is added.", mSubject));
      } else if (*old->second != *now) {
        aDescribe(*old->second, *now);
      }
    }
  }

  // Writes a sentence where the two values differ.
  template<class value>
  void Field(std::string_view aWhat, const value& aOld, const value& aNew)
  {
    if (aOld != aNew) {
      mLines.push_back(
        fmt::format("{}: {} goes from {} to {}.", mSubject, aWhat, aOld, aNew));
    }
  }

  void Time(std::string_view aWhat, duration aOld, duration aNew)
  {
    Field(aWhat,
          fmt::format("{} ms", ToMilliseconds(aOld)),
          fmt::format("{} ms", ToMilliseconds(aNew)));
  }

  void Say(std::string_view aSentence)
  {
    mLines.push_back(fmt::format("{}: {}", mSubject, aSentence));
  }
  void SayOf(std::string_view aSubject, std::string_view aSentence)
  {
    mLines.push_back(fmt::format("{} {}", aSubject, aSentence));
  }

  void Pools(const pool_slots& aOld, const pool_slots& aNew)
  {
    std::set<std::string_view> pools;
    for (const auto& [pool, slots] : aOld) {
      pools.insert(pool);
    }
    for (const auto& [pool, slots] : aNew) {
      pools.insert(pool);
    }
    for (const std::string_view pool : pools) {
      const auto at = [&](const pool_slots& aSlots) {
        const auto found = aSlots.find(pool);
        return found == aSlots.end() ? 0 : found->second;
      };
      mSubject = fmt::format("Pool {}", pool);
      Field("slots over all endpoints", at(aOld), at(aNew));
    }
  }

private:
  std::string mSubject;
  std::vector<std::string> mLines;
};

std::string
YesOrNo(bool aFlag)
{
  return aFlag ? "yes" : "no";
}

void
CompareLevels(change_writer& aOut,
              const declarations& aOld,
              const declarations& aNew)
{
  aOut.Compare("Level",
               aOld.mLevels,
               aNew.mLevels,
               [&](const service_level& aFrom, const service_level& aTo) {
                 aOut.Field("the tier (1 goes first)", aFrom.mTier, aTo.mTier);
                 aOut.Time("the target for the first token",
                           aFrom.mFirstTokenTarget,
                           aTo.mFirstTokenTarget);
                 aOut.Time("the target between tokens",
                           aFrom.mBetweenTokensTarget,
                           aTo.mBetweenTokensTarget);
                 aOut.Time("the deadline", aFrom.mDeadline, aTo.mDeadline);
               });
}

void
CompareClasses(change_writer& aOut,
               const declarations& aOld,
               const declarations& aNew)
{
  aOut.Compare(
    "Class",
    aOld.mClasses,
    aNew.mClasses,
    [&](const request_class& aFrom, const request_class& aTo) {
      aOut.Field("the level", aFrom.mLevel.Text(), aTo.mLevel.Text());
      aOut.Field("the minimum share", aFrom.mMinimumShare, aTo.mMinimumShare);
      aOut.Field("may be run again",
                 YesOrNo(aFrom.mIdempotent),
                 YesOrNo(aTo.mIdempotent));
      aOut.Field("the models", Join(aFrom.mModels), Join(aTo.mModels));
    });
}

void
CompareServices(change_writer& aOut,
                const declarations& aOld,
                const declarations& aNew)
{
  aOut.Compare("Service",
               aOld.mServices,
               aNew.mServices,
               [&](const plain_service& aFrom, const plain_service& aTo) {
                 aOut.Field("the path", aFrom.mPath, aTo.mPath);
                 aOut.Field("the methods",
                            fmt::format("{}", fmt::join(aFrom.mMethods, ", ")),
                            fmt::format("{}", fmt::join(aTo.mMethods, ", ")));
                 aOut.Field(
                   "the class", aFrom.mClass.Text(), aTo.mClass.Text());
                 aOut.Field("may be called again",
                            YesOrNo(aFrom.mIdempotent),
                            YesOrNo(aTo.mIdempotent));
               });
}

void
CompareTokens(change_writer& aOut, const team& aFrom, const team& aTo)
{
  const auto missing = [](const team& aIn, const team& aOther) {
    return std::ranges::count_if(
      aIn.mTokenDigests, [&](const std::string& aDigest) {
        return std::ranges::find(aOther.mTokenDigests, aDigest) ==
               aOther.mTokenDigests.end();
      });
  };
  if (const auto added = missing(aTo, aFrom); added > 0) {
    aOut.Say(fmt::format("{} more token(s) will be taken.", added));
  }
  if (const auto removed = missing(aFrom, aTo); removed > 0) {
    aOut.Say(fmt::format("{} token(s) will no longer be taken.", removed));
  }
}

void
CompareTeams(change_writer& aOut,
             const declarations& aOld,
             const declarations& aNew)
{
  aOut.Compare(
    "Team", aOld.mTeams, aNew.mTeams, [&](const team& aFrom, const team& aTo) {
      CompareTokens(aOut, aFrom, aTo);
      aOut.Field("the classes (the first by default)",
                 Join(aFrom.mClasses),
                 Join(aTo.mClasses));
      aOut.Field("the weight", aFrom.mWeight, aTo.mWeight);
      aOut.Field("requests in progress on an instance",
                 aFrom.mMaxInFlight,
                 aTo.mMaxInFlight);
    });
}

void
CompareEndpoints(change_writer& aOut,
                 const declarations& aOld,
                 const declarations& aNew)
{
  aOut.Compare("Endpoint",
               aOld.mEndpoints,
               aNew.mEndpoints,
               [&](const endpoint& aFrom, const endpoint& aTo) {
                 aOut.Field("the failure domain",
                            aFrom.mDomain.Text(),
                            aTo.mDomain.Text());
                 aOut.Field("the address", aFrom.mAddress, aTo.mAddress);
                 aOut.Field("the pools", Join(aFrom.mPools), Join(aTo.mPools));
                 aOut.Field("slots", aFrom.mSlots, aTo.mSlots);
               });
}

void
CompareModels(change_writer& aOut,
              const declarations& aOld,
              const declarations& aNew)
{
  aOut.Compare("Model",
               aOld.mModels,
               aNew.mModels,
               [&](const model& aFrom, const model& aTo) {
                 aOut.Time("the warm-up of its engines",
                           aFrom.mWarmUp.mLength,
                           aTo.mWarmUp.mLength);
                 aOut.Field(
                   "requests a second that an engine takes while it warms up",
                   aFrom.mWarmUp.mRequestsPerSecond,
                   aTo.mWarmUp.mRequestsPerSecond);
               });
}

void
CompareDomains(change_writer& aOut,
               const declarations& aOld,
               const declarations& aNew)
{
  const std::set<domain_name> before = DomainsOutOfService(aOld);
  const std::set<domain_name> after = DomainsOutOfService(aNew);
  for (const domain_name& each : after) {
    if (!before.contains(each)) {
      aOut.SayOf(fmt::format("Domain {}", each.Text()),
                 "is taken out of service: its endpoints get no new requests.");
    }
  }
  for (const domain_name& each : before) {
    if (!after.contains(each)) {
      aOut.SayOf(fmt::format("Domain {}", each.Text()),
                 "is taken back into service.");
    }
  }
}

} // namespace

std::vector<std::string>
DescribeChanges(const declarations& aOld, const declarations& aNew)
{
  change_writer out;
  CompareLevels(out, aOld, aNew);
  CompareClasses(out, aOld, aNew);
  CompareModels(out, aOld, aNew);
  CompareServices(out, aOld, aNew);
  CompareTeams(out, aOld, aNew);
  out.Pools(SlotsByPool(aOld), SlotsByPool(aNew));
  CompareEndpoints(out, aOld, aNew);
  CompareDomains(out, aOld, aNew);
  return out.Take();
}

} // namespace thornhollow
