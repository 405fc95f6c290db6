#include "thornhollow/daemon/relayed_answer.h"

#include <algorithm>
#include <utility>

#include "thornhollow/request/forwarding_headers.h"
#include "thornhollow/request/relay_headers.h"

namespace thornhollow {
namespace {

// Maximum size in bytes of an answer that is not streamed, which is buffered
// until complete.
constexpr std::size_t kMaxBufferedAnswerBytes = std::size_t{ 8 } << 20U;
constexpr std::string_view kNoRoom =
  "answers exceed their endpoint's share of memory";
constexpr std::size_t kMaxEventBytes = std::size_t{ 1 } << 20U;

} // namespace

relayed_answer::relayed_answer(caller_exchange_ptr aExchange,
                               bool aIsForwarded,
                               memory_account_ptr aMemory)
  : mExchange(std::move(aExchange))
  , mIsForwarded(aIsForwarded)
  , mMemory(std::move(aMemory))
  , mEvents(kMaxEventBytes)
{
}

void
relayed_answer::BeginAttempt()
{
  mStatus = 0;
  mTraits = {};
  mFraming.reset();
  mToldAttempts = 0;
  mHasBytes = false;
  // Frees the bytes too, as their charge is given back.
  mHeldBack = std::string();
  mHeldCharge.reset();
}

void
relayed_answer::DropUnfinished()
{
  mEvents.DropUnfinished();
  mEventsCharge = memory_charge();
}

void
relayed_answer::OnHead(const relay_answer_head& aHead,
                       const answer_traits& aTraits)
{
  mStatus = aHead.mStatus;
  mTraits = aTraits;
  mFraming = aHead.mFraming;
  if (!mBegun) {
    mHeaders = AnswerHeaders(aHead.mHeaders);
  }
}

void
relayed_answer::TellAttempts(std::uint32_t aAttempts)
{
  if (mBegun) {
    mExchange->Send(stream_text{ AttemptsComment(aAttempts) });
  } else {
    mExchange->Send(interim_reply{ { ForwardingAttemptsHeader(aAttempts) } });
  }
}

void
relayed_answer::OnAttemptsTold(std::uint32_t aAttempts)
{
  mToldAttempts = std::max(mToldAttempts, aAttempts);
}

void
relayed_answer::AddHeader(header_field aField)
{
  if (!mBegun) {
    mHeaders.push_back(std::move(aField));
  }
}

std::optional<std::string_view>
relayed_answer::OnBytes(const std::string& aBytes, time_point aNow)
{
  mHasBytes = true;
  mLastPause.reset();
  if (!mTraits.mIsStream) {
    if (mHeldBack.size() + aBytes.size() > kMaxBufferedAnswerBytes) {
      return "answer exceeds the size limit";
    }
    return HoldBack(aBytes) ? std::nullopt
                            : std::optional<std::string_view>(kNoRoom);
  }
  // Charged before the events are taken: those that were taken count as sent
  // when the stream is continued elsewhere.
  if (mMemory &&
      !mMemory->GrowAnswer(mEventsCharge, mTraits.mFrom, aBytes.size())) {
    return kNoRoom;
  }
  mEvents.Feed(aBytes);
  if (mEvents.Overflowed()) {
    return "event exceeds the size limit";
  }
  SendEvents(mEvents.TakeWhole(), aNow);
  return std::nullopt;
}

// The capacity is charged, since the string grows by doubling.
bool
relayed_answer::HoldBack(const std::string& aBytes)
{
  if (!mMemory) {
    mHeldBack += aBytes;
    return true;
  }
  if (!mHeldCharge) {
    mHeldCharge = std::make_shared<memory_charge>();
  }
  const std::size_t size = mHeldBack.size() + aBytes.size();
  const std::size_t wanted = size > mHeldBack.capacity()
                               ? std::max(size, 2 * mHeldBack.capacity())
                               : mHeldCharge->Bytes();
  if (wanted > mHeldCharge->Bytes() &&
      !mMemory->GrowAnswer(
        *mHeldCharge, mTraits.mFrom, wanted - mHeldCharge->Bytes())) {
    return false;
  }
  mHeldBack += aBytes;
  return true;
}

answer_end
relayed_answer::JudgeEnd() const
{
  return mTraits.mIsStream ? JudgeStreamEnd(Framing(), mEvents, mHasBytes)
                           : thornhollow::JudgeEnd(Framing());
}

bool
relayed_answer::SendEnd(time_point aNow)
{
  mLastPause.reset();
  if (!mTraits.mIsStream) {
    MarkIfForwarded();
    const bool openEnded = IsOpenEnded() && !mIsForwarded;
    mEndAtCaller = openEnded ? caller_end::kInOrder : caller_end::kLength;
    mExchange->Send(whole_reply{ mStatus,
                                 mHeaders,
                                 "",
                                 std::move(mHeldBack),
                                 openEnded,
                                 std::move(mHeldCharge) });
    return true;
  }
  SendEvents(mEvents.TakeAll(), aNow);
  SendStreamHead();
  if (IsOpenEnded() && !mBegunOpenEnded) {
    return false;
  }
  mEndAtCaller = StreamEnd(IsChunkedForCaller(), false);
  mExchange->Send(stream_end{});
  return true;
}

void
relayed_answer::SendAbort()
{
  mEndAtCaller = StreamEnd(IsChunkedForCaller(), true);
  mExchange->Send(stream_abort{});
}

bool
relayed_answer::IsChunkedForCaller() const
{
  return mExchange->Request().mReadsChunks &&
         (!mBegunOpenEnded || mIsForwarded);
}

// The endpoint's framing, also where another instance asked it.
answer_framing
relayed_answer::Framing() const
{
  return mTraits.mMarkedOpenEnded
           ? answer_framing::kConnection
           : mFraming.value_or(answer_framing::kConnection);
}

void
relayed_answer::SendEvents(std::string aText, time_point aNow)
{
  if (mTraits.mIsFromInstance) {
    OnAttemptsTold(TakeAttemptsComments(aText).value_or(0));
  }
  if (aText.empty()) {
    return;
  }
  SendStreamHead();
  if (mLastSent) {
    mLastPause = aNow - *mLastSent;
    mLongestPause = std::max(mLongestPause, *mLastPause);
  }
  mLastSent = aNow;
  auto charge = mMemory ? std::make_shared<const memory_charge>(
                            std::exchange(mEventsCharge, memory_charge()))
                        : nullptr;
  mExchange->Send(stream_text{ std::move(aText), std::move(charge) });
}

// Does nothing if it was sent already.
void
relayed_answer::SendStreamHead()
{
  if (std::exchange(mBegun, true)) {
    return;
  }
  mBegunOpenEnded = IsOpenEnded();
  MarkIfForwarded();
  mExchange->Send(
    stream_head{ mHeaders, mStatus, true, mBegunOpenEnded && !mIsForwarded });
}

// Tells the forwarding instance that the answer is open-ended.
void
relayed_answer::MarkIfForwarded()
{
  if (mIsForwarded && IsOpenEnded()) {
    mHeaders.push_back({ std::string(kForwardingOpenEndedHeader), "1" });
  }
}

} // namespace thornhollow
