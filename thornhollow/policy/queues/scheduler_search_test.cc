// Randomized search for faults in the scheduler and its endpoint table. Runs
// seeded sequences of submissions, completions, failures, load reports,
// endpoint state changes and pauses, and checks invariants after each event. A
// failing sequence is minimized before it is printed. To run a longer search:
// THORNHOLLOW_SCHEDULER_SEEDS=20000 policy_test -tc="scheduler_search/*"

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/fleet/testing/fault_search.h"
#include "thornhollow/policy/queues/scheduler.h"

namespace thornhollow {
namespace {

constexpr int kSeedsInCi = 400;
constexpr int kEvents = 150;
constexpr int kEndpoints = 4;
constexpr std::uint32_t kSlots = 2;
constexpr std::size_t kMaxWaiting = 6;
constexpr duration kDeadline = Seconds(20);
// Time within which a scheduler without requests must use every endpoint again.
constexpr duration kSettleTime = Seconds(120);

enum class search_kind : std::uint8_t
{
  kSubmit,
  kFirstToken,
  kEnd,
  kForget,
  kReport,
  kState,
  kAdvance,
  kPause,
  kConfigure,
};

struct search_event
{
  search_kind mKind = search_kind::kSubmit;
  duration mAfter{};
  // Parameters of the event, reduced modulo the number of available choices.
  std::uint32_t mFirst = 0;
  std::uint32_t mSecond = 0;
};

std::vector<search_event>
EventsOf(std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  const auto upTo = [&random](std::uint32_t aMax) {
    return std::uniform_int_distribution<std::uint32_t>(0, aMax)(random);
  };
  // Submissions and completions are the most frequent events.
  constexpr std::array kKinds{
    search_kind::kSubmit,  search_kind::kSubmit,     search_kind::kSubmit,
    search_kind::kSubmit,  search_kind::kFirstToken, search_kind::kFirstToken,
    search_kind::kEnd,     search_kind::kEnd,        search_kind::kEnd,
    search_kind::kForget,  search_kind::kReport,     search_kind::kState,
    search_kind::kAdvance, search_kind::kPause,      search_kind::kConfigure,
  };
  std::vector<search_event> out;
  out.reserve(kEvents);
  for (int i = 0; i < kEvents; ++i) {
    out.push_back({ kKinds[upTo(kKinds.size() - 1)],
                    Milliseconds(upTo(9) == 0 ? upTo(4000) : upTo(200)),
                    upTo(1000),
                    upTo(1000) });
  }
  return out;
}

endpoint_name
EndpointOf(std::uint32_t aNumber)
{
  return endpoint_name("e" + std::to_string(aNumber % kEndpoints));
}

// Drives a scheduler as the relaying code would, tracks the state of each
// ticket and records the first violated invariant.
class searched_scheduler
{
public:
  explicit searched_scheduler(std::uint64_t aSeed)
    : mScheduler(Settings(), aSeed)
  {
    Configure(kEndpoints);
  }

  void Do(const search_event& aEvent)
  {
    mNow += aEvent.mAfter;
    // As in the event loop, an expired timer is handled before other events.
    if (const auto due = mScheduler.NextDue(); due && *due <= mNow) {
      Advance();
    }
    switch (aEvent.mKind) {
      case search_kind::kSubmit:
        Submit(aEvent);
        break;
      case search_kind::kFirstToken:
        if (const auto found = Pick(true, aEvent.mFirst)) {
          mScheduler.OnFirstToken(*found, mNow);
        }
        break;
      case search_kind::kEnd:
        End(aEvent);
        break;
      case search_kind::kForget:
        Forget(aEvent);
        break;
      case search_kind::kReport:
        Report(aEvent);
        break;
      case search_kind::kState:
        SetState(EndpointOf(aEvent.mFirst),
                 static_cast<endpoint_state>(aEvent.mSecond % 3));
        break;
      case search_kind::kAdvance:
        Advance();
        break;
      case search_kind::kPause:
        mNow += Seconds(5 + aEvent.mFirst % 60);
        Advance();
        break;
      case search_kind::kConfigure:
        Configure(1 + static_cast<int>(aEvent.mFirst % kEndpoints));
        break;
    }
    CheckCounts();
  }

