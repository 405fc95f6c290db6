#include "thornhollow/wire/codec.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <optional>
#include <utility>

#include <boost/algorithm/hex.hpp>
#include <thornhollow_types.h>

#include "thornhollow/wire/internal/compact.h"
#include "thornhollow/wire/internal/crash_codec.h"

namespace thornhollow {
namespace {

using wire_internal::Read;
using wire_internal::Write;

constexpr std::uint64_t kLargestLengthMs = 24ULL * 3600 * 1000;

std::int64_t
Signed(std::uint64_t aValue)
{
  return static_cast<std::int64_t>(aValue);
}

std::uint64_t
Unsigned(std::int64_t aValue)
{
  return static_cast<std::uint64_t>(aValue);
}

// A length from the wire, cut to a day: a forged one must not overflow when it
// is added to an instant.
duration
Length(std::int64_t aCount, duration aUnit)
{
  const auto most = Milliseconds(kLargestLengthMs) / aUnit;
  return aUnit * std::clamp<std::int64_t>(aCount, 0, most);
}

// The enumerator of this number, or nothing where this release has none.
template<class enumeration>
std::optional<enumeration>
Enumerator(std::int32_t aNumber, enumeration aLast)
{
  if (aNumber < 0 || aNumber > static_cast<std::int32_t>(aLast)) {
    return std::nullopt;
  }
  return static_cast<enumeration>(aNumber);
}

bool
IsName(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaxNameBytes;
}

wire::member_digest
ToWire(const member_digest& aDigest)
{
  wire::member_digest out;
  out.__set_name(aDigest.mName.Text());
  out.__set_address(aDigest.mAddress);
  out.__set_epoch(Signed(aDigest.mVersion.mEpoch));
  out.__set_revision(Signed(aDigest.mVersion.mIncarnation));
  out.__set_status(static_cast<std::int32_t>(aDigest.mStatus));
  out.__set_draining(aDigest.mDraining);
  return out;
}

std::optional<member_digest>
FromWire(const wire::member_digest& aWire)
{
  const auto status = Enumerator(aWire.status, member_status::kRemoved);
  if (!status || !IsName(aWire.name) || aWire.address.size() > kMaxNameBytes) {
    return std::nullopt;
  }
  return member_digest{ instance_name(aWire.name),
                        aWire.address,
                        { Unsigned(aWire.epoch), Unsigned(aWire.revision) },
                        *status,
                        aWire.draining };
}

wire::pool_pressure
ToWire(const pool_pressure& aPressure)
{
  using std::chrono::duration_cast;
  wire::pool_pressure out;
  out.__set_pool(aPressure.mPool.Text());
  out.__set_lowest_admitted(aPressure.mLowestAdmitted);
  out.__set_higher_wait_us(
    duration_cast<std::chrono::microseconds>(aPressure.mHigherWait).count());
  out.__set_age_ms(ToMilliseconds(aPressure.mAge));
  return out;
}

std::optional<pool_pressure>
FromWire(const wire::pool_pressure& aWire)
{
  if (!IsName(aWire.pool) || aWire.lowest_admitted < kHighestTier ||
      aWire.lowest_admitted > kLowestTier) {
    return std::nullopt;
  }
  return pool_pressure{ pool_name(aWire.pool),
                        aWire.lowest_admitted,
                        Length(aWire.higher_wait_us,
                               std::chrono::microseconds(1)),
                        Length(aWire.age_ms, Milliseconds(1)) };
}

wire::leaving_endpoint
ToWire(const leaving_endpoint& aLeaving)
{
  wire::leaving_endpoint out;
  out.__set_endpoint(aLeaving.mEndpoint.Text());
  out.__set_stamp(Signed(aLeaving.mVersion));
  out.__set_remaining_ms(ToMilliseconds(aLeaving.mRemaining));
  return out;
}

std::optional<leaving_endpoint>
FromWire(const wire::leaving_endpoint& aWire)
{
  if (!IsName(aWire.endpoint)) {
    return std::nullopt;
  }
  return leaving_endpoint{ endpoint_name(aWire.endpoint),
                           Unsigned(aWire.stamp),
                           Length(aWire.remaining_ms, Milliseconds(1)) };
}

template<class value, class wire_value>
void
AppendTo(std::vector<wire_value>& aOut, const std::vector<value>& aValues)
{
  for (const value& each : aValues) {
    aOut.push_back(ToWire(each));
  }
}

template<class value, class wire_value>
void
AppendKnown(std::vector<value>& aOut, const std::vector<wire_value>& aWires)
{
  for (const wire_value& each : aWires) {
    if (auto known = FromWire(each)) {
      aOut.push_back(*std::move(known));
    }
  }
}

constexpr std::size_t kDigestBytes = 32;

wire::revision
ToWire(const revision& aRevision)
{
  wire::revision out;
  out.__set_version(Signed(aRevision.mVersion));
  out.__set_digest(boost::algorithm::unhex(aRevision.mDigest));
  return out;
}

wire::config_word
ToWire(const config_word& aWord)
{
  wire::config_word out;
  if (aWord.mInForce) {
    out.__set_in_force(ToWire(*aWord.mInForce));
  }
  if (aWord.mNewest) {
    out.__set_newest(ToWire(*aWord.mNewest));
  }
  out.__set_platform_age_ms(ToMilliseconds(aWord.mPlatformAge));
  return out;
}

std::optional<revision>
FromWire(const wire::revision& aWire)
{
  if (aWire.digest.size() != kDigestBytes) {
    return std::nullopt;
  }
  return revision{ Unsigned(aWire.version),
                   boost::algorithm::hex_lower(aWire.digest) };
}

// An age from the future would make a peer's word count as fresh for ever.
duration
PlatformAge(std::int64_t aMilliseconds)
{
  return Milliseconds(
    std::clamp(aMilliseconds, std::int64_t{ 0 }, ToMilliseconds(kUnknownAge)));
}

// Nothing where a revision is there but none that can be read.
std::optional<config_word>
FromWire(const wire::config_word& aWire)
{
  config_word out;
  if (aWire.__isset.in_force && !(out.mInForce = FromWire(aWire.in_force))) {
    return std::nullopt;
  }
  if (aWire.__isset.newest && !(out.mNewest = FromWire(aWire.newest))) {
    return std::nullopt;
  }
  out.mPlatformAge = PlatformAge(aWire.platform_age_ms);
  return out;
}

struct stream_writer
{
  wire::stream_message mOut;

