#include "thornhollow/wire/relay_codec.h"

#include <algorithm>
#include <cmath>

#include <thornhollow_types.h>

#include "thornhollow/wire/internal/compact.h"
#include "thornhollow/wire/internal/crash_codec.h"
#include "thornhollow/wire/internal/milliseconds.h"
#include "thornhollow/wire/internal/origin_codec.h"
#include "thornhollow/wire/packing.h"

namespace thornhollow {
namespace {

using wire_internal::FromWireMilliseconds;
using wire_internal::Read;
using wire_internal::ToWireMilliseconds;
using wire_internal::Write;

// Entries of a list in a hello, and items of a copy: letter 1's size has 850
// engines.
constexpr std::size_t kMaxHelloEntries = 128;
constexpr std::size_t kMaxItems = 8'192;
constexpr std::size_t kMaxTextBytes = 128;
// Nanoseconds for a token: a second.
constexpr double kSlowestPace = 1e9;

std::int64_t
Signed(std::uint64_t aValue)
{
  return static_cast<std::int64_t>(aValue);
}

std::uint64_t
Unsigned(std::int64_t aValue)
{
  return static_cast<std::uint64_t>(std::max<std::int64_t>(aValue, 0));
}

// A demand that a forged message makes negative or endless counts as none.
double
Sane(double aValue)
{
  return std::isfinite(aValue) && aValue > 0 ? aValue : 0;
}

// Requests of one instance at one engine.
constexpr std::int32_t kMostOpen = 1'000'000;
// Rates are told in hundredths.
constexpr double kHundredths = 100;
// No fleet reads or streams more; a forged figure beyond it would attract or
// repel all work.
constexpr double kMostTold = 1e12;
// Of a link, in Mbit/s: a hundred times that of a large instance.
constexpr std::uint32_t kMostMegabits = 10'000'000;
// Above the 420 of a large fleet.
constexpr double kMostInstances = 4'096;

std::int64_t
Rounded(double aValue)
{
  return std::llround(std::min(Sane(aValue), kMostTold));
}

double
Bounded(std::int64_t aValue)
{
  return std::min(static_cast<double>(Unsigned(aValue)), kMostTold);
}

wire::kind_demand
Told(const kind_demand& aKind)
{
  wire::kind_demand told;
  told.__set_target_ms(
    static_cast<std::int32_t>(ToMilliseconds(aKind.mKind.mTarget)));
  told.__set_pause_ms(
    static_cast<std::int32_t>(ToMilliseconds(aKind.mKind.mPause)));
  told.__set_requests_per_100_s(Rounded(aKind.mRequests * kHundredths));
  told.__set_tokens_per_s(Rounded(aKind.mTokens));
  told.__set_weighted_tokens(
    Rounded(aKind.mSquaredTokensPerSecond / std::max(aKind.mTokens, 1.0)));
  told.__set_open(Rounded(aKind.mOpen));
  return told;
}

kind_demand
Heard(const wire::kind_demand& aTold)
{
  const double tokens = Bounded(aTold.tokens_per_s);
  return { { FromWireMilliseconds(aTold.target_ms),
             FromWireMilliseconds(aTold.pause_ms) },
           Bounded(aTold.requests_per_100_s) / kHundredths,
           tokens,
           tokens * Bounded(aTold.weighted_tokens),
           Bounded(aTold.open) };
}

wire::pool_demand
Told(const pool_name& aPool, const pool_view& aView)
{
  wire::pool_demand told;
  told.__set_pool(aPool.Text());
  for (const kind_demand& each : aView.mDemand) {
    told.kinds.push_back(Told(each));
  }
  told.__isset.kinds = true;
  const double seen =
    std::clamp(Sane(aView.mPrefillRateCount), 0.0, kMostInstances);
  told.__set_read_per_s(seen > 0 ? Rounded(aView.mPrefillRateSum / seen) : 0);
  if (seen > 1) {
    told.__set_read_seen(static_cast<std::int32_t>(seen));
  }
  return told;
}

pool_view
Heard(const wire::pool_demand& aTold)
{
  pool_view view;
  for (const wire::kind_demand& each : aTold.kinds) {
    AddDemand(view.mDemand, { Heard(each) });
  }
  if (const double read = Bounded(aTold.read_per_s); read > 0) {
    const double seen =
      aTold.__isset.read_seen
        ? std::clamp<double>(aTold.read_seen, 1, kMostInstances)
        : 1;
    view.mPrefillRateSum = read * seen;
    view.mPrefillRateCount = seen;
  }
  return view;
}

wire::summed_views
Told(const aggregated_views& aSums)
{
  wire::summed_views told;
  told.__set_instances(static_cast<std::int32_t>(aSums.mInstances));
  for (const auto& [pool, view] : aSums.mViews) {
    told.demand.push_back(Told(pool, view));
  }
  told.__isset.demand = true;
  return told;
}

aggregated_views
Heard(const wire::summed_views& aTold)
{
  aggregated_views sums;
  sums.mInstances = static_cast<std::size_t>(
    std::clamp<double>(aTold.instances, 0, kMostInstances));
  for (const wire::pool_demand& each : aTold.demand) {
    if (each.pool.size() <= kMaxTextBytes) {
      AddView(sums.mViews[pool_name(each.pool)], Heard(each));
    }
  }
  return sums;
}

wire::told_sums
Told(const aggregation_message& aSums)
{
  wire::told_sums told;
  told.__set_level(static_cast<std::int32_t>(aSums.mLevel));
  told.__set_run(Told(aSums.mBlock));
  told.__set_rest(Told(aSums.mRemainder));
  return told;
}

aggregation_message
Heard(const wire::told_sums& aTold)
{
  return { static_cast<std::size_t>(std::max(aTold.level, 0)),
           Heard(aTold.run),
           Heard(aTold.rest) };
}

std::vector<wire::source_item>
ToldItems(const std::vector<item_change>& aItems)
{
  std::vector<wire::source_item> told;
  told.reserve(aItems.size());
  for (const item_change& each : aItems) {
    wire::source_item item;
    item.__set_key(each.mKey);
    item.__set_value(each.mValue.value_or(std::string()));
    item.__set_removed(!each.mValue.has_value());
    item.__set_revision(Signed(each.mRevision));
    told.push_back(std::move(item));
  }
  return told;
}

wire::items_answer
ToldWithoutItems(const items_answer& aAnswer)
{
  wire::items_answer told;
  told.__set_kind(static_cast<std::int32_t>(aAnswer.mWhich));
  told.__set_at(Signed(aAnswer.mAt));
  told.__set_changes_only(aAnswer.mChangesOnly);
  if (aAnswer.mSourceBackFor) {
    told.__set_source_back_for_ms(ToWireMilliseconds(*aAnswer.mSourceBackFor));
  }
  return told;
}

std::vector<item_change>
HeardItems(const std::vector<wire::source_item>& aTold)
{
  std::vector<item_change> heard;
  heard.reserve(aTold.size());
  for (const wire::source_item& each : aTold) {
    heard.push_back({ each.key,
                      each.removed ? std::nullopt : std::optional(each.value),
                      Unsigned(each.revision) });
  }
  return heard;
}

std::optional<wire::items_answer>
UnpackItems(const wire::items_answer& aTold)
{
  // No deflated byte stands for more.
  constexpr std::uint64_t kMostPacking = 1'032;
  const std::uint64_t size = Unsigned(aTold.unpacked_bytes);
  if (size > kMostUnpackedBytes || size > aTold.packed.size() * kMostPacking) {
    return std::nullopt;
  }
  const auto bytes = Unpack(aTold.packed, size);
  return bytes ? Read<wire::items_answer>(*bytes, kMaxItems) : std::nullopt;
}

std::optional<copied_items>
Which(std::int32_t aKind)
{
  switch (aKind) {
    case 0:
      return copied_items::kConfiguration;
    case 1:
      return copied_items::kEndpoints;
    default:
      return std::nullopt;
  }
}

// Bounds are told in thousandths, which differ by less than they are kept to.
std::int64_t
Thousandths(double aNumber)
{
  return std::llround(aNumber * 1'000);
}

double
FromThousandths(std::int64_t aThousandths)
{
  return static_cast<double>(std::max<std::int64_t>(aThousandths, 0)) / 1'000;
}

void
SetForwarding(wire::relay_hello& aOut, const forwarding_report& aReport)
{
  if (aReport.mPort == 0) {
    return;
  }
  aOut.__set_forward_port(aReport.mPort);
  aOut.__set_in_progress(static_cast<std::int32_t>(
    std::min<std::uint32_t>(aReport.mInProgress, kMostOpen)));
  for (const pool_contact& each : aReport.mContacts) {
    wire::pool_contact contact;
    contact.__set_pool(static_cast<std::int32_t>(each.mPool));
    contact.__set_reached(each.mReached);
    aOut.contacts.push_back(contact);
  }
  aOut.__isset.contacts = !aOut.contacts.empty();
  for (const pool_hash each : aReport.mPoolsAtBound) {
    aOut.pools_at_bound.push_back(static_cast<std::int32_t>(each));
  }
  aOut.__isset.pools_at_bound = !aOut.pools_at_bound.empty();
}

wire::endpoint_bounds
Told(const reported_bounds& aBounds)
{
  wire::endpoint_bounds out;
  out.__set_process(static_cast<std::int64_t>(aBounds.mProcess));
  out.__set_age_ms(ToWireMilliseconds(aBounds.mAge));
  if (aBounds.mBounds.mRefusals) {
    out.__set_refusals_per_1000_s(Thousandths(*aBounds.mBounds.mRefusals));
  }
  if (aBounds.mBounds.mRequestsPerSecond) {
    out.__set_requests_per_1000_s(
      Thousandths(*aBounds.mBounds.mRequestsPerSecond));
  }
  return out;
}

reported_bounds
Heard(const wire::endpoint_bounds& aIn)
{
  reported_bounds bounds;
  bounds.mProcess = static_cast<endpoint_process_hash>(aIn.process);
  bounds.mAge = FromWireMilliseconds(aIn.age_ms);
  if (aIn.__isset.refusals_per_1000_s) {
    bounds.mBounds.mRefusals = FromThousandths(aIn.refusals_per_1000_s);
  }
  if (aIn.__isset.requests_per_1000_s) {
    bounds.mBounds.mRequestsPerSecond =
      FromThousandths(aIn.requests_per_1000_s);
  }
  return bounds;
}

wire::returned_domain
Told(const returned_domain& aReturned)
{
  wire::returned_domain out;
  out.__set_domain(aReturned.mDomain.Text());
  out.__set_age_ms(ToWireMilliseconds(aReturned.mAge));
  return out;
}

std::vector<returned_domain>
Heard(const std::vector<wire::returned_domain>& aIn)
{
  std::vector<returned_domain> returned;
  for (const wire::returned_domain& each : aIn) {
    if (each.domain.size() <= kMaxTextBytes) {
      returned.push_back(
        { domain_name(each.domain), FromWireMilliseconds(each.age_ms) });
    }
  }
  return returned;
}

forwarding_report
GetForwarding(const wire::relay_hello& aIn)
{
  constexpr std::int32_t kMaxPort = 65'535;
  forwarding_report report;
  if (!aIn.__isset.forward_port || aIn.forward_port <= 0 ||
      aIn.forward_port > kMaxPort) {
    return report;
  }
  report.mPort = static_cast<std::uint16_t>(aIn.forward_port);
  report.mInProgress = static_cast<std::uint32_t>(
    std::clamp<std::int32_t>(aIn.in_progress, 0, kMostOpen));
  for (const wire::pool_contact& each : aIn.contacts) {
    report.mContacts.push_back(
      { static_cast<pool_hash>(each.pool), each.reached });
  }
  for (const std::int32_t each : aIn.pools_at_bound) {
    report.mPoolsAtBound.push_back(static_cast<pool_hash>(each));
  }
  return report;
}

wire::endpoint_work
Told(const reported_load& aLoad)
{
  wire::endpoint_work told;
  told.__set_endpoint(static_cast<std::int32_t>(aLoad.mEndpoint));
  told.__set_to_read(Signed(aLoad.mPrefillTokens));
  told.__set_pace_ns(static_cast<std::int32_t>(
    std::min(aLoad.mPrefillNanoseconds, kSlowestPace)));
  told.__set_open(static_cast<std::int32_t>(
    std::min<std::uint32_t>(aLoad.mInFlight, kMostOpen)));
  return told;
}

reported_load
Heard(const wire::endpoint_work& aTold)
{
  return { static_cast<std::uint32_t>(aTold.endpoint),
           Unsigned(aTold.to_read),
           Sane(aTold.pace_ns),
           static_cast<std::uint32_t>(
             std::clamp<std::int32_t>(aTold.open, 0, kMostOpen)) };
}

wire::load_message
Told(const load_message& aMessage)
{
  wire::load_message told;
  told.__set_kind(static_cast<std::int32_t>(aMessage.mKind));
  told.__set_number(static_cast<std::int32_t>(aMessage.mNumber));
  for (const reported_load& each : aMessage.mLoads) {
    told.work.push_back(Told(each));
  }
  told.__isset.work = true;
  return told;
}

// Nothing for a message of no kind that is known here.
std::optional<load_message>
Heard(const wire::load_message& aTold)
{
  constexpr auto kLast = static_cast<std::int32_t>(load_message_kind::kAnswer);
  if (aTold.kind < 0 || aTold.kind > kLast) {
    return std::nullopt;
  }
  load_message message{ static_cast<load_message_kind>(aTold.kind),
                        static_cast<std::uint32_t>(aTold.number),
                        {} };
  for (const wire::endpoint_work& each : aTold.work) {
    message.mLoads.push_back(Heard(each));
  }
  return message;
}

} // namespace

std::string
EncodeHello(const relay_hello& aHello)
{
  wire::relay_hello out;
  out.__set_address(aHello.mAddress);
  out.__set_domain(aHello.mDomain.Text());
  out.__set_configuration_at(Signed(aHello.mRevisions.mConfiguration));
  out.__set_endpoints_at(Signed(aHello.mRevisions.mEndpoints));
  out.__set_peers(aHello.mPeers);
  for (const reported_load& each : aHello.mLoads) {
    out.work.push_back(Told(each));
  }
  out.__isset.work = true;
  for (const pool_demand& each : aHello.mDemand) {
    out.demand.push_back(Told(each.mPool, each.mView));
  }
  out.__isset.demand = true;
  out.__set_wants_answer(aHello.mWantsAnswer);
  out.__set_source_fails(aHello.mSourceFails);
  out.__set_brief(aHello.mBrief);
  if (aHello.mAggregation) {
    out.__set_sums(Told(*aHello.mAggregation));
  }
  if (aHello.mLinkMegabits > 0) {
    out.__set_link_megabits(static_cast<std::int32_t>(
      std::min<std::uint32_t>(aHello.mLinkMegabits, kMostMegabits)));
  }
  if (aHello.mCrashes) {
    out.__set_crashes(wire_internal::ToWire(*aHello.mCrashes));
  }
  if (aHello.mCrashDigest) {
    out.__set_crash_digest(Signed(*aHello.mCrashDigest));
  }
  SetForwarding(out, aHello.mForwarding);
  for (const endpoint_process_hash each : aHello.mLeaving) {
    out.leaving.push_back(static_cast<std::int64_t>(each));
  }
  out.__isset.leaving = !out.leaving.empty();
  for (const reported_bounds& each : aHello.mBounds) {
    out.bounds.push_back(Told(each));
  }
  out.__isset.bounds = !out.bounds.empty();
  if (aHello.mOrigins) {
    out.__set_origins(wire_internal::ToWire(*aHello.mOrigins));
  }
  if (aHello.mLoad) {
    out.__set_load(Told(*aHello.mLoad));
  }
  for (const returned_domain& each : aHello.mReturned) {
    out.returned.push_back(Told(each));
  }
  out.__isset.returned = !out.returned.empty();
  if (aHello.mSourceAnswerAge) {
    out.__set_source_answer_age_ms(
      ToWireMilliseconds(*aHello.mSourceAnswerAge));
  }
  return Write(out);
}

std::optional<relay_hello>
DecodeHello(std::string_view aBytes)
{
  const auto in = Read<wire::relay_hello>(aBytes, kMaxHelloEntries);
  if (!in || in->address.empty() || in->address.size() > kMaxTextBytes ||
      in->domain.size() > kMaxTextBytes) {
    return std::nullopt;
  }
  relay_hello hello;
  hello.mAddress = in->address;
  hello.mDomain = domain_name(in->domain);
  hello.mRevisions = { Unsigned(in->configuration_at),
                       Unsigned(in->endpoints_at) };
  for (const std::string& each : in->peers) {
    if (each.size() <= kMaxTextBytes) {
      hello.mPeers.push_back(each);
    }
  }
  for (const wire::endpoint_work& each : in->work) {
    hello.mLoads.push_back(Heard(each));
  }
  for (const wire::pool_demand& each : in->demand) {
    if (each.pool.size() <= kMaxTextBytes) {
      hello.mDemand.push_back({ pool_name(each.pool), Heard(each) });
    }
  }
  hello.mWantsAnswer = in->wants_answer;
  hello.mSourceFails = in->source_fails;
  hello.mBrief = in->brief;
  if (in->__isset.sums) {
    hello.mAggregation = Heard(in->sums);
  }
  if (in->__isset.link_megabits) {
    hello.mLinkMegabits =
      static_cast<std::uint32_t>(std::max(in->link_megabits, 0));
  }
  if (in->__isset.crashes) {
    hello.mCrashes = wire_internal::FromWire(in->crashes);
  }
  if (in->__isset.crash_digest) {
    hello.mCrashDigest = static_cast<std::uint64_t>(in->crash_digest);
  }
  hello.mForwarding = GetForwarding(*in);
  for (const std::int64_t each : in->leaving) {
    hello.mLeaving.push_back(static_cast<endpoint_process_hash>(each));
  }
  for (const wire::endpoint_bounds& each : in->bounds) {
    hello.mBounds.push_back(Heard(each));
  }
  if (in->__isset.origins) {
    hello.mOrigins = wire_internal::FromWire(in->origins);
  }
  if (in->__isset.load) {
    hello.mLoad = Heard(in->load);
  }
  hello.mReturned = Heard(in->returned);
  if (in->__isset.source_answer_age_ms) {
    hello.mSourceAnswerAge = FromWireMilliseconds(in->source_answer_age_ms);
  }
  return hello;
}

std::string
EncodeItemsRequest(const items_request& aRequest)
{
  wire::items_request out;
  out.__set_kind(static_cast<std::int32_t>(aRequest.mWhich));
  out.__set_after(Signed(aRequest.mAfter));
  out.__set_takes_packed(aRequest.mTakesPacked);
  return Write(out);
}

std::optional<items_request>
DecodeItemsRequest(std::string_view aBytes)
{
  const auto in = Read<wire::items_request>(aBytes, kMaxHelloEntries);
  const auto which = in ? Which(in->kind) : std::nullopt;
  if (!which) {
    return std::nullopt;
  }
  return items_request{ *which, Unsigned(in->after), in->takes_packed };
}

packed_items
PackItems(const std::vector<item_change>& aItems)
{
  wire::items_answer items;
  items.__set_items(ToldItems(aItems));
  const std::string bytes = Write(items);
  return { Pack(bytes), bytes.size() };
}

std::string
EncodeItemsAnswer(const items_answer& aAnswer)
{
  wire::items_answer out = ToldWithoutItems(aAnswer);
  out.__set_items(ToldItems(aAnswer.mItems));
  return Write(out);
}

std::string
EncodeItemsAnswer(const items_answer& aAnswer, const packed_items& aItems)
{
  wire::items_answer out = ToldWithoutItems(aAnswer);
  out.__set_packed(aItems.mBytes);
  out.__set_unpacked_bytes(static_cast<std::int32_t>(aItems.mUnpackedBytes));
  return Write(out);
}

std::optional<items_answer>
DecodeItemsAnswer(std::string_view aBytes)
{
  const auto in = Read<wire::items_answer>(aBytes, kMaxItems);
  const auto which = in ? Which(in->kind) : std::nullopt;
  if (!which) {
    return std::nullopt;
  }
  items_answer answer{ *which, Unsigned(in->at), in->changes_only, {} };
  if (in->__isset.packed) {
    const auto inner = UnpackItems(*in);
    if (!inner) {
      return std::nullopt;
    }
    answer.mItems = HeardItems(inner->items);
  } else {
    answer.mItems = HeardItems(in->items);
  }
  if (in->__isset.source_back_for_ms) {
    answer.mSourceBackFor = FromWireMilliseconds(in->source_back_for_ms);
  }
  return answer;
}

} // namespace thornhollow
