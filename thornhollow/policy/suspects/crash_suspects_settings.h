// Settings of the modules that find what ends endpoints: crash_suspects.h,
// crash_evidence.h, suspect_runs.h.
#ifndef THORNHOLLOW_POLICY_SUSPECTS_CRASH_SUSPECTS_SETTINGS_H_
#define THORNHOLLOW_POLICY_SUSPECTS_CRASH_SUSPECTS_SETTINGS_H_

#include <cstddef>
#include <cstdint>

#include "thornhollow/base/time.h"

namespace thornhollow {

struct crash_suspects_settings
{
  // Endpoints that may end under a content before it is rejected.
  std::size_t mMaxEnded = 3;
  // Minimum number of these that did not end together with several others, the
  // trial among them.
  std::size_t mMinSeparateEnds = 2;
  // Endpoints that may end, at separate times, under a part of prompts before
  // it is rejected. More than for a content: a part is shared by many requests,
  // so that it meets more ends that have other causes.
  std::size_t mMaxEndedByPart = 4;
  // From so many of these ends on, one request with the part runs at a time.
  std::size_t mSoloFromEnds = 2;
  // Of a part that brought output within `mSoundMemory` before the first of
  // these ends, two count only if they are so far apart: popular parts are open
  // at many ends, and bring output soon after each.
  duration mSoundMemory = Seconds(10);
  duration mSoundEndsApart = Milliseconds(200);
  // How long requests wait after an end under one of their parts, so that runs
  // in progress with that part tell whether it is sound.
  duration mSettleTime = Milliseconds(100);
  // For how long a run with a suspected part keeps other requests with that
  // part from running. Longer than an endpoint takes to end under a request,
  // unless it is overloaded.
  duration mSoloTime = Milliseconds(500);
  // Sightings of one endpoint within `mSameEndWindow` are of one end, unless a
  // run was sent more than `mReportTime` after the other end was noticed. The
  // first is longer than a stalled instance takes to notice an end, the second
  // longer than a report is on its way.
  duration mSameEndWindow = Milliseconds(1'500);
  duration mReportTime = Milliseconds(250);
  // Ends of two endpoints within this time may have one cause. Longer than the
  // difference between the times at which two instances notice an end.
  duration mCoincidenceWindow = Milliseconds(10);
  // So many other ends, for which no request is a likely cause, make one that
  // is common to all of them likely.
  std::size_t mCoincidentEnds = 2;
  // For how long a trial counts, and with it a rejection.
  duration mRejectionTime = Seconds(600);
  // For how long ends are remembered; the next run after a rejection is a trial
  // for that long.
  duration mRetention = Seconds(3'600);
  // Validity of a report of a run, and how often it is repeated.
  duration mRunValidity = Seconds(2);
  duration mRunInterval = Milliseconds(500);
  // How long before its start a run is announced, which allows for the answer
  // of an instance that runs a request with the same feature already.
  duration mRunNotice = Milliseconds(30);
  // The same for a trial at a reserved endpoint. A report reaches all
  // instances of a large fleet much sooner; the rest lets the requests that
  // were sent to the endpoint before produce output, so that they are no
  // suspects when the trial ends it.
  duration mTrialNotice = Milliseconds(250);
  // Maximum part of a pool's endpoints that trials may reserve at a time.
  double mMaxReservedFraction = 0.25;
  // Maximum number of sightings. When a storm of ends exceeds it, suspects of
  // the fewest ends are dropped first, the oldest of these first: they are the
  // most likely to be innocent.
  std::size_t mMaxSightings = 4'096;
  // Maximum number of parts whose last success is remembered.
  std::size_t mMaxSuccesses = 4'096;
  // Each report is sent in this many rounds; see fleet/crash_gossip.h.
  std::uint32_t mRounds = 2;
  duration mRoundInterval = Milliseconds(100);

  friend bool operator==(const crash_suspects_settings&,
                         const crash_suspects_settings&) = default;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_SUSPECTS_CRASH_SUSPECTS_SETTINGS_H_
