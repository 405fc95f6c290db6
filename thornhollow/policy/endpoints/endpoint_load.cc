#include "thornhollow/policy/endpoints/endpoint_load.h"

#include <algorithm>
#include <cmath>

namespace thornhollow {

endpoint_load::endpoint_load(const endpoint_load_settings& aSettings)
  : mSettings(aSettings)
{
}

void
endpoint_load::OnSent(time_point aNow)
{
  ++mInFlight;
  Record(aNow);
}

void
endpoint_load::OnEnded(time_point aNow)
{
  if (mInFlight > 0) {
    --mInFlight;
    Record(aNow);
  }
}

void
endpoint_load::OnReport(const load_report& aReport, time_point aNow)
{
  const time_point taken = std::min(aReport.mMeasuredAt, aNow);
  if (!mSettings.mUseReports || (mReportTaken && taken < *mReportTaken)) {
    return;
  }
  const double total = static_cast<double>(aReport.mRunning) + aReport.mWaiting;
  const double observed = std::max(0.0, total - InFlightAt(taken));
  if (!mReportTaken) {
    mOthersInFlight = observed;
  } else {
    const double elapsed = ToSeconds(taken - *mReportTaken);
    const double decay =
      std::exp(-elapsed / ToSeconds(mSettings.mSmoothingTime));
    mOthersInFlight = observed + (mOthersInFlight - observed) * decay;
  }
  mReportTaken = taken;
}

void
endpoint_load::DiscardReport()
{
  mReportTaken.reset();
  mOthersInFlight = 0;
}

double
endpoint_load::OthersInFlight(time_point aNow) const
{
  if (!mReportTaken) {
    return 0;
  }
  const duration age = aNow - *mReportTaken;
  if (age >= mSettings.mZeroWeightAge) {
    return 0;
  }
  const double fadedFraction =
    ToSeconds(age - mSettings.mFullWeightAge) /
    ToSeconds(mSettings.mZeroWeightAge - mSettings.mFullWeightAge);
  return mOthersInFlight * (1 - std::max(0.0, fadedFraction));
}

void
endpoint_load::Record(time_point aNow)
{
  mHistory[mNext] = { aNow, mInFlight };
  mNext = (mNext + 1) % kHistorySize;
}

std::uint32_t
endpoint_load::InFlightAt(time_point aThen) const
{
  // Searches the history from the newest sample to the oldest. A sample that
  // was never written has the clock's epoch as its time and a count of zero,
  // which is correct before the first request.
  std::uint32_t oldest = mInFlight;
  for (std::size_t back = 1; back <= kHistorySize; ++back) {
    const in_flight_sample& each =
      mHistory[(mNext + kHistorySize - back) % kHistorySize];
    oldest = each.mCount;
    if (each.mAt <= aThen) {
      break;
    }
  }
  return oldest;
}

} // namespace thornhollow