  // Ends all running requests and forgets all waiting ones. Afterwards the
  // scheduler must hold no request and must start new requests on its
  // endpoints.
  void Settle()
  {
    Configure(kEndpoints);
    while (const auto found = Pick(true, 0)) {
      mStates.at(*found).mEndpoint.reset();
      Apply(
        mScheduler.OnAttemptEnded(*found, attempt_end::kCompleted, 9, mNow));
      Drop(*found);
    }
    while (const auto found = Pick(false, 0)) {
      Drop(*found);
    }
    if (mScheduler.InProgress() != 0 || mScheduler.Waiting() != 0) {
      ReportFault("the scheduler is not empty after all tickets ended");
    }
    for (std::uint32_t each = 0; each < kEndpoints; ++each) {
      SetState(EndpointOf(each), endpoint_state::kGone);
      SetState(EndpointOf(each), endpoint_state::kLive);
    }
    const time_point end = mNow + kSettleTime;
    while (mNow < end) {
      mNow += Milliseconds(500);
      ServeOne();
    }
    CheckAllSlots();
  }

  const std::string& Fault() const { return mFault; }

private:
  struct ticket_state
  {
    work_item mItem;
    // Endpoint at which the request runs; empty while it waits.
    std::optional<endpoint_name> mEndpoint;
  };

  static scheduler_settings Settings()
  {
    scheduler_settings settings;
    settings.mQueue.mPool.mMaxWaiting = kMaxWaiting;
    return settings;
  }

  void ReportFault(const std::string& aWhat)
  {
    if (mFault.empty()) {
      mFault = aWhat;
    }
  }

  void Configure(int aEndpoints)
  {
    declarations declared;
    declared.mModels = { { model_name("m") } };
    for (int i = 0; i < aEndpoints; ++i) {
      declared.mEndpoints.push_back({ EndpointOf(static_cast<std::uint32_t>(i)),
                                      domain_name(i % 2 == 0 ? "d0" : "d1"),
                                      "127.0.0.1:1",
                                      { pool_name("m") },
                                      kSlots });
    }
    mDeclared = static_cast<std::uint32_t>(aEndpoints);
    Apply(mScheduler.Configure(declared, domain_name("d0"), mNow));
  }

  work_item NextItem(int aTier, bool aIdempotent)
  {
    work_item item;
    item.mTicket = ++mLast;
    item.mPool = pool_name("m");
    item.mTier = aTier;
    item.mPrefix = mLast % 3;
    item.mArrival = mNow;
    item.mDeadline = mNow + kDeadline;
    item.mIdempotent = aIdempotent;
    return item;
  }

  void Submit(const search_event& aEvent)
  {
    const work_item item = NextItem(1 + static_cast<int>(aEvent.mFirst % 4),
                                    aEvent.mSecond % 2 == 0);
    mStates[item.mTicket].mItem = item;
    Apply(mScheduler.Submit(item, mNow));
  }

  void End(const search_event& aEvent)
  {
    const auto found = Pick(true, aEvent.mFirst);
    if (!found) {
      return;
    }
    const auto how = static_cast<attempt_end>(aEvent.mSecond % 6);
    ticket_state& state = mStates.at(*found);
    if (how == attempt_end::kDeclinedLeaving) {
      mReportedLeaving[*state.mEndpoint] = mNow;
    }
    const bool isOver = state.mItem.mDeadline <= mNow;
    state.mEndpoint.reset();
    Apply(mScheduler.OnAttemptEnded(*found, how, 9, mNow));
    // As in the relaying code, a request is not retried after its deadline.
    if (how == attempt_end::kCompleted || how == attempt_end::kCancelled ||
        isOver || aEvent.mSecond % 5 == 0) {
      Drop(*found);
      return;
    }
    Apply(mScheduler.Resubmit(*found, mNow));
  }

  void Forget(const search_event& aEvent)
  {
    if (const auto found = Pick(aEvent.mSecond % 2 == 0, aEvent.mFirst)) {
      Drop(*found);
    }
  }

  void Drop(ticket aTicket)
  {
    mStates.erase(aTicket);
    Apply(mScheduler.Forget(aTicket, mNow));
  }

