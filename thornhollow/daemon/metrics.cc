#include "thornhollow/daemon/metrics.h"

#include <array>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace thornhollow {
namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;
using kind_counters = std::array<Counter*, kErrorKindCount>;

// Bucket boundaries of the latency histograms, in seconds, placed around the
// latency targets: 0.97 s to the first token and 49 ms between tokens.
const Histogram::BucketBoundaries kFirstTokenSeconds = {
  0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.7, 0.97, 1.5, 3, 6, 15, 60
};
const Histogram::BucketBoundaries kGapSeconds = { 0.001, 0.0025, 0.005, 0.01,
                                                  0.02,  0.03,   0.049, 0.08,
                                                  0.15,  0.3,    1,     5 };

kind_counters
AddForEachKind(Family<Counter>& aFamily)
{
  kind_counters counters{};
  for (const error_kind kind : AllErrorKinds()) {
    counters[static_cast<std::size_t>(kind)] =
      &aFamily.Add({ { "kind", std::string(Name(kind)) } });
  }
  return counters;
}

} // namespace

struct metrics::families
{
  struct class_metrics
  {
    Counter* mRequests;
    Counter* mCompleted;
    Counter* mTokens;
    Histogram* mFirstToken;
    Histogram* mGap;
  };

  Gauge& HeldBytes(const std::string& aWhat)
  {
    return BuildGauge()
      .Name("thornhollow_held_bytes")
      .Help("Bytes of bodies and of answers that are held for callers, and the "
            "most that both were together")
      .Register(mRegistry)
      .Add({ { "what", aWhat } });
  }

  // Some events come with each request, and looking up labels costs more than
  // counting.
  Counter& ForEvent(std::string_view aEvent)
  {
    const auto found = mEvents.find(aEvent);
    if (found != mEvents.end()) {
      return *found->second;
    }
    Counter& added = mEventsFamily.Add({ { "event", std::string(aEvent) } });
    mEvents.emplace(aEvent, &added);
    return added;
  }

  class_metrics& ForClass(const class_name& aClass)
  {
    const auto found = mClasses.find(aClass);
    if (found != mClasses.end()) {
      return found->second;
    }
    const prometheus::Labels labels{ { "class", aClass.Text() } };
    return mClasses
      .emplace(aClass,
               class_metrics{ &mRequests.Add(labels),
                              &mCompleted.Add(labels),
                              &mTokens.Add(labels),
                              &mFirstToken.Add(labels, kFirstTokenSeconds),
                              &mGap.Add(labels, kGapSeconds) })
      .first->second;
  }

