#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "thornhollow/daemon/relay_dispatcher.h"
#include "thornhollow/net/clock.h"

namespace thornhollow {
namespace {

// Maximum factor by which an instance's share of a pool grows while other
// instances don't reach the pool.
constexpr std::size_t kMaxShareFactor = 4;

// Formats the demand for each workload kind as
// "target/pause: requests/s, tokens/s, open", with target and pause in
// milliseconds.
std::string
DemandText(const demand_by_kind& aDemand)
{
  std::string text;
  for (const kind_demand& each : aDemand) {
    text += fmt::format("{}{}/{}: {:.1f}, {:.0f}, {:.0f}",
                        text.empty() ? "" : "; ",
                        ToMilliseconds(each.mKind.mTarget),
                        ToMilliseconds(each.mKind.mPause),
                        each.mRequests,
                        each.mTokens,
                        each.mOpen);
  }
  return text;
}

} // namespace

std::map<pool_name, held_requests>
relay_dispatcher::HeldByPool() const
{
  std::map<pool_name, held_requests> held;
  for (const auto& [name, pool] : mPools) {
    for (const relay_load& each : pool.Loads(Now())) {
      held[name].mInFlight += each.mInFlight;
    }
  }
  return held;
}

std::map<pool_name, pool_view>
relay_dispatcher::LocalViews(time_point aNow)
{
  std::map<pool_name, pool_view> views;
  for (auto& [name, pool] : mPools) {
    if (pool.ServesEngines()) {
      views[name] = pool.LocalView(aNow);
    }
  }
  return views;
}

std::vector<relay_load>
relay_dispatcher::LocalLoads() const
{
  std::vector<relay_load> loads;
  for (const auto& [name, pool] : mPools) {
    if (pool.ServesEngines()) {
      const std::vector<relay_load> poolLoads = pool.Loads(Now());
      loads.insert(loads.end(), poolLoads.begin(), poolLoads.end());
    }
  }
  return loads;
}

void
relay_dispatcher::SetInstanceCount(
  std::size_t aInstances,
  const std::function<std::size_t(const pool_name&)>& aCutOff)
{
  mRetries.SetInstances(aInstances);
  mInstances = aInstances;
  for (auto& [name, pool] : mPools) {
    // After endpoints have ended everywhere, all instances return at once, so
    // that a single one must not take the share of all.
    const std::size_t least =
      (aInstances + kMaxShareFactor - 1) / kMaxShareFactor;
    const std::size_t sending =
      aInstances - std::min(aInstances, aCutOff(name));
    pool.SetInstances(std::max(least, sending));
  }
}

void
relay_dispatcher::SetRemoteWork(
  const std::map<std::uint32_t, reported_load>& aWork,
  time_point aNow)
{
  for (auto& [name, pool] : mPools) {
    if (!pool.ServesEngines()) {
      continue;
    }
    for (const relay_load& each : pool.Loads(aNow)) {
      const auto found = aWork.find(EndpointHash(each.mName));
      const reported_load remote =
        found == aWork.end() ? reported_load{} : found->second;
      pool.SetRemoteLoad({ .mName = each.mName,
                           .mInFlight = remote.mInFlight,
                           .mPrefillTokens = remote.mPrefillTokens,
                           .mPrefillNanoseconds = remote.mPrefillNanoseconds },
                         aNow);
      LogSlowChange(each);
    }
  }
}

void
relay_dispatcher::LearnLoads(const pool_name& aPool,
                             const std::vector<endpoint_name>& aEndpoints,
                             std::function<void()> aDone)
{
  std::vector<endpoint_hash> hashes;
  hashes.reserve(aEndpoints.size());
  for (const endpoint_name& each : aEndpoints) {
    hashes.push_back(EndpointHash(each));
  }
  const auto take = [this, aPool, aEndpoints, done = std::move(aDone)](
                      const std::vector<reported_load>& aLoads) {
    relay_pool* pool = Pool(aPool);
    for (const endpoint_name& name : aEndpoints) {
      const auto found = std::ranges::find(
        aLoads, EndpointHash(name), &reported_load::mEndpoint);
      if (pool != nullptr && found != aLoads.end()) {
        pool->SetRemoteLoad({ .mName = name,
                              .mInFlight = found->mInFlight,
                              .mPrefillTokens = found->mPrefillTokens },
                            Now());
      }
    }
    done();
  };
  mLoads.Ask(hashes, Now(), take);
}

void
relay_dispatcher::ReportLoad(const pool_name& aPool, const relay_pick& aPick)
{
  const relay_pool* pool = Pool(aPool);
  if (pool == nullptr || !pool->ServesEngines()) {
    return;
  }
  if (const auto load = pool->LoadAt(aPick)) {
    mLoads.SetOwn({ .mEndpoint = EndpointHash(load->mName),
                    .mPrefillTokens = load->mPrefillTokens,
                    .mInFlight = load->mInFlight },
                  Now());
  }
}

// Logs an engine that became slow or recovered.
void
relay_dispatcher::LogSlowChange(const relay_load& aLoad)
{
  if (aLoad.mSlow == mSlowEngines.contains(aLoad.mName)) {
    return;
  }
  if (aLoad.mSlow) {
    mSlowEngines.insert(aLoad.mName);
  } else {
    mSlowEngines.erase(aLoad.mName);
  }
  mLog.Write(log_level::kInfo,
             "engine_pace",
             { { "endpoint", aLoad.mName.Text() },
               { "slow", std::int64_t{ aLoad.mSlow } },
               { "own_ns_per_token", aLoad.mPrefillNanoseconds } });
}

void
relay_dispatcher::SetViews(const std::map<pool_name, pool_view>& aViews,
                           time_point aNow)
{
  for (const auto& [name, view] : aViews) {
    relay_pool* pool = Pool(name);
    if (pool == nullptr) {
      continue;
    }
    const std::size_t before = pool->BulkEngines();
    pool->SetView(view, aNow);
    if (const std::size_t after = pool->BulkEngines(); after != before) {
      mLog.Write(log_level::kInfo,
                 "border_moved",
                 { { "pool", name.Text() },
                   { "bulk_engines", static_cast<std::int64_t>(after) },
                   { "engines", static_cast<std::int64_t>(pool->size()) },
                   { "read_per_s", pool->PrefillTokensPerSecond() },
                   { "demand", DemandText(view.mDemand) } });
    }
  }
}

} // namespace thornhollow
