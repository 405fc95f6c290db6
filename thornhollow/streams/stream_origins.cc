#include "thornhollow/streams/stream_origins.h"

#include <algorithm>
#include <utility>

namespace thornhollow {
namespace {

// How long a caller may wait before it continues a stream whose connection
// broke.
constexpr duration kContinuedWithin = Seconds(10);
// An open stream is told again this often within the retention, so that its
// holders don't forget it, and that those which have started since know it.
constexpr int kToldPerRetention = 3;
constexpr std::size_t kMaxToldWhileSettling = 8;
// A question is sent twice.
constexpr int kMaxSent = 2;

} // namespace

stream_origins::stream_origins(const stream_origins_settings& aSettings,
                               domain_name aOwnDomain,
                               std::uint64_t aSeed)
  : mSettings(aSettings)
  , mOwnDomain(std::move(aOwnDomain))
  , mHolders({})
  , mHeld(mHistory.Window())
  , mNextNumber(aSeed)
{
}

void
stream_origins::SetInstances(const std::vector<known_instance>& aOthers,
                             time_point aNow)
{
  if (mJoinedAt && aOthers == mInstances) {
    return;
  }
  const bool isNew =
    !mJoinedAt ||
    std::ranges::any_of(aOthers, [this](const known_instance& aOther) {
      return std::ranges::count(mInstances, aOther) == 0;
    });
  if (isNew) {
    mJoinedAt = aNow;
  }
  mInstances = aOthers;
  mHolders = origin_holders(aOthers);
}

bool
stream_origins::IsSettled(time_point aNow) const
{
  const duration settling =
    mInstances.empty() ? mSettings.mAloneSettlingTime : mSettings.mSettlingTime;
  return mJoinedAt && aNow - *mJoinedAt >= settling;
}

// An instance that doesn't know all others finds other holders than these do.
// It tells and asks some more.
std::vector<std::string>
stream_origins::ToTell(stream_key aStream, time_point aNow) const
{
  return IsSettled(aNow) ? mHolders.ToTell(aStream, mOwnDomain)
                         : ToAsk(aStream, aNow);
}

std::vector<std::string>
stream_origins::ToAsk(stream_key aStream, time_point aNow) const
{
  std::vector<std::string> asked = mHolders.ToAsk(aStream, mOwnDomain);
  if (!IsSettled(aNow)) {
    for (const known_instance& each : mInstances) {
      if (asked.size() < kMaxToldWhileSettling &&
          std::ranges::count(asked, each.mAddress) == 0) {
        asked.push_back(each.mAddress);
      }
    }
  }
  return asked;
}

void
stream_origins::SetLongestStream(duration aLongest)
{
  mHistory.SetWindow(aLongest + kContinuedWithin);
  mHeld.SetRetention(mHistory.Window());
}

void
stream_origins::OnListed(const stream_endpoint& aEndpoint, time_point aNow)
{
  mHistory.Put(aEndpoint.mName, aEndpoint.mPool, aEndpoint.mVersion, aNow);
  const listed_version listed{ aEndpoint.mVersion, std::nullopt };
  const auto known = mListed.try_emplace(aEndpoint.mName, listed).first;
  if (std::exchange(known->second, listed).mVersion != aEndpoint.mVersion) {
    OnReplaced(aEndpoint.mName, aNow);
  }
  // A second version may have appeared.
  mTellAllAt = aNow;
}

void
stream_origins::OnRemoved(const endpoint_name& aEndpoint, time_point aNow)
{
  mHistory.Remove(aEndpoint, aNow);
  if (const auto known = mListed.find(aEndpoint); known != mListed.end()) {
    known->second.mRemovedAt = aNow;
  }
}

void
stream_origins::OnHistoryBroken(time_point aNow)
{
  mHistory.Restart(aNow);
  mTellAllAt = aNow;
}

// The new process may have served for some time before it was listed, and
// streams that began meanwhile were taken for the version of the old one.
void
stream_origins::OnReplaced(const endpoint_name& aEndpoint, time_point aNow)
{
  for (auto& [key, each] : mBegun) {
    if (each.mStream.mEndpoint == aEndpoint &&
        (!each.mEndedAt || aNow - each.mBegunAt < mSettings.mListingDelay)) {
      each.mStream.mVersion = kUnknownVersion;
      each.mToldAt.reset();
    }
  }
}

void
stream_origins::OnBegun(const begun_stream& aStream, time_point aNow)
{
  own_stream begun{ aStream, aNow, std::nullopt, std::nullopt };
  const auto known = mBegun.find(aStream.mStream);
  if (known != mBegun.end() &&
      known->second.mStream.mVersion != aStream.mVersion) {
    begun.mStream.mVersion = kUnknownVersion;
  }
  mBegun.insert_or_assign(aStream.mStream, std::move(begun));
  mNew.push_back(aStream.mStream);
  if (!mTellNewAt) {
    mTellNewAt = aNow + mSettings.mGather;
  }
}

void
stream_origins::OnEnded(stream_key aStream, time_point aNow)
{
  if (const auto found = mBegun.find(aStream); found != mBegun.end()) {
    found->second.mEndedAt = aNow;
  }
}

listed_versions
stream_origins::Listed(const pool_name& aPool, time_point aNow) const
{
  listed_versions listed = mHistory.Of(aPool, aNow);
  if (listed.mCount == version_count::kSole && !mListIsCurrent) {
    listed.mCount = version_count::kSoleSoFar;
  }
  return listed;
}

origin_word
stream_origins::WordOn(stream_key aStream,
                       const pool_name& aPool,
                       time_point aNow) const
{
  origin_word word;
  word.mListed = Listed(aPool, aNow);
  if (const auto own = mBegun.find(aStream); own != mBegun.end()) {
    word.mKnown = true;
    word.mVersion = own->second.mStream.mVersion;
  } else if (const auto held = mHeld.Find(aStream)) {
    word.mKnown = true;
    word.mVersion = *held;
  }
  return word;
}

std::variant<origin_verdict, question_number>
stream_origins::Find(stream_key aStream,
                     const pool_name& aPool,
                     time_point aNow)
{
  origin_search made(WordOn(aStream, aPool, aNow), ToAsk(aStream, aNow));
  if (const auto verdict = made.Verdict()) {
    return Judged(*verdict, aNow);
  }
  const question_number number = mNextNumber++;
  mSearches.emplace(number,
                    search{ std::move(made),
                            { number, aStream, aPool },
                            aNow,
                            aNow + mSettings.mAnswerTimeout });
  return number;
}

// Those that know the stream may not have been asked.
origin_verdict
stream_origins::Judged(origin_verdict aVerdict, time_point aNow) const
{
  if (aVerdict.mVersion == kUnknownVersion && !IsSettled(aNow) &&
      aVerdict.mGround != origin_ground::kAmbiguous) {
    aVerdict.mGround = origin_ground::kNoAnswer;
  }
  return aVerdict;
}

std::vector<finished_search>
stream_origins::TakeFinished(time_point aNow)
{
  std::vector<finished_search> finished;
  for (auto each = mSearches.begin(); each != mSearches.end();) {
    auto verdict = each->second.mSearch.Verdict();
    if (!verdict && aNow >= each->second.mCloseAt) {
      verdict = each->second.mSearch.Close();
    }
    if (verdict) {
      finished.push_back({ each->first, Judged(*verdict, aNow) });
      each = mSearches.erase(each);
    } else {
      ++each;
    }
  }
  return finished;
}

void
stream_origins::OnMessage(const std::string& aFrom,
                          const origin_message& aMessage,
                          time_point aNow)
{
  std::visit([&](const auto& aPart) { Handle(aFrom, aPart, aNow); }, aMessage);
}

void
stream_origins::Handle(const std::string& /*aFrom*/,
                       const told_origins& aTold,
                       time_point aNow)
{
  for (const stream_origin& each : aTold.mOrigins) {
    if (each.mStream != kUnnamedStream) {
      mHeld.Put(each, aNow);
    }
  }
}

void
stream_origins::Handle(const std::string& aFrom,
                       const origin_question& aQuestion,
                       time_point aNow)
{
  mOut.push_back(
    { { aFrom },
      origin_answer{ aQuestion.mNumber,
                     WordOn(aQuestion.mStream, aQuestion.mPool, aNow) } });
}

void
stream_origins::Handle(const std::string& aFrom,
                       const origin_answer& aAnswer,
                       time_point /*aNow*/)
{
  if (const auto found = mSearches.find(aAnswer.mNumber);
      found != mSearches.end()) {
    found->second.mSearch.OnWord(aFrom, aAnswer.mWord);
  }
}

void
stream_origins::Tick(time_point aNow)
{
  mHeld.Tick(aNow);
  std::erase_if(mListed, [&](const auto& aEntry) {
    const auto& removedAt = aEntry.second.mRemovedAt;
    return removedAt && aNow - *removedAt >= mSettings.mListingDelay;
  });
  for (auto each = mBegun.begin(); each != mBegun.end();) {
    const own_stream& own = each->second;
    if (own.mEndedAt && aNow - *own.mEndedAt >= mSettings.mRecentlyEnded) {
      mHeld.Put({ each->first, own.mStream.mVersion }, aNow);
      each = mBegun.erase(each);
    } else {
      ++each;
    }
  }
}

// Whether the others can't conclude by themselves where the stream began.
bool
stream_origins::MustTell(const begun_stream& aStream, time_point aNow) const
{
  return Listed(aStream.mPool, aNow) !=
         listed_versions{ version_count::kSole, aStream.mVersion };
}

void
stream_origins::TellNewStreams(time_point aNow)
{
  if (!mTellNewAt || aNow < *mTellNewAt) {
    return;
  }
  mTellNewAt.reset();
  for (const stream_key each : std::exchange(mNew, {})) {
    if (const auto found = mBegun.find(each); found != mBegun.end()) {
      TellIfDue(found->second, aNow);
    }
  }
}

void
stream_origins::TellAllStreams(time_point aNow)
{
  if (aNow < mTellAllAt) {
    return;
  }
  mTellAllAt = aNow + mSettings.mReviewInterval;
  const bool othersHold =
    std::exchange(mWasSettled, IsSettled(aNow)) != mWasSettled;
  for (auto& [key, each] : mBegun) {
    if (othersHold) {
      each.mToldAt.reset();
    }
    TellIfDue(each, aNow);
  }
}

void
stream_origins::TellIfDue(own_stream& aOwn, time_point aNow)
{
  const bool isDue = !aOwn.mToldAt || (!aOwn.mEndedAt &&
                                       aNow - *aOwn.mToldAt >=
                                         mHistory.Window() / kToldPerRetention);
  if (!isDue || !MustTell(aOwn.mStream, aNow)) {
    return;
  }
  aOwn.mToldAt = aNow;
  const stream_key key = aOwn.mStream.mStream;
  for (const std::string& each : ToTell(key, aNow)) {
    mToTell[each].push_back({ key, aOwn.mStream.mVersion });
  }
}

void
stream_origins::SendTold()
{
  for (auto& [address, origins] : std::exchange(mToTell, {})) {
    for (std::size_t at = 0; at < origins.size(); at += kMaxToldOrigins) {
      const std::size_t end = std::min(origins.size(), at + kMaxToldOrigins);
      mOut.push_back(
        { { address },
          told_origins{
            { origins.begin() + static_cast<std::ptrdiff_t>(at),
              origins.begin() + static_cast<std::ptrdiff_t>(end) } } });
    }
  }
}

void
stream_origins::SendQuestions(time_point aNow)
{
  for (auto& [number, each] : mSearches) {
    if (!each.mSendAt || aNow < *each.mSendAt) {
      continue;
    }
    mOut.push_back({ each.mSearch.Unanswered(), each.mQuestion });
    each.mSendAt = ++each.mSent < kMaxSent
                     ? std::optional(aNow + mSettings.mResendAfter)
                     : std::nullopt;
  }
}

std::vector<outgoing_origin_message>
stream_origins::TakeMessages(time_point aNow)
{
  TellNewStreams(aNow);
  TellAllStreams(aNow);
  SendTold();
  SendQuestions(aNow);
  return std::exchange(mOut, {});
}

std::optional<time_point>
stream_origins::NextDue() const
{
  std::optional<time_point> next = mTellNewAt;
  for (const auto& [number, each] : mSearches) {
    const time_point due =
      std::min(each.mSendAt.value_or(each.mCloseAt), each.mCloseAt);
    next = std::min(next.value_or(due), due);
  }
  return next;
}

} // namespace thornhollow
