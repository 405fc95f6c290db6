#include "thornhollow/request/open_end.h"

#include <array>
#include <cstddef>

namespace thornhollow {
namespace {

constexpr std::array<std::string_view, 5> kGrounds = { "open_connection",
                                                       "process_answered",
                                                       "no_answer",
                                                       "refused",
                                                       "other_process" };

} // namespace

std::string_view
Name(open_end_ground aGround)
{
  return kGrounds.at(static_cast<std::size_t>(aGround));
}

std::optional<open_end_ground>
JudgeWithoutAsking(const open_end_signs& aSigns)
{
  if (aSigns.mIsOtherProcess) {
    return open_end_ground::kOtherProcess;
  }
  if (aSigns.mHasOpenConnection) {
    return open_end_ground::kOpenConnection;
  }
  return std::nullopt;
}

open_end_ground
JudgeAnswer(process_verdict aVerdict)
{
  switch (aVerdict) {
    case process_verdict::kListed:
      return open_end_ground::kProcessAnswered;
    case process_verdict::kOther:
      return open_end_ground::kOtherProcess;
    case process_verdict::kRefused:
      return open_end_ground::kConnectionRefused;
    case process_verdict::kUnknown:
      break;
  }
  return open_end_ground::kNoAnswer;
}

} // namespace thornhollow
