#include "thornhollow/net/internal/queued_exchange.h"

#include <utility>
#include <variant>

#include "thornhollow/net/internal/awaitable.h"

namespace thornhollow::net_internal {
namespace {

std::size_t
BytesOf(const reply_part& aPart)
{
  if (const auto* whole = std::get_if<whole_reply>(&aPart)) {
    return whole->mBody.size();
  }
  if (const auto* text = std::get_if<stream_text>(&aPart)) {
    return text->mText.size();
  }
  return 0;
}

bool
HasCharge(const reply_part& aPart)
{
  if (const auto* whole = std::get_if<whole_reply>(&aPart)) {
    return whole->mCharge != nullptr;
  }
  if (const auto* text = std::get_if<stream_text>(&aPart)) {
    return text->mCharge != nullptr;
  }
  return true;
}

// So much of an answer may wait uncharged, so that a refusal needs no room.
constexpr std::size_t kFreeUnsentBytes = std::size_t{ 64 } << 10U;

} // namespace

bool
IsLast(const reply_part& aPart)
{
  return std::holds_alternative<whole_reply>(aPart) ||
         std::holds_alternative<stream_end>(aPart) ||
         std::holds_alternative<stream_abort>(aPart);
}

queued_exchange::queued_exchange(const boost::asio::any_io_executor& aExecutor,
                                 caller_request aRequest,
                                 unsent_limits aLimits,
                                 request_charges aCharges,
                                 time_point aArrival)
  : mCharges(std::move(aCharges))
  , mRequest(std::move(aRequest))
  , mArrival(aArrival)
  , mLimits(std::move(aLimits))
  , mSignal(aExecutor, boost::asio::steady_timer::time_point::max())
{
}

void
queued_exchange::Send(reply_part aPart)
{
  if (mGone || mLastQueued) {
    return;
  }
  mUnsentBytes += BytesOf(aPart);
  mUncharged += HasCharge(aPart) ? 0 : BytesOf(aPart);
  mLastQueued = IsLast(aPart);
  mParts.push_back(std::move(aPart));
  // A caller that reads more slowly than its answer comes would let the
  // answer pile up here without bound.
  if (mUnsentBytes > mLimits.mMaxBytes || !ChargeUnsent()) {
    Leave();
  }
  mSignal.cancel();
}

bool
queued_exchange::ChargeUnsent()
{
  if (!mLimits.mMemory || mUncharged <= kFreeUnsentBytes ||
      mUncharged <= mUnsentCharge.Bytes()) {
    return true;
  }
  return mLimits.mMemory->GrowAnswer(
    mUnsentCharge, "", mUncharged - mUnsentCharge.Bytes());
}

void
queued_exchange::OnLeft(std::function<void()> aListener)
{
  mOnLeft = std::move(aListener);
}

void
queued_exchange::Leave()
{
  if (std::exchange(mGone, true)) {
    return;
  }
  mSignal.cancel();
  const auto listener = std::exchange(mOnLeft, nullptr);
  if (listener && !mLastQueued) {
    listener();
  }
}

boost::asio::awaitable<std::optional<reply_part>>
queued_exchange::Next()
{
  while (mParts.empty() && !mGone) {
    boost::system::error_code ignored;
    co_await mSignal.async_wait(Into(ignored));
  }
  if (mGone) {
    co_return std::nullopt;
  }
  reply_part part = std::move(mParts.front());
  mParts.pop_front();
  mUnsentBytes -= BytesOf(part);
  mUncharged -= HasCharge(part) ? 0 : BytesOf(part);
  if (mUncharged == 0) {
    mUnsentCharge = memory_charge();
  }
  co_return part;
}

} // namespace thornhollow::net_internal