  void operator()(const claim_request& aRequest)
  {
    wire::claim_request out;
    out.__set_kind(static_cast<std::int32_t>(aRequest.mKind));
    out.__set_key(Signed(aRequest.mKey));
    out.__set_fingerprint(Signed(aRequest.mFingerprint));
    out.__set_holder(aRequest.mHolder.mName.Text());
    out.__set_holder_epoch(Signed(aRequest.mHolder.mEpoch));
    out.__set_claim(Signed(aRequest.mClaim));
    out.__set_round(static_cast<std::int32_t>(aRequest.mRound));
    for (const instance_name& witness : aRequest.mWitnesses) {
      out.witnesses.push_back(witness.Text());
    }
    out.__isset.witnesses = true;
    mOut.__set_ask_claim(out);
  }

  void operator()(const claim_answer& aAnswer)
  {
    wire::claim_answer out;
    out.__set_key(Signed(aAnswer.mKey));
    out.__set_claim(Signed(aAnswer.mClaim));
    out.__set_round(static_cast<std::int32_t>(aAnswer.mRound));
    out.__set_witness(aAnswer.mWitness.Text());
    out.__set_verdict(static_cast<std::int32_t>(aAnswer.mVerdict));
    out.__set_vouches(aAnswer.mVouches);
    mOut.__set_answer_claim(out);
  }

