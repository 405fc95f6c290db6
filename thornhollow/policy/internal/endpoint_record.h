// All that one router knows of one endpoint.
#ifndef THORNHOLLOW_POLICY_INTERNAL_ENDPOINT_RECORD_H_
#define THORNHOLLOW_POLICY_INTERNAL_ENDPOINT_RECORD_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "thornhollow/policy/concurrency_limit.h"
#include "thornhollow/policy/endpoint_health.h"
#include "thornhollow/policy/endpoint_load.h"
#include "thornhollow/policy/work.h"

namespace thornhollow::internal {

struct endpoint_record_settings
{
  endpoint_load_settings mLoad;
  concurrency_limit_settings mLimit;
  endpoint_health_settings mHealth;
  // Routers that may share an endpoint; see `Capacity`.
  std::uint32_t mMaxRouters = 8;
  // How long an endpoint's own word that it leaves outweighs a list that says
  // it is live.
  duration mLeavingReportLifetime = Seconds(30);
  // Part of an endpoint's places that long work may take.
  double mMaxLongFraction = 0.75;

  friend bool operator==(const endpoint_record_settings&,
                         const endpoint_record_settings&) = default;
};

// An average in which a new value counts a fifth.
class moving_average
{
public:
  void Add(double aValue, time_point aNow);
  // Drifts to `aPoolMedian`, by half in each `aHalfLife`; that where nothing is
  // known.
  double Value(double aPoolMedian, duration aHalfLife, time_point aNow) const;

private:
  double mValue = 0;
  time_point mLastUpdate{};
};

class endpoint_record
{
public:
  // `aHonoursTiers`: its queue serves a higher tier first, as engines do and
  // plain services don't.
  endpoint_record(const endpoint_record_settings& aSettings,
                  const endpoint& aDeclared,
                  bool aHonoursTiers);

  void Declare(const endpoint& aDeclared, bool aHonoursTiers);
  void Undeclare() { mIsDeclared = false; }
  const endpoint& Declared() const { return mDeclared; }
  // Whether its own queue is in order of tiers.
  bool HonoursTiers() const { return mHonoursTiers; }
  bool IsDeclared() const { return mIsDeclared; }

  void OnSent(ticket aTicket, bool aLong, time_point aNow);
  void OnFirstToken(ticket aTicket, duration aWait, time_point aNow);
  // The seconds for each token of this attempt, where it tells.
  std::optional<double> OnEnded(ticket aTicket,
                                attempt_end aHow,
                                std::uint32_t aTokens,
                                duration aElapsed,
                                bool aMayEject,
                                time_point aNow);
  // Takes one observation of the time for each token.
  void OnTimePerToken(double aSeconds,
                      double aPoolMedian,
                      bool aMayEject,
                      time_point aNow);
  void OnReport(const load_report& aReport, time_point aNow);
  void SetState(endpoint_state aState, time_point aNow);
  void OnClockGap(time_point aNow);
  void Update(time_point aNow) { mHealth.Update(aNow); }

  bool AcceptsNewWork(time_point aNow) const;
  // Until when the endpoint's own word that it leaves counts; nothing where it
  // gave none.
  std::optional<time_point> LeavingReportExpiry(time_point aNow) const;
  // Own requests that may be in flight there now.
  std::uint32_t Capacity(time_point aNow) const;
  bool HasFreeSlot(time_point aNow) const;
  // Whether one more long request fits beside those there.
  bool HasFreeSlotForLong(time_point aNow) const;
  // Own requests in flight there as a share of the limit.
  double Utilization() const;

  // Whether others work with it too, by its reports, or else by a limit that
  // fell: own requests alone, at most as many as its slots, fill no queue.
  bool IsShared(time_point aNow) const
  {
    return mLoad.OthersInFlight(aNow) > 0 || mLimit.Limit() < mDeclared.mSlots;
  }
  std::uint32_t InFlight() const { return mLoad.InFlight(); }
  double OthersInFlight(time_point aNow) const
  {
    return mLoad.OthersInFlight(aNow);
  }
  const endpoint_health& Health() const { return mHealth; }
  const concurrency_limit& Limit() const { return mLimit; }
  endpoint_state State() const { return mState; }
  const moving_average& TimeToFirstToken() const { return mTimeToFirstToken; }
  const moving_average& TimePerToken() const { return mTimePerToken; }
  // Whether an answer that took `aElapsed` up to now was sent before a pause of
  // this process: then its times say nothing.
  bool SpansClockGap(duration aElapsed, time_point aNow) const;

private:
  struct attempt
  {
    ticket mTicket = 0;
    bool mLong = false;
    // Sent while the endpoint was thought to have a free place. Of one that was
    // sent to queue there, the wait says nothing about the limit.
    bool mWithinLimit = true;
    duration mTimeToFirstToken{};
  };

  void ClearUnconfirmed() { mUnconfirmed.reset(); }

  endpoint_record_settings mSettings;
  endpoint mDeclared;
  bool mHonoursTiers;
  bool mIsDeclared = true;
  endpoint_state mState = endpoint_state::kLive;
  std::optional<time_point> mLeavingReportedAt;
  // Set after a pause, until something new is heard: the requests in flight
  // then.
  std::optional<std::uint32_t> mUnconfirmed;
  std::optional<time_point> mLastClockGap;
  std::vector<attempt> mAttempts;
  std::uint32_t mLongInFlight = 0;
  endpoint_load mLoad;
  concurrency_limit mLimit;
  endpoint_health mHealth;
  moving_average mTimeToFirstToken;
  moving_average mTimePerToken;
};

} // namespace thornhollow::internal

#endif // THORNHOLLOW_POLICY_INTERNAL_ENDPOINT_RECORD_H_
