#include "thornhollow/fleet/crash_gossip.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace thornhollow {

crash_gossip::crash_gossip(const crash_gossip_settings& aSettings,
                           crash_suspects& aSuspects,
                           std::uint64_t aSeed)
  : mSettings(aSettings)
  , mSuspects(aSuspects)
  , mRandom(aSeed)
  , mAllowance(aSettings.mMaxBurst)
{
}

std::vector<outgoing_crash_report>
crash_gossip::Due(const std::vector<std::string>& aPeers, time_point aNow)
{
  std::vector<outgoing_crash_report> due;
  if (aNow < mNextAt || !mSuspects.HasNews(aNow)) {
    return due;
  }
  mNextAt = aNow + mSettings.mMinInterval;
  mAllowance = std::min(mAllowance + ToSeconds(aNow - mAllowanceAt) *
                                       mSettings.mMessagesPerSecond,
                        mSettings.mMaxBurst);
  mAllowanceAt = aNow;
  const auto fanout =
    static_cast<double>(std::min(aPeers.size(), mSettings.mFanout));
  while (mAllowance >= fanout && mSuspects.HasNews(aNow)) {
    crash_report report = mSuspects.NextReport(mSettings.mMaxReportBytes, aNow);
    if (!report.empty()) {
      mAllowance -= fanout;
      due.push_back({ DrawRecipients(aPeers), std::move(report) });
    }
  }
  return due;
}

std::vector<outgoing_crash_report>
crash_gossip::OnDigest(const std::string& aPeer,
                       std::uint64_t aDigest,
                       time_point aNow)
{
  if (aDigest == mSuspects.Digest()) {
    return {};
  }
  std::erase_if(mNextFullReport,
                [aNow](const auto& aEntry) { return aNow >= aEntry.second; });
  if (!mNextFullReport.try_emplace(aPeer, aNow + mSettings.mFullReportInterval)
         .second) {
    return {};
  }
  crash_report report =
    mSuspects.FullReport(mSettings.mMaxReportBytes, mTurn++, aNow);
  if (report.empty()) {
    return {};
  }
  return { { { aPeer }, std::move(report) } };
}

std::vector<std::string>
crash_gossip::DrawRecipients(const std::vector<std::string>& aPeers)
{
  std::vector<std::string> drawn;
  std::ranges::sample(aPeers,
                      std::back_inserter(drawn),
                      static_cast<std::ptrdiff_t>(mSettings.mFanout),
                      mRandom);
  return drawn;
}

} // namespace thornhollow