  void operator()(const part_request& aRequest)
  {
    wire::part_request out;
    out.__set_digest(aRequest.mDigest);
    mOut.__set_ask_part(out);
  }

  void operator()(const part_answer& aAnswer)
  {
    wire::part_answer out;
    out.__set_digest(aAnswer.mDigest);
    out.__set_found(aAnswer.mFound);
    out.__set_bytes(aAnswer.mBytes);
    mOut.__set_answer_part(out);
  }

  void operator()(const config_status_exchange& aExchange)
  {
    mOut.__set_word(ToWire(aExchange.mStatus));
  }

  void operator()(const forward_query& aQuery)
  {
    wire::forward_query out;
    out.__set_pool(aQuery.mPool.Text());
    out.__set_configuration(Signed(aQuery.mConfiguration));
    mOut.__set_ask_forward(out);
  }

  void operator()(const forward_offer& aOffer)
  {
    wire::forward_offer out;
    out.__set_address(aOffer.mAddress);
    out.__set_in_contact(aOffer.mInContact);
    out.__set_in_progress(static_cast<std::int32_t>(aOffer.mInProgress));
    mOut.__set_answer_forward(out);
  }
};

std::optional<stream_message>
FromWire(const wire::claim_request& aWire)
{
  const auto kind = Enumerator(aWire.kind, claim_kind::kRelease);
  if (!kind || !IsName(aWire.holder)) {
    return std::nullopt;
  }
  claim_request out{ *kind,
                     Unsigned(aWire.key),
                     Unsigned(aWire.fingerprint),
                     { instance_name(aWire.holder),
                       Unsigned(aWire.holder_epoch) },
                     Unsigned(aWire.claim),
                     static_cast<std::uint32_t>(aWire.round),
                     {} };
  for (const std::string& witness : aWire.witnesses) {
    if (!IsName(witness)) {
      return std::nullopt;
    }
    out.mWitnesses.emplace_back(witness);
  }
  return out;
}

std::optional<stream_message>
FromWire(const wire::claim_answer& aWire)
{
  const auto verdict =
    Enumerator(aWire.verdict, claim_verdict::kCapacityExceeded);
  if (!verdict || !IsName(aWire.witness)) {
    return std::nullopt;
  }
  return claim_answer{ Unsigned(aWire.key),
                       Unsigned(aWire.claim),
                       static_cast<std::uint32_t>(aWire.round),
                       instance_name(aWire.witness),
                       *verdict,
                       aWire.vouches };
}

std::optional<stream_message>
FromWire(const wire::part_request& aWire)
{
  if (!IsName(aWire.digest)) {
    return std::nullopt;
  }
  return part_request{ aWire.digest };
}

std::optional<stream_message>
FromWire(const wire::part_answer& aWire)
{
  if (!IsName(aWire.digest) || aWire.bytes.size() > kMaxTransferBytes) {
    return std::nullopt;
  }
  return part_answer{ aWire.digest, aWire.found, aWire.bytes };
}

std::optional<stream_message>
FromWire(const wire::forward_query& aWire)
{
  if (!IsName(aWire.pool)) {
    return std::nullopt;
  }
  return forward_query{ pool_name(aWire.pool), Unsigned(aWire.configuration) };
}

std::optional<stream_message>
FromWire(const wire::forward_offer& aWire)
{
  if (aWire.address.size() > kMaxNameBytes) {
    return std::nullopt;
  }
  return forward_offer{ aWire.address,
                        aWire.in_contact,
                        static_cast<std::uint32_t>(aWire.in_progress) };
}

std::optional<stream_message>
FromWire(const wire::stream_message& aWire)
{
  if (aWire.__isset.ask_claim) {
    return FromWire(aWire.ask_claim);
  }
  if (aWire.__isset.answer_claim) {
    return FromWire(aWire.answer_claim);
  }
  if (aWire.__isset.ask_part) {
    return FromWire(aWire.ask_part);
  }
  if (aWire.__isset.answer_part) {
    return FromWire(aWire.answer_part);
  }
  if (aWire.__isset.ask_forward) {
    return FromWire(aWire.ask_forward);
  }
  if (aWire.__isset.answer_forward) {
    return FromWire(aWire.answer_forward);
  }
  if (aWire.__isset.word) {
    const auto word = FromWire(aWire.word);
    return word ? std::optional<stream_message>(config_status_exchange{ *word })
                : std::nullopt;
  }
  return std::nullopt;
}

} // namespace

std::string
EncodeGossip(const gossip_message& aMessage)
{
  wire::gossip_message out;
  out.__set_kind(static_cast<std::int32_t>(aMessage.mKind));
  out.__set_exchange(Signed(aMessage.mExchange));
  out.__set_domain(aMessage.mDomain.Text());
  out.__set_sender(ToWire(aMessage.mSender));
  out.__set_target(aMessage.mTarget.Text());
  AppendTo(out.members, aMessage.mMembers);
  out.__set_configuration_version(Signed(aMessage.mConfigurationVersion));
  if (aMessage.mPlatformAge) {
    out.__set_platform_age_ms(ToMilliseconds(*aMessage.mPlatformAge));
  }
  if (aMessage.mCrashes) {
    out.__set_crashes(wire_internal::ToWire(*aMessage.mCrashes));
  }
  if (aMessage.mCrashDigest) {
    out.__set_crash_digest(Signed(*aMessage.mCrashDigest));
  }
  AppendTo(out.pressures, aMessage.mPressures);
  AppendTo(out.leaving, aMessage.mLeaving);
  return Write(out);
}

result<gossip_message>
DecodeGossip(std::string_view aBytes)
{
  if (aBytes.size() > kMaxDatagramBytes) {
    return Fail(error_kind::kMalformedRequest, "gossip: too long");
  }
  const auto read = Read<wire::gossip_message>(aBytes, kMaxMessageEntries);
  if (!read) {
    return Fail(error_kind::kMalformedRequest, "gossip: no message");
  }
  const auto kind = Enumerator(read->kind, gossip_kind::kPush);
  auto sender = FromWire(read->sender);
  if (!kind || !sender || !IsName(read->domain) ||
      read->target.size() > kMaxNameBytes) {
    return Fail(error_kind::kMalformedRequest, "gossip: a field is wrong");
  }
  gossip_message out;
  out.mKind = *kind;
  out.mExchange = Unsigned(read->exchange);
  out.mDomain = domain_name(read->domain);
  out.mSender = *std::move(sender);
  out.mTarget = instance_name(read->target);
  AppendKnown(out.mMembers, read->members);
  out.mConfigurationVersion = Unsigned(read->configuration_version);
  if (read->__isset.platform_age_ms) {
    out.mPlatformAge = PlatformAge(read->platform_age_ms);
  }
  if (read->__isset.crashes) {
    out.mCrashes = wire_internal::FromWire(read->crashes);
  }
  if (read->__isset.crash_digest) {
    out.mCrashDigest = Unsigned(read->crash_digest);
  }
  AppendKnown(out.mPressures, read->pressures);
  AppendKnown(out.mLeaving, read->leaving);
  return out;
}

std::string
EncodeStream(const stream_message& aMessage)
{
  stream_writer writer;
  std::visit(writer, aMessage);
  return Write(writer.mOut);
}

result<stream_message>
DecodeStream(std::string_view aBytes)
{
  if (aBytes.size() > kMaxTransferBytes + kMaxDatagramBytes) {
    return Fail(error_kind::kMalformedRequest, "stream: too long");
  }
  const auto read = Read<wire::stream_message>(aBytes, kMaxMessageEntries);
  auto out = read ? FromWire(*read) : std::nullopt;
  if (!out) {
    return Fail(error_kind::kMalformedRequest, "stream: no message");
  }
  return *std::move(out);
}

} // namespace thornhollow
