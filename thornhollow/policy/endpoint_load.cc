#include "thornhollow/policy/endpoint_load.h"

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
  const double seen = std::max(0.0, total - InFlightAt(taken));
  if (!mReportTaken) {
    mOthers = seen;
  } else {
    const double passed = ToSeconds(taken - *mReportTaken);
    const double kept = std::exp(-passed / ToSeconds(mSettings.mSmoothing));
    mOthers = seen + (mOthers - seen) * kept;
  }
  mReportTaken = taken;
}

void
endpoint_load::ForgetReport()
{
  mReportTaken.reset();
  mOthers = 0;
}

double
endpoint_load::Others(time_point aNow) const
{
  if (!mReportTaken) {
    return 0;
  }
  const duration age = aNow - *mReportTaken;
  if (age >= mSettings.mNothingFrom) {
    return 0;
  }
  const double faded = ToSeconds(age - mSettings.mFullUntil) /
                       ToSeconds(mSettings.mNothingFrom - mSettings.mFullUntil);
  return mOthers * (1 - std::max(0.0, faded));
}

void
endpoint_load::Record(time_point aNow)
{
  mChanges[mNext] = { aNow, mInFlight };
  mNext = (mNext + 1) % kChanges;
}

std::uint32_t
endpoint_load::InFlightAt(time_point aThen) const
{
  // Newest first. A slot never written has the clock's origin and a count of
  // zero, which is what was in flight before the first request.
  std::uint32_t oldest = mInFlight;
  for (std::size_t back = 1; back <= kChanges; ++back) {
    const change& each = mChanges[(mNext + kChanges - back) % kChanges];
    oldest = each.mCount;
    if (each.mAt <= aThen) {
      break;
    }
  }
  return oldest;
}

} // namespace thornhollow