  // A registry writes counters before gauges. The gauges that must come first
  // on the page therefore need a registry of their own.
  prometheus::Registry mLeadingRegistry;
  prometheus::Registry mRegistry;
  Family<Counter>& mRequests = BuildCounter()
                                 .Name("thornhollow_requests_total")
                                 .Help("Requests taken, by class")
                                 .Register(mRegistry);
  Family<Counter>& mCompleted = BuildCounter()
                                  .Name("thornhollow_completed_total")
                                  .Help("Requests answered whole, by class")
                                  .Register(mRegistry);
  Family<Counter>& mTokens = BuildCounter()
                               .Name("thornhollow_tokens_total")
                               .Help("Tokens of whole answers, by class")
                               .Register(mRegistry);
  Family<Counter>& mRefusedFamily = BuildCounter()
                                      .Name("thornhollow_refused_total")
                                      .Help("Requests ended by an error")
                                      .Register(mRegistry);
  Family<Counter>& mRetriesFamily =
    BuildCounter()
      .Name("thornhollow_retries_total")
      .Help("Further attempts, by why the last one ended")
      .Register(mRegistry);
  Family<Counter>& mEventsFamily = BuildCounter()
                                     .Name("thornhollow_events_total")
                                     .Help("Other events, by name")
                                     .Register(mRegistry);
  Family<Counter>& mControlBytes =
    BuildCounter()
      .Name("thornhollow_control_bytes_total")
      .Help("Bytes exchanged for control, by what for")
      .Register(mRegistry);
  Family<Histogram>& mFirstToken =
    BuildHistogram()
      .Name("thornhollow_first_token_seconds")
      .Help("Arrival to the first token, by class")
      .Register(mRegistry);
  Family<Histogram>& mGap = BuildHistogram()
                              .Name("thornhollow_between_tokens_seconds")
                              .Help("Between two tokens, by class")
                              .Register(mRegistry);
  Counter& mWasted = BuildCounter()
                       .Name("thornhollow_wasted_tokens_total")
                       .Help("Tokens of answers that nobody received whole")
                       .Register(mRegistry)
                       .Add({});
  Family<Gauge>& mHeldRequests = BuildGauge()
                                   .Name("thornhollow_requests")
                                   .Help("Requests held now, by pool and state")
                                   .Register(mRegistry);
  Gauge& mVersion = BuildGauge()
                      .Name("thornhollow_configuration_version")
                      .Help("Platform version of the manifest in force")
                      .Register(mLeadingRegistry)
                      .Add({});
  Family<Gauge>& mSourceRevisions =
    BuildGauge()
      .Name("thornhollow_source_revision")
      .Help("Source revision up to which items are known, by what they are")
      .Register(mLeadingRegistry);
  Family<Gauge>& mSourceAges =
    BuildGauge()
      .Name("thornhollow_source_answer_age_seconds")
      .Help("Since the source itself last answered, by what was asked for")
      .Register(mLeadingRegistry);
  Gauge& mLostPools = BuildGauge()
                        .Name("thornhollow_pools_out_of_contact")
                        .Help("Pools whose endpoints this instance can't reach")
                        .Register(mLeadingRegistry)
                        .Add({});
  Gauge& mForwarded =
    BuildGauge()
      .Name("thornhollow_forwarded_requests")
      .Help("Requests that other instances serve for this one now")
      .Register(mLeadingRegistry)
      .Add({});
  Gauge& mDomainsOutOfService =
    BuildGauge()
      .Name("thornhollow_domains_out_of_service")
      .Help("Failure domains that the operator has taken out of service")
      .Register(mRegistry)
      .Add({});
  Gauge& mHeldBodies = HeldBytes("bodies");
  Gauge& mHeldAnswers = HeldBytes("answers");
  Gauge& mHeldPeak = HeldBytes("peak");
  Gauge& mBodiesWaiting = BuildGauge()
                            .Name("thornhollow_bodies_waiting")
                            .Help("Bodies unread as there is no room for them")
                            .Register(mRegistry)
                            .Add({});
  Gauge& mWarmingUp = BuildGauge()
                        .Name("thornhollow_endpoints_warming_up")
                        .Help("Endpoints that take fewer requests as they "
                              "have just started")
                        .Register(mRegistry)
                        .Add({});
  Counter& mConfigurationRefused =
    BuildCounter()
      .Name("thornhollow_configuration_refused_total")
      .Help("Configurations refused")
      .Register(mRegistry)
      .Add({});
  kind_counters mRefused = AddForEachKind(mRefusedFamily);
  kind_counters mRetries = AddForEachKind(mRetriesFamily);
  std::unordered_map<class_name, class_metrics> mClasses;
  std::map<std::string, Counter*, std::less<>> mEvents;
  // All pools seen so far, so that the gauges of an empty pool are set to zero.
  std::set<pool_name> mPools;
};

metrics::metrics()
  : mFamilies(std::make_unique<families>())
{
}

metrics::~metrics() = default;

void
metrics::OnRequest(const class_name& aClass)
{
  mFamilies->ForClass(aClass).mRequests->Increment();
}

void
metrics::OnCompleted(const class_name& aClass, std::uint64_t aTokens)
{
  auto& classMetrics = mFamilies->ForClass(aClass);
  classMetrics.mCompleted->Increment();
  classMetrics.mTokens->Increment(static_cast<double>(aTokens));
}

