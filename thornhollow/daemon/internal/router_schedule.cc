#include <algorithm>
#include <iterator>
#include <memory>
#include <set>
#include <utility>

#include "thornhollow/base/endpoint_hash.h"
#include "thornhollow/daemon/internal/router_core.h"
#include "thornhollow/net/clock.h"

namespace thornhollow {

void
router::core::Apply(decisions aDecisions)
{
  Run([&] {
    std::ranges::move(aDecisions, std::back_inserter(mPendingDecisions));
  });
}

void
router::core::Execute(const start& aStart)
{
  const auto found = mLive.find(aStart.mTicket);
  if (found == mLive.end()) {
    return;
  }
  live_request& live = *found->second;
  live.mUsesMinimumShare = aStart.mUsesMinimumShare;
  // A claim may have expired while the request waited or this process was
  // paused. Until the request has run, the claim is confirmed before each
  // attempt.
  if (live.mKeyStage != key_stage::kNone && live.mMachine.Ran() == ran::kNo) {
    live.mKeyStage = key_stage::kConfirming;
    live.mConfirmingEndpoint = aStart.mEndpoint;
    mKeys->BeforeSend(aStart.mTicket);
    return;
  }
  Grant(live, aStart.mEndpoint);
}

void
router::core::Grant(live_request& aLive, const endpoint_name& aEndpoint)
{
  const time_point now = Now();
  const ticket number = aLive.mTicket;
  const send_decision decision =
    mCrashes.BeforeSend(SuspectAttempt(aLive, aEndpoint), now);
  UpdateReserved();
  if (decision.mVerdict == send_verdict::kSend) {
    aLive.mHeldSince.reset();
    DispatchEvent(number, attempt_granted{ aEndpoint });
    return;
  }
  if (decision.mVerdict == send_verdict::kReject) {
    mCrashes.OnRejected(aLive.mId, aLive.mFeatures);
    RefuseStarted(number,
                  { error_kind::kRequestEndsEndpoints,
                    mCrashes.RejectionTime(aLive.mFeatures, now) });
    return;
  }
  if (!aLive.mHeldSince) {
    aLive.mHeldSince = now;
  }
  if (now - *aLive.mHeldSince >= crash_guard::kMaxWait) {
    RefuseStarted(number, { error_kind::kSuspectHeld, duration{} });
    return;
  }
  const auto timer = std::make_shared<boost::asio::steady_timer>(
    mIo, crash_guard::kWaitInterval);
  timer->async_wait(
    [this, timer, number, aEndpoint](const boost::system::error_code&) {
      if (const auto found = mLive.find(number); found != mLive.end()) {
        const live_request_ptr live = found->second;
        Grant(*live, aEndpoint);
      }
    });
}

void
router::core::RefuseStarted(ticket aTicket, const schedule_refused& aRefusal)
{
  Apply(mScheduler.OnAttemptEnded(aTicket, attempt_end::kCancelled, 0, Now()));
  DispatchEvent(aTicket, aRefusal);
}

std::vector<std::string>
router::core::EndpointAddresses() const
{
  std::vector<std::string> addresses;
  for (const endpoint& each : mCatalog->Declared().mEndpoints) {
    addresses.push_back(each.mAddress);
  }
  return addresses;
}

suspect_attempt
router::core::SuspectAttempt(const live_request& aLive,
                             const endpoint_name& aEndpoint) const
{
  const auto& declared = mCatalog->Declared().mEndpoints;
  const auto poolSize =
    std::ranges::count_if(declared, [&](const endpoint& aEntry) {
      return std::ranges::count(aEntry.mPools, aLive.mIntake.mPool) > 0;
    });
  return { aLive.mFeatures,
           aLive.mTicket,
           EndpointHash(aEndpoint),
           static_cast<std::size_t>(poolSize) };
}

void
router::core::UpdateReserved()
{
  const std::uint64_t changes = mCrashes.ReservationChanges();
  if (mCatalog == nullptr ||
      std::exchange(mReservationChanges, changes) == changes) {
    return;
  }
  std::map<pool_name, std::size_t> serving;
  for (const endpoint_status& each : mScheduler.Endpoints(Now())) {
    const endpoint* declared = mCatalog->EndpointByName(each.mName.Text());
    if (declared == nullptr || !mReservations.IsLive(each.mName) ||
        each.mHealth != health_state::kHealthy) {
      continue;
    }
    for (const pool_name& pool : declared->mPools) {
      ++serving[pool];
    }
  }
  std::set<endpoint_name> reserved;
  for (const endpoint& each : mCatalog->Declared().mEndpoints) {
    const bool isSpare = std::ranges::all_of(
      each.mPools, [&](const pool_name& aPool) { return serving[aPool] > 1; });
    if (isSpare && mCrashes.IsReserved(EndpointHash(each.mName), Now())) {
      reserved.insert(each.mName);
    }
  }
  ApplyStates(mReservations.SetReserved(std::move(reserved)));
}

void
router::core::ApplyStates(const endpoint_state_changes& aChanges)
{
  for (const endpoint_state_change& each : aChanges) {
    Apply(mScheduler.OnEndpointState(each.mEndpoint, each.mState, Now()));
  }
}

void
router::core::Execute(const refuse& aRefuse)
{
  DispatchEvent(aRefuse.mTicket,
                schedule_refused{ aRefuse.mKind, aRefuse.mRetryAfter });
}

void
router::core::ArmSchedulerTimer()
{
  const auto due = mScheduler.NextDue();
  if (due == mSchedulerDue) {
    return;
  }
  mSchedulerDue = due;
  mSchedulerTimer.cancel();
  if (!due) {
    return;
  }
  mSchedulerTimer.expires_at(*due);
  mSchedulerTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      mSchedulerDue.reset();
      Apply(mScheduler.Advance(Now()));
    }
  });
}

} // namespace thornhollow