  void Report(const search_event& aEvent)
  {
    // Only declared endpoints are polled for load reports.
    const endpoint_name endpoint = EndpointOf(aEvent.mFirst % mDeclared);
    load_report report;
    report.mRunning = aEvent.mSecond % 4;
    report.mWaiting = aEvent.mSecond % 3;
    report.mLeaving = aEvent.mSecond % 17 == 0;
    report.mMeasuredAt = mNow - Milliseconds(aEvent.mFirst);
    if (report.mLeaving) {
      mReportedLeaving[endpoint] = mNow;
    } else if (const auto reported = mReportedLeaving.find(endpoint);
               reported != mReportedLeaving.end() &&
               report.mMeasuredAt > reported->second) {
      mReportedLeaving.erase(reported);
    }
    Apply(mScheduler.OnLoadReport(endpoint, report, mNow));
  }

  void SetState(const endpoint_name& aEndpoint, endpoint_state aState)
  {
    if (mListed[aEndpoint] == endpoint_state::kGone &&
        aState == endpoint_state::kLive) {
      mReportedLeaving.erase(aEndpoint);
    }
    mListed[aEndpoint] = aState;
    Apply(mScheduler.OnEndpointState(aEndpoint, aState, mNow));
  }

  void Advance()
  {
    Apply(mScheduler.Advance(mNow));
    // `Advance` did all due work, so the next due time must be in the future.
    if (const auto due = mScheduler.NextDue(); due && *due <= mNow) {
      ReportFault("NextDue makes no progress");
    }
  }

  // The `aNumber`-th running ticket, or waiting ticket if `aRuns` is false,
  // modulo their number.
  std::optional<ticket> Pick(bool aRuns, std::uint32_t aNumber) const
  {
    std::vector<ticket> fit;
    for (const auto& [id, state] : mStates) {
      if (state.mEndpoint.has_value() == aRuns) {
        fit.push_back(id);
      }
    }
    return fit.empty() ? std::nullopt
                       : std::optional(fit[aNumber % fit.size()]);
  }

  void Apply(const decisions& aDecisions)
  {
    for (const decision& each : aDecisions) {
      if (const auto* started = std::get_if<start>(&each)) {
        OnStart(*started);
      } else {
        OnRefuse(std::get<refuse>(each));
      }
    }
  }

  void OnStart(const start& aStart)
  {
    const auto found = mStates.find(aStart.mTicket);
    if (found == mStates.end()) {
      ReportFault("a ticket was started after its end");
      return;
    }
    if (found->second.mEndpoint) {
      ReportFault("a ticket holds two slots");
    }
    if (!MayTakeWork(aStart.mEndpoint)) {
      ReportFault("a request was started on a leaving endpoint");
    }
    if (found->second.mItem.mDeadline <= mNow) {
      ReportFault("a ticket was started after its deadline");
    }
    found->second.mEndpoint = aStart.mEndpoint;
  }

  void OnRefuse(const refuse& aRefuse)
  {
    const auto found = mStates.find(aRefuse.mTicket);
    if (found == mStates.end()) {
      ReportFault("a ticket was refused after its end");
      return;
    }
    if (found->second.mEndpoint) {
      ReportFault("a running ticket was refused");
    }
    const int tier = found->second.mItem.mTier;
    mStates.erase(found);
    const bool forRoom = aRefuse.mKind == error_kind::kQueueFull ||
                         aRefuse.mKind == error_kind::kShedForHigherTier;
    // All requests of the search use one pool, so every ticket without a slot
    // waits in the queue that refused the request.
    for (const auto& [id, state] : mStates) {
      if (forRoom && !state.mEndpoint && state.mItem.mTier > tier) {
        ReportFault("a higher tier was refused for lack of capacity while a "
                    "lower one waits");
      }
    }
  }

  bool MayTakeWork(const endpoint_name& aEndpoint) const
  {
    const auto listed = mListed.find(aEndpoint);
    if (listed != mListed.end() && listed->second != endpoint_state::kLive) {
      return false;
    }
    const auto reported = mReportedLeaving.find(aEndpoint);
    return reported == mReportedLeaving.end() ||
           mNow - reported->second >=
             internal::endpoint_record_settings{}.mLeavingReportLifetime;
  }

