#include <random>
#include <string>

#include <doctest/doctest.h>
#include <thornhollow_types.h>
#include <thrift/protocol/TCompactProtocol.h>

#include "thornhollow/fleet/gossip_size.h"
#include "thornhollow/wire/codec.h"
#include "thornhollow/wire/internal/compact.h"

namespace thornhollow {
namespace {

struct peer_codec
{
  member_digest mMember{ instance_name("entry-1"),
                         "127.0.0.1:7001",
                         { 1764710000000000, 3 },
                         member_status::kSuspect,
                         true };
  gossip_message mGossip{
    gossip_kind::kAck,
    99,
    domain_name("nashua-hall"),
    mMember,
    instance_name("entry-2"),
    { mMember },
    77,
    { { pool_name("dispatch"), 2, Milliseconds(40), Milliseconds(900) } },
    { { endpoint_name("engine-1"), 4, Seconds(20) } },
    Seconds(2)
  };

  static bool Reads(const std::string& aBytes)
  {
    return static_cast<bool>(DecodeGossip(aBytes));
  }
};

TEST_CASE_FIXTURE(peer_codec, "codec/gossip/comes_back_equal")
{
  CHECK(DecodeGossip(EncodeGossip(mGossip)).value() == mGossip);
}

TEST_CASE_FIXTURE(peer_codec, "codec/every_stream_message/comes_back_equal")
{
  const std::vector<stream_message> all = {
    claim_request{ claim_kind::kUsed,
                   0xFFFFFFFFFFFFFFFFULL,
                   2,
                   { instance_name("entry-1"), 5 },
                   6,
                   7,
                   { instance_name("a"), instance_name("b") } },
    claim_answer{
      1, 2, 3, instance_name("a"), claim_verdict::kCapacityExceeded, true },
    part_request{ std::string(64, 'a') },
    part_answer{ std::string(64, 'a'), true, std::string(4096, '\0') },
    config_status_exchange{ { revision{ 12, std::string(64, 'a') },
                              revision{ 13, std::string(64, '0') },
                              Seconds(3) } },
    config_status_exchange{},
    forward_query{ pool_name("dispatch"), 77 },
    forward_offer{ "127.0.0.1:8080", true, 9 },
    forward_offer{}
  };
  for (const stream_message& each : all) {
    CHECK(DecodeStream(EncodeStream(each)).value() == each);
  }
}

TEST_CASE_FIXTURE(peer_codec, "codec/fields_of_a_newer_release/are_skipped")
{
  // During an upgrade half of the daemons send a field that the others don't
  // know. If those refused the message, both halves would remove each other.
  // The struct of the newer release is an old one with another field 15.
  std::string bytes = EncodeGossip(mGossip);
  REQUIRE(bytes.back() == '\0');
  bytes.pop_back();
  // Field 15 by its full number (type i64, no delta), then a list of two i32 as
  // field 16, then the end of the struct.
  bytes += std::string("\x06\x1e\x05", 3);
  bytes += std::string("\x19\x25\x02\x04", 4);
  bytes += '\0';
  CHECK(DecodeGossip(bytes).value() == mGossip);
}

TEST_CASE_FIXTURE(peer_codec, "codec/fields_an_older_release_lacks/default")
{
  wire::gossip_message older;
  older.__set_domain("nashua-hall");
  older.sender.__set_name("entry-1");
  older.__isset.sender = true;
  const auto read = DecodeGossip(wire_internal::Write(older)).value();
  CHECK(read.mMembers.empty());
  CHECK(read.mSender.mName == mMember.mName);
}

TEST_CASE_FIXTURE(peer_codec, "codec/answer_without_verdict/is_no_grant")
{
  wire::claim_answer answer;
  answer.__set_witness("a");
  answer.__set_claim(2);
  wire::stream_message message;
  message.__set_answer_claim(answer);
  const auto read = DecodeStream(wire_internal::Write(message)).value();
  CHECK(std::get<claim_answer>(read).mVerdict != claim_verdict::kGranted);
}

TEST_CASE_FIXTURE(peer_codec, "codec/any_cut_or_changed_byte/never_crashes")
{
  const std::string whole = EncodeGossip(mGossip);
  for (std::size_t size = 0; size < whole.size(); ++size) {
    CHECK_FALSE(Reads(whole.substr(0, size)));
  }
  std::mt19937_64 random(1);
  for (int round = 0; round < 20'000; ++round) {
    std::string bytes = whole;
    for (int change = 0; change < 3; ++change) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    // The verdict is the sanitizers': any answer but a fault will do.
    if (const auto read = DecodeGossip(bytes)) {
      CHECK(read->mMembers.size() <= kMaxMessageEntries);
    }
  }
}

TEST_CASE_FIXTURE(peer_codec, "codec/list_claims_many_entries/is_refused")
{
  // Field 6, a list: the long form of its size says 2^31 - 1 structs.
  std::string bytes("\x69\xfc\xff\xff\xff\xff\x07", 7);
  CHECK_FALSE(Reads(bytes));
  bytes.append(64, '\0');
  CHECK_FALSE(Reads(bytes));
}

TEST_CASE_FIXTURE(peer_codec, "codec/largest_values/stay_within_the_bounds")
{
  // The core fills datagrams by bounds. Were one too small, a datagram would
  // exceed the packet and the receiver would drop it.
  constexpr auto kLargest = ~std::uint64_t{ 0 } >> 1;
  member_digest digest = mMember;
  digest.mName = instance_name(std::string(kMaxNameBytes, 'n'));
  digest.mAddress = std::string(kMaxNameBytes, 'a');
  digest.mVersion = { kLargest, kLargest };
  const pool_pressure pressure{
    pool_name(std::string(kMaxNameBytes, 'p')), 4, Seconds(86'400), Seconds(90)
  };
  const leaving_endpoint leaving{
    endpoint_name(std::string(kMaxNameBytes, 'e')), kLargest, Seconds(90)
  };
  gossip_message head{ gossip_kind::kPush,
                       kLargest,
                       domain_name("d"),
                       digest,
                       {},
                       {},
                       kLargest,
                       {},
                       {},
                       kUnknownAge };
  const auto size = [&] { return EncodeGossip(head).size(); };
  // MaxHeaderSize counts three bytes for each list; an empty one takes two.
  const std::size_t empty = size() + 1;
  CHECK(empty + kMaxSealOverhead + digest.mName.Text().size() <=
        MaxHeaderSize(head));
  head.mMembers.assign(20, digest);
  CHECK(size() <= empty + 20 * MaxEntrySize(digest));
  head.mMembers.clear();
  head.mPressures.assign(20, pressure);
  CHECK(size() <= empty + 20 * MaxEntrySize(pressure));
  head.mPressures.clear();
  head.mLeaving.assign(20, leaving);
  CHECK(size() <= empty + 20 * MaxEntrySize(leaving));
}

} // namespace
} // namespace thornhollow
