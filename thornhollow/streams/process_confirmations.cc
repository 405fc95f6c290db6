#include "thornhollow/streams/process_confirmations.h"

#include <algorithm>
#include <utility>

namespace thornhollow {

bool
process_confirmations::Covers(process_number aProcess, time_point aMadeAt) const
{
  const auto found = mKnown.find(aProcess);
  return found != mKnown.end() && found->second.mConfirmedAt &&
         aMadeAt <= *found->second.mConfirmedAt;
}

bool
process_confirmations::Await(process_number aProcess,
                             time_point aMadeAt,
                             handler aHandler,
                             time_point aNow)
{
  known& process = mKnown[aProcess];
  process.mWaiting.push_back({ aMadeAt, std::move(aHandler) });
  if (process.mAskedAt) {
    return false;
  }
  process.mAskedAt = aNow;
  return true;
}

process_confirmations::answered
process_confirmations::OnAnswer(process_number aProcess,
                                process_verdict aVerdict,
                                time_point aNow)
{
  answered answer;
  const auto found = mKnown.find(aProcess);
  if (found == mKnown.end() || !found->second.mAskedAt) {
    return answer;
  }
  known& process = found->second;
  const time_point askedAt = *std::exchange(process.mAskedAt, std::nullopt);
  if (aVerdict == process_verdict::kListed) {
    process.mConfirmedAt = askedAt;
  }
  const auto isLater = [askedAt](const waiting& aOne) {
    return aOne.mMadeAt > askedAt;
  };
  const auto done = std::stable_partition(
    process.mWaiting.begin(), process.mWaiting.end(), isLater);
  for (auto each = done; each != process.mWaiting.end(); ++each) {
    answer.mHandlers.push_back(std::move(each->mHandler));
  }
  process.mWaiting.erase(done, process.mWaiting.end());
  if (!process.mWaiting.empty()) {
    process.mAskedAt = aNow;
    answer.mAskAgain = true;
  }
  return answer;
}

std::vector<process_confirmations::handler>
process_confirmations::Forget(process_number aProcess)
{
  std::vector<handler> handlers;
  const auto found = mKnown.find(aProcess);
  if (found == mKnown.end()) {
    return handlers;
  }
  for (waiting& each : found->second.mWaiting) {
    handlers.push_back(std::move(each.mHandler));
  }
  mKnown.erase(found);
  return handlers;
}

} // namespace thornhollow
