#include "thornhollow/policy/endpoints/endpoint_contact.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace thornhollow {

std::string_view
Name(contact_state aState)
{
  constexpr std::array<std::string_view, 3> kNames = { "reached",
                                                       "lost",
                                                       "returning" };
  return kNames[static_cast<std::size_t>(aState)];
}

endpoint_contact::endpoint_contact(const endpoint_contact_settings& aSettings)
  : mSettings(aSettings)
{
}

void
endpoint_contact::OnSent(time_point aNow)
{
  ++mInFlight;
  if (!mUnansweredSince) {
    mUnansweredSince = aNow;
  }
}

void
endpoint_contact::OnEnded()
{
  mInFlight -= std::min(mInFlight, 1U);
  if (mInFlight == 0) {
    mUnansweredSince.reset();
  }
}

void
endpoint_contact::OnAnswer(bool aNewConnection, time_point aNow)
{
  if (mUnansweredSince) {
    mUnansweredSince = aNow;
  }
  if (aNewConnection) {
    OnConnected(aNow);
  }
  // Connections are rarely opened on a calm day, but answers show that the
  // links work as long as no connection has failed.
  if (mState == contact_state::kReached && !mCheckWanted &&
      mCheckOutstanding == 0) {
    mConnectedAt = aNow;
  }
}

void
endpoint_contact::OnConnected(time_point aNow)
{
  mConnectedAt = aNow;
  mReturnFailures = 0;
}

void
endpoint_contact::OnConnectFailed(time_point aNow)
{
  mCheckWanted = true;
  if (mState == contact_state::kReturning) {
    OnReturnFailure(aNow);
  }
}

void
endpoint_contact::OnTrouble()
{
  mCheckWanted = true;
}

void
endpoint_contact::OnEndpointJoined()
{
  mNextProbe = {};
}

bool
endpoint_contact::IsCheckDue(time_point aNow) const
{
  if (mState != contact_state::kReached || mCheckOutstanding > 0) {
    return false;
  }
  const bool unanswered =
    mUnansweredSince &&
    aNow - *mUnansweredSince >= mSettings.mUnansweredTimeout &&
    aNow >= mNextUnansweredCheck;
  return unanswered || (mCheckWanted && aNow >= mNextCheck);
}

bool
endpoint_contact::MayProbe(time_point aNow) const
{
  return mState != contact_state::kReached || IsCheckDue(aNow);
}

std::size_t
endpoint_contact::TakeProbes(std::size_t aAvailable, time_point aNow)
{
  if (mState == contact_state::kReturning && DirectFraction(aNow) >= 1) {
    SetState(contact_state::kReached, aNow);
  }
  if (aAvailable == 0) {
    return 0;
  }
  if (IsCheckDue(aNow)) {
    mCheckWanted = false;
    mCheckConnected = false;
    mCheckOutstanding = std::min(mSettings.mCheckProbes, aAvailable);
    mNextCheck = aNow + mSettings.mCheckInterval;
    mNextUnansweredCheck = aNow + mSettings.mUnansweredInterval;
    return mCheckOutstanding;
  }
  if (mState == contact_state::kReached || aNow < mNextProbe) {
    return 0;
  }
  mNextProbe =
    aNow + (mState == contact_state::kLost ? mSettings.mProbeInterval
                                           : mSettings.mReturnProbeInterval);
  return 1;
}

void
endpoint_contact::OnProbed(bool aConnected, time_point aNow)
{
  if (aConnected) {
    OnConnected(aNow);
  }
  if (mCheckOutstanding > 0) {
    mCheckConnected = mCheckConnected || aConnected;
    --mCheckOutstanding;
    if (mCheckOutstanding == 0) {
      EndCheck(aNow);
    }
    return;
  }
  if (mState == contact_state::kReturning && !aConnected) {
    OnReturnFailure(aNow);
  }
  if (mState != contact_state::kLost) {
    return;
  }
  mSuccesses = aConnected ? mSuccesses + 1 : 0;
  if (aConnected) {
    mNextProbe = std::min(mNextProbe, aNow + mSettings.mReturnProbeInterval);
  }
  if (mSuccesses >= mNeededSuccesses) {
    SetState(contact_state::kReturning, aNow);
  }
}

void
endpoint_contact::EndCheck(time_point aNow)
{
  if (mCheckConnected) {
    return;
  }
  if (aNow - mStateSince >= mSettings.mStableTime) {
    mNeededSuccesses = 1;
  }
  SetState(contact_state::kLost, aNow);
}

void
endpoint_contact::OnReturnFailure(time_point aNow)
{
  if (++mReturnFailures >= mSettings.mReturnFailures) {
    mNeededSuccesses =
      std::min(mNeededSuccesses * 2, mSettings.mMaxReturnProbes);
    SetState(contact_state::kLost, aNow);
  }
}

void
endpoint_contact::SetState(contact_state aState, time_point aNow)
{
  mState = aState;
  mStateSince = aNow;
  mSuccesses = 0;
  mReturnFailures = 0;
  mCheckWanted = false;
  mNextProbe = {};
}

void
endpoint_contact::OnClockGap(time_point aNow)
{
  SetState(contact_state::kReached, aNow);
  mUnansweredSince.reset();
  mConnectedAt.reset();
}

double
endpoint_contact::DirectFraction(time_point aNow) const
{
  switch (mState) {
    case contact_state::kReached:
      return 1;
    case contact_state::kLost:
      return 0;
    default:
      return mSettings.mFirstFraction *
             std::exp2(std::floor(ToSeconds(aNow - mStateSince) /
                                  ToSeconds(mSettings.mReturnStep)));
  }
}

bool
endpoint_contact::ShouldForward(double aUniform, time_point aNow) const
{
  return aUniform >= DirectFraction(aNow);
}

bool
endpoint_contact::IsConfirmedLost(time_point aNow) const
{
  return mState == contact_state::kLost &&
         aNow - mStateSince >= mSettings.mConfirmedAfter;
}

std::optional<bool>
endpoint_contact::Reached(time_point aNow) const
{
  if (mState != contact_state::kReached) {
    return false;
  }
  const bool isRecent =
    mConnectedAt && aNow - *mConnectedAt < mSettings.mRecentEvidence;
  return isRecent ? std::optional(true) : std::nullopt;
}

} // namespace thornhollow
