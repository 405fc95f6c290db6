#include "thornhollow/daemon/crash_guard.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <memory>
#include <random>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <fmt/format.h>

#include "thornhollow/net/clock.h"
#include "thornhollow/net/endpoint_probe.h"

namespace thornhollow {
namespace {

// A host that refuses a connection does so within a round trip.
constexpr duration kProbeTimeout = Milliseconds(100);
// How long the result of a probe holds: connections to one process break within
// milliseconds of each other, and a process takes longer to start again.
constexpr duration kProbeValidity = Seconds(1);
// Other endpoints that are probed to confirm an end.
constexpr std::ptrdiff_t kMaxOtherProbes = 4;
// Items gather for this long between two messages.
constexpr duration kReportInterval = Milliseconds(5);

std::uint64_t
RandomNumber()
{
  std::random_device device;
  return std::uint64_t{ device() } << 32U | device();
}

} // namespace

crash_guard::crash_guard(boost::asio::io_context& aIo,
                         json_log& aLog,
                         metrics& aMetrics)
  : mIo(aIo)
  , mLog(aLog)
  , mMetrics(aMetrics)
  , mSuspects(crash_suspects_settings{}, RandomNumber())
  , mGossip(crash_gossip_settings{}, mSuspects, RandomNumber())
  , mRandom(RandomNumber())
  , mTimer(aIo)
{
}

send_decision
crash_guard::BeforeSend(const suspect_attempt& aAttempt, time_point aNow)
{
  const send_decision decision = mSuspects.BeforeSend(aAttempt, aNow);
  if (decision.mKeepEndpoint) {
    mMetrics.OnEvent("suspect_trial");
  }
  SendReports();
  return decision;
}

run_progress
crash_guard::OnProgress(const request_features& aFeatures,
                        std::uint64_t aTicket,
                        run_progress aBefore,
                        run_progress aReached,
                        time_point aNow)
{
  if (aReached <= aBefore) {
    return aBefore;
  }
  for (const run_progress each :
       { run_progress::kBegun, run_progress::kGoing }) {
    if (each > aBefore && each <= aReached) {
      mSuspects.OnOutput(aFeatures, aTicket, aNow, each);
    }
  }
  SendReports();
  return aReached;
}

void
crash_guard::OnSendEnded(const request_features& aFeatures,
                         std::uint64_t aTicket,
                         time_point aNow)
{
  mSuspects.OnSendEnded(aFeatures, aTicket, aNow);
  SendReports();
}

duration
crash_guard::RejectionTime(const request_features& aFeatures,
                           time_point aNow) const
{
  const auto feature = mSuspects.RejectedFeature(aFeatures, aNow);
  const auto until = feature ? mSuspects.RejectedUntil(*feature) : std::nullopt;
  return until ? std::max(*until - aNow, duration::zero()) : duration::zero();
}

void
crash_guard::OnRejected(const request_id& aId,
                        const request_features& aFeatures)
{
  mMetrics.OnEvent("suspect_rejected");
  const request_feature cause =
    mSuspects.RejectedFeature(aFeatures, Now()).value_or(aFeatures.mContent);
  mLog.WriteRequest(
    log_level::kInfo,
    "request_rejected",
    { { "request", aId.Text() },
      { "fingerprint", Text(aFeatures.mContent) },
      { "feature", Text(cause) },
      { "feature_kind", std::string(Name(cause.Kind())) },
      { "endpoints_ended",
        static_cast<std::int64_t>(mSuspects.EndedUnder(cause)) } });
}

void
crash_guard::OnAttemptLost(const lost_attempt& aLost,
                           std::function<void(bool aEnded)> aDone)
{
  const time_point now = Now();
  probed_process& probed = mProbed[aLost.mProcess];
  if (probed.mEnded && now - probed.mBrokenAt >= kProbeValidity) {
    probed = {};
  }
  if (probed.mEnded) {
    if (*probed.mEnded) {
      Record(aLost, probed.mBrokenAt);
    }
    aDone(*probed.mEnded);
    return;
  }
  const bool isFirst = probed.mWaiting.empty();
  if (isFirst) {
    probed.mBrokenAt = now;
  }
  probed.mWaiting.push_back(
    [this, aLost, at = probed.mBrokenAt, done = std::move(aDone)](bool aEnded) {
      if (aEnded) {
        Record(aLost, at);
      }
      done(aEnded);
    });
  if (isFirst) {
    ProbeLost(aLost.mProcess);
  }
}

void
crash_guard::ProbeLost(const endpoint_process& aProcess)
{
  ProbeEndpoint(mIo,
                aProcess.mAddress,
                kProbeTimeout,
                [this, process = aProcess](endpoint_probe aProbe) {
                  if (aProbe.mConnection && mOnSpareConnection) {
                    mOnSpareConnection(process, std::move(aProbe.mConnection));
                  }
                  if (aProbe.mVerdict == probe_verdict::kRefuses) {
                    ConfirmEnd(process);
                  } else {
                    OnProbed(process, false);
                  }
                });
}

// Finds out whether this instance still reaches other endpoints.
void
crash_guard::ConfirmEnd(const endpoint_process& aProcess)
{
  const std::vector<std::string> others = DrawOthers(aProcess.mAddress);
  if (others.empty()) {
    OnProbed(aProcess, true);
    return;
  }
  const auto missing = std::make_shared<std::size_t>(others.size());
  const auto done = std::make_shared<bool>(false);
  for (const std::string& each : others) {
    ProbeEndpoint(
      mIo,
      each,
      kProbeTimeout,
      [this, process = aProcess, missing, done](const endpoint_probe& aProbe) {
        const bool accepts = aProbe.mVerdict == probe_verdict::kAccepts;
        --*missing;
        if ((accepts || *missing == 0) && !std::exchange(*done, true)) {
          OnProbed(process, accepts);
        }
      });
  }
}

// Draws a few endpoints other than the one at `aAddress`.
std::vector<std::string>
crash_guard::DrawOthers(const std::string& aAddress)
{
  std::vector<std::string> others =
    mEndpoints ? mEndpoints() : std::vector<std::string>();
  std::erase(others, aAddress);
  std::vector<std::string> drawn;
  std::ranges::sample(
    others, std::back_inserter(drawn), kMaxOtherProbes, mRandom);
  return drawn;
}

void
crash_guard::OnProbed(const endpoint_process& aProcess, bool aEnded)
{
  probed_process& probed = mProbed[aProcess];
  probed.mEnded = aEnded;
  if (aEnded) {
    mMetrics.OnEvent("endpoint_ended");
    mLog.Write(
      log_level::kInfo,
      "endpoint_ended",
      { { "address", aProcess.mAddress },
        { "suspects", static_cast<std::int64_t>(probed.mWaiting.size()) } });
  }
  for (const auto& each : std::exchange(probed.mWaiting, {})) {
    each(aEnded);
  }
  LogRejections();
  SendReports();
}

void
crash_guard::Record(const lost_attempt& aLost, time_point aEndedAt)
{
  mSuspects.OnEndpointEnded(aLost.mAttempt, aEndedAt, Now(), aLost.mProgress);
  const request_features& features = aLost.mAttempt.mFeatures;
  std::size_t mostUnderPart = 0;
  for (const request_feature each : features.mParts) {
    mostUnderPart = std::max(mostUnderPart, mSuspects.EndedUnder(each));
  }
  mLog.WriteRequest(
    log_level::kInfo,
    "request_suspected",
    { { "request", aLost.mId.Text() },
      { "fingerprint", Text(features.mContent) },
      { "parts", PartsText(features) },
      { "endpoint", aLost.mEndpoint.Text() },
      { "progress", static_cast<std::int64_t>(aLost.mProgress) },
      { "endpoints_ended",
        static_cast<std::int64_t>(mSuspects.EndedUnder(features.mContent)) },
      { "parts_endpoints_ended", static_cast<std::int64_t>(mostUnderPart) } });
}

void
crash_guard::OnReport(const crash_report& aReport)
{
  mSuspects.Merge(aReport, Now());
  LogRejections();
  SendReports();
}

void
crash_guard::OnDigest(const std::string& aPeer, std::uint64_t aDigest)
{
  for (const outgoing_crash_report& each :
       mGossip.OnDigest(aPeer, aDigest, Now())) {
    mPeers.mSend(each.mTo, each.mReport);
  }
}

void
crash_guard::Tick(time_point aNow)
{
  mSuspects.Tick(aNow);
  std::erase_if(mProbed, [aNow](const auto& aEntry) {
    return aEntry.second.mWaiting.empty() &&
           aNow - aEntry.second.mBrokenAt >= kProbeValidity;
  });
  SendReports();
}

void
crash_guard::SendReports()
{
  if (!mPeers.mAddresses || !mSuspects.HasNews(Now())) {
    return;
  }
  for (const outgoing_crash_report& each :
       mGossip.Due(mPeers.mAddresses(), Now())) {
    if (!each.mTo.empty()) {
      mPeers.mSend(each.mTo, each.mReport);
    }
  }
  if (mSuspects.HasNews(Now()) && !std::exchange(mTimerArmed, true)) {
    mTimer.expires_after(kReportInterval);
    mTimer.async_wait([this](const boost::system::error_code& aError) {
      if (!aError) {
        mTimerArmed = false;
        SendReports();
      }
    });
  }
}

void
crash_guard::LogRejections()
{
  for (const crash_rejection& each : mSuspects.TakeRejections()) {
    std::string endpoints;
    for (const endpoint_hash one : each.mEndpoints) {
      endpoints += fmt::format("{}{:08x}", endpoints.empty() ? "" : " ", one);
    }
    mMetrics.OnEvent("suspect_rejection_begun");
    mLog.Write(log_level::kWarning,
               "rejection_begun",
               { { "feature", Text(each.mFeature) },
                 { "feature_kind", std::string(Name(each.mFeature.Kind())) },
                 { "endpoint_hashes", endpoints } });
  }
}

} // namespace thornhollow
