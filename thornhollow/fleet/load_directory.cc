#include "thornhollow/fleet/load_directory.h"

#include <algorithm>
#include <utility>

#include "thornhollow/base/hash.h"

namespace thornhollow {
namespace {

// Maximum endpoints of which a holder keeps reports; above the 850 of a large
// fleet.
constexpr std::size_t kMaxEndpoints = 4'096;
// Maximum reports in one message, which keeps it below 1,100 bytes.
constexpr std::size_t kMaxLoadsInMessage = 48;

} // namespace

load_directory::load_directory(const load_directory_settings& aSettings,
                               std::string aOwnAddress)
  : mSettings(aSettings)
  , mOwnAddress(std::move(aOwnAddress))
  , mInstances{ mOwnAddress }
  , mInstanceHashes{ Hash64(mOwnAddress) }
{
}

void
load_directory::SetInstances(std::vector<std::string> aOthers, time_point aNow)
{
  mStarted = mStarted.value_or(aNow);
  aOthers.push_back(mOwnAddress);
  if (aOthers == mInstances) {
    return;
  }
  mInstances = std::move(aOthers);
  mInstanceHashes.clear();
  for (const std::string& each : mInstances) {
    mInstanceHashes.push_back(Hash64(each));
  }
  std::erase_if(mSilences, [this](const auto& aEntry) {
    return std::ranges::count(mInstances, aEntry.first) == 0;
  });
  // Endpoints may have other holders now.
  mNextRenewal = aNow;
}

bool
load_directory::IsPassedOver(const std::string& aAddress, time_point aNow) const
{
  const auto found = mSilences.find(aAddress);
  return found != mSilences.end() && aNow < found->second.mPassedOverUntil;
}

const std::string&
load_directory::HolderOf(endpoint_hash aEndpoint, time_point aNow) const
{
  const std::string* holder = &mOwnAddress;
  std::uint64_t highest = 0;
  for (std::size_t each = 0; each < mInstances.size(); ++each) {
    const std::uint64_t weight = CombineHash(aEndpoint, mInstanceHashes[each]);
    if (weight >= highest && !IsPassedOver(mInstances[each], aNow)) {
      holder = &mInstances[each];
      highest = weight;
    }
  }
  return *holder;
}

std::optional<outgoing_load>
load_directory::SetOwn(const reported_load& aLoad, time_point aNow)
{
  if (aLoad.mInFlight == 0 && aLoad.mPrefillTokens == 0) {
    mOwn.erase(aLoad.mEndpoint);
  } else {
    mOwn[aLoad.mEndpoint] = aLoad;
  }
  const std::string& holder = HolderOf(aLoad.mEndpoint, aNow);
  if (holder == mOwnAddress) {
    return std::nullopt;
  }
  return outgoing_load{ holder, { load_message_kind::kReport, 0, { aLoad } } };
}

std::vector<outgoing_load>
load_directory::Renew(time_point aNow)
{
  if (aNow < mNextRenewal) {
    return {};
  }
  mNextRenewal = aNow + mSettings.mRenewInterval;
  std::map<std::string, load_message> byHolder;
  for (const auto& [endpoint, load] : mOwn) {
    const std::string& holder = HolderOf(endpoint, aNow);
    load_message& message = byHolder[holder];
    if (holder != mOwnAddress && message.mLoads.size() < kMaxLoadsInMessage) {
      message.mLoads.push_back(load);
    }
  }
  byHolder.erase(mOwnAddress);
  std::vector<outgoing_load> due;
  due.reserve(byHolder.size());
  for (auto& [holder, message] : byHolder) {
    due.push_back({ holder, std::move(message) });
  }
  for (auto& [endpoint, reports] : mReports) {
    std::erase_if(reports, [&](const auto& aEntry) {
      return aNow - aEntry.second.mAt >= mSettings.mReportLifetime;
    });
  }
  std::erase_if(mReports,
                [](const auto& aEntry) { return aEntry.second.empty(); });
  return due;
}

load_inquiry
load_directory::Ask(const std::vector<endpoint_hash>& aEndpoints,
                    time_point aNow)
{
  load_inquiry inquiry{ ++mLastNumber, {}, {} };
  std::map<std::string, load_message> byHolder;
  for (const endpoint_hash each : aEndpoints) {
    const std::string& holder = HolderOf(each, aNow);
    if (holder == mOwnAddress) {
      inquiry.mKnown.push_back(Sum(each, mOwnAddress, aNow));
      continue;
    }
    load_message& message = byHolder[holder];
    message.mKind = load_message_kind::kQuestion;
    message.mNumber = inquiry.mNumber;
    message.mLoads.push_back({ .mEndpoint = each });
  }
  open_question question;
  for (auto& [holder, message] : byHolder) {
    question.mUnanswered.push_back(holder);
    inquiry.mQuestions.push_back({ holder, std::move(message) });
  }
  if (!question.mUnanswered.empty()) {
    mQuestions.emplace(inquiry.mNumber, std::move(question));
  }
  return inquiry;
}

void
load_directory::GiveUp(std::uint32_t aNumber, time_point aNow)
{
  const auto found = mQuestions.find(aNumber);
  if (found == mQuestions.end()) {
    return;
  }
  for (const std::string& each : found->second.mUnanswered) {
    silence& its = mSilences[each];
    if (++its.mUnanswered >= mSettings.mMaxUnanswered) {
      its = { 0, aNow + mSettings.mSilentFor };
      mNextRenewal = aNow;
    }
  }
  mQuestions.erase(found);
}

std::optional<load_message>
load_directory::OnMessage(const std::string& aFrom,
                          const load_message& aMessage,
                          time_point aNow)
{
  if (aMessage.mKind == load_message_kind::kReport) {
    for (const reported_load& each : aMessage.mLoads) {
      if (mReports.size() < kMaxEndpoints ||
          mReports.contains(each.mEndpoint)) {
        mReports[each.mEndpoint][aFrom] = { each, aNow };
      }
    }
    return std::nullopt;
  }
  if (!mStarted || aNow - *mStarted < mSettings.mLearningTime) {
    return std::nullopt;
  }
  load_message answer{ load_message_kind::kAnswer, aMessage.mNumber, {} };
  for (const reported_load& each : aMessage.mLoads) {
    answer.mLoads.push_back(Sum(each.mEndpoint, aFrom, aNow));
  }
  return answer;
}

bool
load_directory::OnAnswer(const std::string& aFrom, const load_message& aMessage)
{
  mSilences.erase(aFrom);
  const auto found = mQuestions.find(aMessage.mNumber);
  if (found == mQuestions.end()) {
    return false;
  }
  std::erase(found->second.mUnanswered, aFrom);
  if (!found->second.mUnanswered.empty()) {
    return false;
  }
  mQuestions.erase(found);
  return true;
}

reported_load
load_directory::Sum(endpoint_hash aEndpoint,
                    const std::string& aAsker,
                    time_point aNow) const
{
  reported_load sum{ .mEndpoint = aEndpoint };
  if (const auto own = mOwn.find(aEndpoint);
      own != mOwn.end() && aAsker != mOwnAddress) {
    sum.mInFlight += own->second.mInFlight;
    sum.mPrefillTokens += own->second.mPrefillTokens;
  }
  const auto found = mReports.find(aEndpoint);
  if (found == mReports.end()) {
    return sum;
  }
  for (const auto& [from, each] : found->second) {
    if (from != aAsker && aNow - each.mAt < mSettings.mReportLifetime) {
      sum.mInFlight += each.mLoad.mInFlight;
      sum.mPrefillTokens += each.mLoad.mPrefillTokens;
    }
  }
  return sum;
}

} // namespace thornhollow
