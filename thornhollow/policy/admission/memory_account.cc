#include "thornhollow/policy/admission/memory_account.h"

#include <algorithm>
#include <array>
#include <utility>

namespace thornhollow {
namespace {

constexpr std::uint64_t kBytesPerMegabyte = 1'000'000;
// Percent of the process's memory. The rest is for the program and its tables,
// for the allocator, and for copies while a body is hashed or sent.
constexpr std::uint64_t kBodiesPercent = 43;
constexpr std::uint64_t kAnswersPercent = 22;
// The part of the bodies' room, as its inverse, that only small ones use.
constexpr std::uint64_t kSmallBodiesPart = 16;

} // namespace

memory_limits
MemoryLimits(std::uint32_t aMemoryMegabytes)
{
  const std::uint64_t onePercent =
    aMemoryMegabytes * kBytesPerMegabyte / std::uint64_t{ 100 };
  return { onePercent * kBodiesPercent, onePercent * kAnswersPercent };
}

std::string_view
Name(memory_event aEvent)
{
  constexpr std::array<std::string_view, 4> kNames = { "memory_full_for_bodies",
                                                       "memory_body_waits",
                                                       "memory_body_refused",
                                                       "memory_answer_cut" };
  return kNames.at(static_cast<std::size_t>(aEvent));
}

memory_charge::memory_charge(memory_account_ptr aAccount,
                             std::string aEndpoint,
                             std::uint64_t aBytes)
  : mAccount(std::move(aAccount))
  , mEndpoint(std::move(aEndpoint))
  , mBytes(aBytes)
{
}

memory_charge::memory_charge(memory_charge&& aOther) noexcept
  : mAccount(std::move(aOther.mAccount))
  , mEndpoint(std::move(aOther.mEndpoint))
  , mBytes(std::exchange(aOther.mBytes, 0))
{
}

memory_charge&
memory_charge::operator=(memory_charge&& aOther) noexcept
{
  memory_charge taken(std::move(aOther));
  std::swap(mAccount, taken.mAccount);
  std::swap(mEndpoint, taken.mEndpoint);
  std::swap(mBytes, taken.mBytes);
  return *this;
}

memory_charge::~memory_charge()
{
  if (mAccount) {
    mAccount->Release(mEndpoint, mBytes);
  }
}

memory_account::memory_account(const memory_limits& aLimits)
  : mLimits(aLimits)
{
}

void
memory_account::OnEvent(std::function<void(memory_event)> aListener)
{
  mOnEvent = std::move(aListener);
}

bool
memory_account::BodyFits(std::uint64_t aMore, std::uint64_t aSize) const
{
  const std::uint64_t reserve =
    aSize <= kSmallBodyBytes ? 0 : mLimits.mBodies / kSmallBodiesPart;
  const std::uint64_t limit = mLimits.mBodies - reserve;
  return mBodies <= limit && aMore <= limit - mBodies;
}

bool
memory_account::EverFits(std::uint64_t aBytes) const
{
  return aBytes <= mLimits.mBodies - mLimits.mBodies / kSmallBodiesPart;
}

std::optional<memory_charge>
memory_account::ChargeBody(std::uint64_t aBytes)
{
  const bool passesBy = aBytes <= kSmallBodyBytes;
  if ((!passesBy && !mWaiters.empty()) || !BodyFits(aBytes, aBytes)) {
    return std::nullopt;
  }
  Add({}, aBytes);
  return memory_charge(memory_account_ptr(this), {}, aBytes);
}

memory_account::waiter_id
memory_account::WaitForRoom(std::uint64_t aBytes, room_handler aOnRoom)
{
  if (mWaiters.empty()) {
    Tell(memory_event::kBodiesBeginToWait);
  }
  Tell(memory_event::kBodyWaits);
  mWaiters.emplace(++mLastWaiter, waiter{ aBytes, std::move(aOnRoom) });
  return mLastWaiter;
}

void
memory_account::StopWaiting(waiter_id aWaiter)
{
  if (mWaiters.erase(aWaiter) > 0) {
    ServeWaiters();
  }
}

bool
memory_account::GrowBody(memory_charge& aCharge, std::uint64_t aBytes)
{
  const std::uint64_t more = aBytes - std::min(aBytes, aCharge.mBytes);
  if (!BodyFits(more, aBytes)) {
    return false;
  }
  Add({}, more);
  aCharge.mAccount = this;
  aCharge.mBytes += more;
  return true;
}

bool
memory_account::AnswerFits(std::string_view aEndpoint,
                           std::uint64_t aMore) const
{
  const auto found = mByEndpoint.find(aEndpoint);
  const std::uint64_t held = found == mByEndpoint.end() ? 0 : found->second;
  const std::uint64_t free = mLimits.mAnswers - mAnswers;
  return aMore <= free && held + aMore <= free - aMore;
}

std::optional<memory_charge>
memory_account::ChargeAnswer(std::string_view aEndpoint, std::uint64_t aBytes)
{
  memory_charge charge;
  if (!GrowAnswer(charge, aEndpoint, aBytes)) {
    return std::nullopt;
  }
  return charge;
}

bool
memory_account::GrowAnswer(memory_charge& aCharge,
                           std::string_view aEndpoint,
                           std::uint64_t aMore)
{
  if (!AnswerFits(aEndpoint, aMore)) {
    Tell(memory_event::kAnswerRefused);
    return false;
  }
  if (!aCharge.mAccount) {
    // An empty name is that of bodies.
    aCharge = memory_charge(memory_account_ptr(this),
                            std::string(aEndpoint.empty() ? "-" : aEndpoint),
                            0);
  }
  Add(aCharge.mEndpoint, aMore);
  aCharge.mBytes += aMore;
  return true;
}

void
memory_account::Add(const std::string& aEndpoint, std::uint64_t aBytes)
{
  if (aEndpoint.empty()) {
    mBodies += aBytes;
  } else {
    mAnswers += aBytes;
    mByEndpoint[aEndpoint] += aBytes;
  }
  mPeak = std::max(mPeak, mBodies + mAnswers);
}

void
memory_account::Release(const std::string& aEndpoint, std::uint64_t aBytes)
{
  if (aEndpoint.empty()) {
    mBodies -= aBytes;
    ServeWaiters();
    return;
  }
  mAnswers -= aBytes;
  const auto found = mByEndpoint.find(aEndpoint);
  if (found != mByEndpoint.end() && (found->second -= aBytes) == 0) {
    mByEndpoint.erase(found);
  }
}

void
memory_account::ServeWaiters()
{
  while (!mWaiters.empty() && BodyFits(mWaiters.begin()->second.mBytes,
                                       mWaiters.begin()->second.mBytes)) {
    const waiter first = std::move(mWaiters.begin()->second);
    mWaiters.erase(mWaiters.begin());
    Add({}, first.mBytes);
    first.mOnRoom(memory_charge(memory_account_ptr(this), {}, first.mBytes));
  }
}

void
memory_account::Tell(memory_event aEvent) const
{
  if (mOnEvent) {
    mOnEvent(aEvent);
  }
}

memory_use
memory_account::Use() const
{
  return { mBodies, mAnswers, mPeak, mWaiters.size() };
}

} // namespace thornhollow
