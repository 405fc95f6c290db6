#include "thornhollow/daemon/stream_guard.h"

#include <algorithm>
#include <random>
#include <variant>

#include <boost/asio/io_context.hpp>

#include "thornhollow/net/clock.h"

namespace thornhollow {
namespace {

std::uint64_t
RandomNumber()
{
  std::random_device device;
  return std::uint64_t{ device() } << 32U | device();
}

// The longest timeout of the routes that serve streams.
duration
LongestStream(const routing_table& aTable)
{
  duration longest{};
  for (const route& each : aTable.Document().mRoutes) {
    if (IsStream(each.mKind)) {
      longest = std::max(longest, each.mTimeout);
    }
  }
  return longest;
}

// Whether a route of streams leads to other pools than before. Streams that
// began in a pool may then be continued in another one.
bool
LeadsElsewhere(const routing_table& aBefore, const routing_table& aTable)
{
  std::map<std::pair<std::string, std::string>, std::vector<pool_weight>>
    before;
  for (const route& each : aBefore.Document().mRoutes) {
    before[{ each.mHost, each.mPathPrefix }] = each.mPools;
  }
  return std::ranges::any_of(
    aTable.Document().mRoutes, [&](const route& aRoute) {
      const auto found = before.find({ aRoute.mHost, aRoute.mPathPrefix });
      return IsStream(aRoute.mKind) && found != before.end() &&
             found->second != aRoute.mPools;
    });
}

} // namespace

stream_guard::stream_guard(boost::asio::io_context& aIo,
                           const domain_name& aOwnDomain,
                           metrics& aMetrics)
  : mMetrics(aMetrics)
  , mOrigins(stream_origins_settings{}, aOwnDomain, RandomNumber())
  , mTimer(aIo)
{
}

void
stream_guard::OnListed(const listed_endpoint& aEndpoint)
{
  mOrigins.OnListed(
    { aEndpoint.mName,
      aEndpoint.mPool,
      EndpointVersionHash(aEndpoint.mPool, aEndpoint.mVersion) },
    Now());
  Proceed();
}

void
stream_guard::OnRemoved(const endpoint_name& aEndpoint)
{
  mOrigins.OnRemoved(aEndpoint, Now());
}

void
stream_guard::OnRouting(const routing_table* aBefore,
                        const routing_table& aTable)
{
  mOrigins.SetLongestStream(LongestStream(aTable));
  if (aBefore != nullptr && LeadsElsewhere(*aBefore, aTable)) {
    mOrigins.OnHistoryBroken(Now());
  }
  Proceed();
}

void
stream_guard::OnClockGap()
{
  mOrigins.OnHistoryBroken(Now());
  Proceed();
}

void
stream_guard::OnBegun(const begun_stream& aStream)
{
  mOrigins.OnBegun(aStream, Now());
  Proceed();
}

void
stream_guard::OnEnded(stream_key aStream)
{
  mOrigins.OnEnded(aStream, Now());
}

void
stream_guard::Find(stream_key aStream,
                   const pool_name& aPool,
                   verdict_handler aDone)
{
  const auto found = mOrigins.Find(aStream, aPool, Now());
  if (const auto* verdict = std::get_if<origin_verdict>(&found)) {
    Finish(aDone, *verdict);
    return;
  }
  mWaiting.emplace(std::get<question_number>(found), std::move(aDone));
  Proceed();
}

void
stream_guard::Finish(const verdict_handler& aDone,
                     const origin_verdict& aVerdict)
{
  mMetrics.OnEvent("stream_origin_" + std::string(Name(aVerdict.mGround)));
  aDone(aVerdict);
}

void
stream_guard::OnMessage(const std::string& aFrom,
                        const origin_message& aMessage)
{
  mOrigins.OnMessage(aFrom, aMessage, Now());
  Proceed();
}

void
stream_guard::Tick()
{
  if (mPeers.mInstances) {
    mOrigins.SetInstances(mPeers.mInstances(), Now());
    mOrigins.SetListIsCurrent(mPeers.mListIsCurrent());
  }
  mOrigins.Tick(Now());
  Proceed();
}

void
stream_guard::Proceed()
{
  for (const outgoing_origin_message& each : mOrigins.TakeMessages(Now())) {
    mPeers.mSend(each.mTo, each.mMessage);
  }
  for (const finished_search& each : mOrigins.TakeFinished(Now())) {
    if (const auto waiting = mWaiting.extract(each.mNumber)) {
      Finish(waiting.mapped(), each.mVerdict);
    }
  }
  const auto next = mOrigins.NextDue();
  if (!next || *next == mTimer.expiry()) {
    return;
  }
  mTimer.expires_at(*next);
  mTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Proceed();
    }
  });
}

} // namespace thornhollow