  void CheckCounts()
  {
    if (mScheduler.InProgress() != mStates.size()) {
      ReportFault("the scheduler knows " +
                  std::to_string(mScheduler.InProgress()) +
                  " tickets, its caller " + std::to_string(mStates.size()));
    }
  }

  // Submits one request and completes it at once, so that endpoints that are
  // being probed record a success.
  void ServeOne()
  {
    const work_item item = NextItem(2, true);
    mStates[item.mTicket].mItem = item;
    Apply(mScheduler.Submit(item, mNow));
    while (const auto found = Pick(true, 0)) {
      mScheduler.OnFirstToken(*found, mNow);
      mStates.at(*found).mEndpoint.reset();
      Apply(
        mScheduler.OnAttemptEnded(*found, attempt_end::kCompleted, 9, mNow));
      Drop(*found);
    }
    while (const auto found = Pick(false, 0)) {
      Drop(*found);
    }
  }

  void CheckAllSlots()
  {
    std::uint32_t running = 0;
    for (std::uint32_t i = 0; i < kSlots * kEndpoints; ++i) {
      const work_item item = NextItem(kLowestTier, true);
      mStates[item.mTicket].mItem = item;
      Apply(mScheduler.Submit(item, mNow));
    }
    for (const auto& [id, state] : mStates) {
      running += state.mEndpoint ? 1 : 0;
    }
    // At least as many slots as there are endpoints must be usable. Not all
    // slots are required, because an endpoint that was ejected as an outlier
    // may still have reduced capacity.
    if (running < kEndpoints) {
      ReportFault("only " + std::to_string(running) +
                  " slots are usable after all tickets ended");
    }
  }

  time_point mNow{ Seconds(1000) };
  ticket mLast = 0;
  std::uint32_t mDeclared = 0;
  scheduler mScheduler;
  std::map<ticket, ticket_state> mStates;
  std::unordered_map<endpoint_name, endpoint_state> mListed;
  std::unordered_map<endpoint_name, time_point> mReportedLeaving;
  std::string mFault;
};

struct scheduler_search
{
  static std::string Run(const std::vector<search_event>& aEvents,
                         std::uint64_t aSeed)
  {
    searched_scheduler searched(aSeed);
    for (const search_event& each : aEvents) {
      searched.Do(each);
      if (!searched.Fault().empty()) {
        return searched.Fault();
      }
    }
    searched.Settle();
    return searched.Fault();
  }

  static std::string Describe(std::uint64_t aSeed)
  {
    const auto minimal =
      Minimize(EventsOf(aSeed), [aSeed](const auto& aEvents) {
        return !Run(aEvents, aSeed).empty();
      });
    std::string out =
      "seed " + std::to_string(aSeed) + ": " + Run(minimal, aSeed);
    for (const search_event& each : minimal) {
      out += " [+" + std::to_string(ToMilliseconds(each.mAfter)) + "ms kind " +
             std::to_string(static_cast<int>(each.mKind)) + " " +
             std::to_string(each.mFirst) + " " + std::to_string(each.mSecond) +
             "]";
    }
    return out;
  }

  static int Seeds()
  {
    const char* const asked = std::getenv("THORNHOLLOW_SCHEDULER_SEEDS");
    return asked == nullptr ? kSeedsInCi : std::atoi(asked);
  }
};

// No sequence of events may make a scheduler answer a request twice, run it in
// two slots, leak a slot, send work to a leaving endpoint, or refuse a higher
// tier for lack of capacity while a lower tier waits.
TEST_CASE_FIXTURE(scheduler_search,
                  "scheduler_search/random_events/invariants_hold")
{
  for (int seed = 1; seed <= Seeds(); ++seed) {
    const auto number = static_cast<std::uint64_t>(seed);
    const std::string fault = Run(EventsOf(number), number);
    CHECK_MESSAGE(fault.empty(), (fault.empty() ? "" : Describe(number)));
    if (!fault.empty()) {
      return;
    }
  }
}

} // namespace
} // namespace thornhollow
