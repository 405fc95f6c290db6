#include "thornhollow/request/answer_end.h"

#include <array>

namespace thornhollow {
namespace {

constexpr std::array<std::string_view, 3> kFramingNames = { "length",
                                                            "chunks",
                                                            "connection" };
constexpr std::array<std::string_view, 4> kEnds = {
  "answer ended whole",
  "answer ended with its connection",
  "stream ended inside an event",
  "connection ended before the first event"
};

constexpr std::array<std::string_view, 6> kCallerEnds = {
  "none", "length", "last_chunk", "in_order", "no_last_chunk", "reset"
};

} // namespace

std::string_view
Name(caller_end aEnd)
{
  return kCallerEnds.at(static_cast<std::size_t>(aEnd));
}

std::string_view
Name(answer_framing aFraming)
{
  return kFramingNames[static_cast<std::size_t>(aFraming)];
}

std::string_view
Describe(answer_end aEnd)
{
  return kEnds[static_cast<std::size_t>(aEnd)];
}

answer_end
JudgeStreamEnd(answer_framing aFraming,
               const event_splitter& aEvents,
               bool aHasBytes)
{
  if (aEvents.HasUnfinished()) {
    return answer_end::kInsideEvent;
  }
  if (aFraming == answer_framing::kConnection && !aHasBytes) {
    return answer_end::kBeforeFirstEvent;
  }
  return JudgeEnd(aFraming);
}

} // namespace thornhollow