void
metrics::OnRefused(error_kind aKind)
{
  mFamilies->mRefused[static_cast<std::size_t>(aKind)]->Increment();
}

void
metrics::OnRetry(error_kind aReason)
{
  mFamilies->mRetries[static_cast<std::size_t>(aReason)]->Increment();
}

void
metrics::OnFirstToken(const class_name& aClass, duration aSinceArrival)
{
  mFamilies->ForClass(aClass).mFirstToken->Observe(ToSeconds(aSinceArrival));
}

void
metrics::OnTokenGap(const class_name& aClass, duration aSinceLast)
{
  mFamilies->ForClass(aClass).mGap->Observe(ToSeconds(aSinceLast));
}

void
metrics::OnWastedTokens(std::uint64_t aTokens)
{
  mFamilies->mWasted.Increment(static_cast<double>(aTokens));
}

void
metrics::OnConfiguration(std::uint64_t aVersion)
{
  mFamilies->mVersion.Set(static_cast<double>(aVersion));
}

void
metrics::OnConfigurationRefused()
{
  mFamilies->mConfigurationRefused.Increment();
}

void
metrics::SetSource(std::string_view aWhat,
                   std::uint64_t aRevision,
                   std::optional<duration> aAnswerAge)
{
  const prometheus::Labels labels{ { "what", std::string(aWhat) } };
  mFamilies->mSourceRevisions.Add(labels).Set(static_cast<double>(aRevision));
  if (aAnswerAge) {
    mFamilies->mSourceAges.Add(labels).Set(ToSeconds(*aAnswerAge));
  }
}

void
metrics::SetContact(std::size_t aLostPools, std::size_t aForwarded)
{
  mFamilies->mLostPools.Set(static_cast<double>(aLostPools));
  mFamilies->mForwarded.Set(static_cast<double>(aForwarded));
}

void
metrics::SetDomainsOutOfService(std::size_t aDomains)
{
  mFamilies->mDomainsOutOfService.Set(static_cast<double>(aDomains));
}

void
metrics::SetWarmingUp(std::size_t aEndpoints)
{
  mFamilies->mWarmingUp.Set(static_cast<double>(aEndpoints));
}

void
metrics::SetMemory(const memory_use& aUse)
{
  mFamilies->mHeldBodies.Set(static_cast<double>(aUse.mBodies));
  mFamilies->mHeldAnswers.Set(static_cast<double>(aUse.mAnswers));
  mFamilies->mHeldPeak.Set(static_cast<double>(aUse.mPeak));
  mFamilies->mBodiesWaiting.Set(static_cast<double>(aUse.mWaiting));
}

void
metrics::OnEvent(std::string_view aEvent)
{
  mFamilies->ForEvent(aEvent).Increment();
}

void
metrics::OnControlBytes(std::string_view aPath, std::size_t aBytes)
{
  mFamilies->mControlBytes.Add({ { "path", std::string(aPath) } })
    .Increment(static_cast<double>(aBytes));
}

void
metrics::SetHeld(const std::map<pool_name, held_requests>& aByPool)
{
  for (const auto& [pool, held] : aByPool) {
    mFamilies->mPools.insert(pool);
  }
  for (const pool_name& pool : mFamilies->mPools) {
    const auto found = aByPool.find(pool);
    const held_requests held =
      found == aByPool.end() ? held_requests{} : found->second;
    const auto set = [&](const char* aState, std::size_t aCount) {
      mFamilies->mHeldRequests
        .Add({ { "pool", pool.Text() }, { "state", aState } })
        .Set(static_cast<double>(aCount));
    };
    set("in_flight", held.mInFlight);
    set("waiting", held.mWaiting);
  }
}

std::string
metrics::Page() const
{
  const prometheus::TextSerializer text;
  return text.Serialize(mFamilies->mLeadingRegistry.Collect()) +
         text.Serialize(mFamilies->mRegistry.Collect());
}

} // namespace thornhollow
