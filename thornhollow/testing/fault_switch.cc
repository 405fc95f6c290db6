#include "thornhollow/testing/fault_switch.h"

#include <utility>
#include <vector>

namespace thornhollow::testing {

void
fault_switch::SetListener(listener_control aListener)
{
  mListener = std::move(aListener);
}

bool
fault_switch::EndsEndpoint(std::string_view aBody) const
{
  return !mMode.mEndOn.empty() &&
         aBody.find(mMode.mEndOn) != std::string_view::npos;
}

void
fault_switch::EndEndpoint()
{
  ++mEnded;
  if (mListener.mEnd) {
    mListener.mEnd(Milliseconds(mMode.mBackAfterMs));
  }
}

void
fault_switch::SetMode(const http_request& aRequest,
                      const exchange_ptr& aExchange)
{
  const result<misbehaviour> mode = ReadMisbehaviour(aRequest.mBody);
  if (!mode) {
    aExchange->Answer(400, {}, "unknown or wrong field\n");
    return;
  }
  mMode = *mode;
  if (mListener.mRefuse) {
    mListener.mRefuse(mMode.mRefuse);
  }
  aExchange->Answer(200, {}, "{}");
}

bool
fault_switch::FailsBeforeRun(const misbehaviour& aFaults,
                             const exchange_ptr& aExchange)
{
  if (aFaults.mFreeze) {
    return true;
  }
  if (aFaults.mCrashBeforeRun) {
    aExchange->Cut();
    return true;
  }
  if (aFaults.mErrorStatus) {
    aExchange->Answer(*aFaults.mErrorStatus, {}, {});
    return true;
  }
  if (aFaults.mDecline || aFaults.mLeaving) {
    Decline(aExchange, aFaults.mLeaving, aFaults.mRestMs);
    return true;
  }
  return false;
}

void
fault_switch::Decline(const exchange_ptr& aExchange,
                      bool aLeaving,
                      std::optional<std::uint32_t> aRestMs)
{
  ++mDeclined;
  std::vector<http_header> headers{ { "X-Request-Ran", "no" } };
  if (aLeaving) {
    headers.push_back({ "X-Leaving", "yes" });
  }
  if (aRestMs) {
    constexpr double kMillisecondsPerSecond = 1'000;
    headers.push_back(
      { "Retry-After", std::to_string(*aRestMs / kMillisecondsPerSecond) });
  }
  aExchange->Answer(503, std::move(headers), {});
}

} // namespace thornhollow::testing
