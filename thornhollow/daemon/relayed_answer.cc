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
constexpr std::size_t kMaxEventBytes = std::size_t{ 1 } << 20U;

} // namespace

relayed_answer::relayed_answer(caller_exchange_ptr aExchange, bool aIsForwarded)
  : mExchange(std::move(aExchange))
  , mIsForwarded(aIsForwarded)
  , mEvents(kMaxEventBytes)
{
}

void
relayed_answer::BeginAttempt()
{
  mStatus = 0;
  mTraits = {};
  mFraming.reset();
  mHasBytes = false;
  mHeldBack.clear();
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
    mHeldBack += aBytes;
    return mHeldBack.size() > kMaxBufferedAnswerBytes
             ? std::optional<std::string_view>("answer exceeds the size limit")
             : std::nullopt;
  }
  mEvents.Feed(aBytes);
  if (mEvents.Overflowed()) {
    return "event exceeds the size limit";
  }
  SendEvents(mEvents.TakeWhole(), aNow);
  return std::nullopt;
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
    mExchange->Send(whole_reply{ mStatus, mHeaders, "", mHeldBack, openEnded });
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
  if (aText.empty()) {
    return;
  }
  SendStreamHead();
  if (mLastSent) {
    mLastPause = aNow - *mLastSent;
    mLongestPause = std::max(mLongestPause, *mLastPause);
  }
  mLastSent = aNow;
  mExchange->Send(stream_text{ std::move(aText) });
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
