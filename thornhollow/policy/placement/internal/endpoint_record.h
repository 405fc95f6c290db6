// The state that a router keeps for one endpoint.
#ifndef THORNHOLLOW_POLICY_PLACEMENT_INTERNAL_ENDPOINT_RECORD_H_
#define THORNHOLLOW_POLICY_PLACEMENT_INTERNAL_ENDPOINT_RECORD_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "thornhollow/policy/endpoints/concurrency_limit.h"
#include "thornhollow/policy/endpoints/endpoint_health.h"
#include "thornhollow/policy/endpoints/endpoint_load.h"
#include "thornhollow/policy/endpoints/request_gate.h"
#include "thornhollow/policy/work.h"

namespace thornhollow::internal {

struct endpoint_record_settings
{
  endpoint_load_settings mLoad;
  concurrency_limit_settings mLimit;
  endpoint_health_settings mHealth;
  // Maximum number of routers that share an endpoint; see `Capacity`.
  std::uint32_t mMaxRouters = 8;
  // How long an endpoint's own report that it is leaving takes precedence over
  // the platform's list that shows the endpoint as live.
  duration mLeavingReportLifetime = Seconds(30);
  // Maximum fraction of an endpoint's slots that long requests may take.
  double mMaxLongFraction = 0.75;

  friend bool operator==(const endpoint_record_settings&,
                         const endpoint_record_settings&) = default;
};

// An exponential moving average in which a new value has a weight of one fifth.
class moving_average
{
public:
  void Add(double aValue, time_point aNow);
  // Returns the moving average of the added values. Its difference from
  // `aPoolMedian` is halved for every `aHalfLife` since the last value was
  // added. Returns `aPoolMedian` if no values were added.
  double Value(double aPoolMedian, duration aHalfLife, time_point aNow) const;

private:
  double mValue = 0;
  time_point mLastUpdate{};
};

class endpoint_record
{
public:
  // `aHonoursTiers`: the endpoint's queue serves higher tiers first, as engines
  // do and plain services don't.
  endpoint_record(const endpoint_record_settings& aSettings,
                  const endpoint& aDeclared,
                  bool aHonoursTiers);

  void Declare(const endpoint& aDeclared, bool aHonoursTiers);
  void Undeclare() { mIsDeclared = false; }
  const endpoint& Declared() const { return mDeclared; }
  // Whether the endpoint's own queue is ordered by tier.
  bool HonoursTiers() const { return mHonoursTiers; }
  bool IsDeclared() const { return mIsDeclared; }
  // Whether the operator has taken the endpoint's failure domain out of
  // service, so that it gets no new work.
  void SetOutOfService(bool aIsOut) { mIsOutOfService = aIsOut; }
  bool IsOutOfService() const { return mIsOutOfService; }

  void OnSent(ticket aTicket, bool aLong, time_point aNow);
  void OnFirstToken(ticket aTicket, duration aWait, time_point aNow);
  // Returns the attempt's time per token in seconds, if it is a valid sample: a
  // completed answer of at least a few tokens that doesn't span a clock gap.
  std::optional<double> OnEnded(ticket aTicket,
                                attempt_end aHow,
                                std::uint32_t aTokens,
                                duration aElapsed,
                                bool aMayEject,
                                time_point aNow);
  // Adds a sample of the time per token, in seconds.
  void OnTimePerToken(double aSeconds,
                      double aPoolMedian,
                      bool aMayEject,
                      time_point aNow);
  void OnReport(const load_report& aReport, time_point aNow);
  void SetState(endpoint_state aState, time_point aNow);
  // The endpoint wants no new work until `aUntil`, or longer if it asked for
  // that before.
  void Rest(time_point aUntil);
  // Sets how many requests a second this instance may send to the endpoint; as
  // many as it takes if unset.
  void SetRequestRate(const std::optional<double>& aRate, time_point aNow)
  {
    mGate.SetRate(aRate, aNow);
  }
  void OnClockGap(time_point aNow);
  void Update(time_point aNow) { mHealth.Update(aNow); }

  bool AcceptsNewWork(time_point aNow) const;
  // Until when the endpoint wants no new work, by its own word: its report that
  // it is leaving expires then, or the rest that it asked for ends. Empty
  // without such a word.
  std::optional<time_point> NoNewWorkUntil(time_point aNow) const;
  // When the rate of requests allows the next one; nothing if it does now, or
  // this instance has no part of the rate.
  std::optional<time_point> NextByRate(time_point aNow) const;
  bool MaySendByRate(time_point aNow) const { return mGate.MaySend(aNow); }
  // Maximum number of this router's requests that may be in flight at the
  // endpoint now.
  std::uint32_t Capacity(time_point aNow) const;
  bool HasFreeSlot(time_point aNow) const;
  // Whether one more long request may be sent to the endpoint.
  bool HasFreeSlotForLong(time_point aNow) const;
  // This router's requests in flight at the endpoint as a fraction of the
  // endpoint's concurrency limit.
  double Utilization() const;

  // Whether other routers use the endpoint too. This is indicated by its load
  // reports, or by a concurrency limit below its slots: the limit decreases
  // because of queueing, which this router's requests alone don't cause, as
  // they are at most as many as the slots.
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
  // Whether an answer that took `aElapsed` up to `aNow` was sent before this
  // process was paused, which makes its timings invalid.
  bool SpansClockGap(duration aElapsed, time_point aNow) const;

private:
  struct attempt
  {
    ticket mTicket = 0;
    bool mLong = false;
    // Whether the endpoint was estimated to have a free slot when the attempt
    // was sent. If not, the attempt was meant to wait in the endpoint's queue,
    // so its wait doesn't indicate that the concurrency limit is too high.
    bool mWithinLimit = true;
    duration mTimeToFirstToken{};
  };

  void ClearUnconfirmed() { mUnconfirmed.reset(); }

  endpoint_record_settings mSettings;
  endpoint mDeclared;
  bool mHonoursTiers;
  bool mIsDeclared = true;
  bool mIsOutOfService = false;
  endpoint_state mState = endpoint_state::kLive;
  std::optional<time_point> mLeavingReportedAt;
  time_point mRestUntil{};
  request_gate mGate;
  // Number of this router's requests in flight at the endpoint when this
  // process was last paused; cleared when something new is received from the
  // endpoint.
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

#endif // THORNHOLLOW_POLICY_PLACEMENT_INTERNAL_ENDPOINT_RECORD_H_
