// What daemons tell each other, as plain values. The codec in `wire` turns them
// into bytes; the state machines of this folder make and read them.
//
//   gossip_message ping{ .mKind = gossip_kind::kPing, .mExchange = 7 };
//
// Instants don't travel: clocks differ, so a message carries ages and remaining
// lengths instead.
#ifndef THORNHOLLOW_FLEET_PEER_MESSAGES_H_
#define THORNHOLLOW_FLEET_PEER_MESSAGES_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/config/config_word.h"
#include "thornhollow/config/declarations.h"
#include "thornhollow/policy/pool_pressure.h"

namespace thornhollow {

// Largest sealed datagram: it fits one packet on any usual path.
inline constexpr std::size_t kMaxDatagramBytes = 1200;
// Entries of one list inside a message; more is refused as garbage.
inline constexpr std::size_t kMaxMessageEntries = 64;
// Bytes of a name or an address inside a message.
inline constexpr std::size_t kMaxNameBytes = 128;
// Bytes of a configuration part or a manifest: the platform holds values up to
// a megabyte.
inline constexpr std::size_t kMaxTransferBytes = std::size_t{ 1 } << 20;

// Orders what is known of one member. The epoch tells processes of the same
// name apart (taken from the clock when the process starts); the revision is
// raised by the member itself when it contradicts a suspicion or changes.
struct member_version
{
  std::uint64_t mEpoch = 0;
  std::uint64_t mIncarnation = 0;

  // clang-tidy 14 takes the 0 in the generated code for a null pointer.
  // NOLINTBEGIN(modernize-use-nullptr)
  friend std::strong_ordering operator<=>(const member_version&,
                                          const member_version&) = default;
  // NOLINTEND(modernize-use-nullptr)
};

// Ordered: of two statements about the same version, the later one wins.
enum class member_status : std::uint8_t
{
  kAlive,
  kSuspect,
  kRemoved,
};

// What one daemon says of another of its own failure domain, or of itself.
struct member_digest
{
  instance_name mName;
  // Peer address, "ip:port".
  std::string mAddress;
  member_version mVersion;
  member_status mStatus = member_status::kAlive;
  // Takes no new requests, still serves its peers.
  bool mDraining = false;

  friend bool operator==(const member_digest&, const member_digest&) = default;
};

// An endpoint that said it is leaving.
struct leaving_endpoint
{
  endpoint_name mEndpoint;
  // Raised for each new statement about the same endpoint.
  std::uint64_t mVersion = 0;
  // How long the statement still holds.
  duration mRemaining{};

  friend bool operator==(const leaving_endpoint&,
                         const leaving_endpoint&) = default;
};

enum class gossip_kind : std::uint8_t
{
  // Answer with an ack.
  kPing,
  kAck,
  // Ping `mTarget` on the sender's behalf.
  kPingRequest,
  // News; no answer is expected.
  kPush,
};

// One datagram between two daemons.
struct gossip_message
{
  gossip_kind mKind = gossip_kind::kPing;
  // An ack repeats the ping's.
  std::uint64_t mExchange = 0;
  domain_name mDomain;
  member_digest mSender;
  // Of a ping request: whom to ping. Of an ack: who is alive.
  instance_name mTarget;
  std::vector<member_digest> mMembers;
  std::uint64_t mConfigurationVersion = 0;
  std::vector<pool_pressure> mPressures;
  std::vector<leaving_endpoint> mLeaving;
  // With the configuration version: see config_hint.
  std::optional<duration> mPlatformAge;

  friend bool operator==(const gossip_message&,
                         const gossip_message&) = default;
};

// Hash of a team and its idempotency key.
using claim_key = std::uint64_t;

// Who holds a claim: one process, not its name.
struct claim_holder
{
  instance_name mName;
  std::uint64_t mEpoch = 0;

  friend bool operator==(const claim_holder&, const claim_holder&) = default;
};

enum class claim_kind : std::uint8_t
{
  // Grant the key to the holder, or renew its grant.
  kClaim,
  // The holder's submission ended and may have run: never grant again.
  kUsed,
  // The holder's submission ended and was not run: forget the grant.
  kRelease,
};

struct claim_request
{
  claim_kind mKind = claim_kind::kClaim;
  claim_key mKey = 0;
  // Hash of the request; the same key with another one is refused.
  std::uint64_t mFingerprint = 0;
  claim_holder mHolder;
  // Counts the holder's submissions with a key. Only the same one is granted
  // again: another of the same process is another submission.
  std::uint64_t mClaim = 0;
  // Counts the times that the claim was asked for anew.
  std::uint32_t mRound = 0;
  // The witnesses by the holder's view, highest rank first.
  std::vector<instance_name> mWitnesses;

  friend bool operator==(const claim_request&, const claim_request&) = default;
};

enum class claim_verdict : std::uint8_t
{
  // Another submission holds the key. First, so that an answer without a
  // verdict reads as a denial.
  kHeld,
  kGranted,
  // A submission with the key ended.
  kUsed,
  // The key belongs to a request with another fingerprint.
  kFingerprintMismatch,
  // The witness has another view of who the witnesses are.
  kViewMismatch,
  // The witness has no room for another key.
  kCapacityExceeded,
};

struct claim_answer
{
  claim_key mKey = 0;
  std::uint64_t mClaim = 0;
  std::uint32_t mRound = 0;
  instance_name mWitness;
  claim_verdict mVerdict = claim_verdict::kHeld;
  // The witness has been one for this key, with its memory, for longer than a
  // key lives.
  bool mVouches = false;

  friend bool operator==(const claim_answer&, const claim_answer&) = default;
};

// Asks for a configuration part or a manifest by the hex SHA-256 of its bytes.
struct part_request
{
  std::string mDigest;

  friend bool operator==(const part_request&, const part_request&) = default;
};

struct part_answer
{
  std::string mDigest;
  bool mFound = false;
  std::string mBytes;

  friend bool operator==(const part_answer&, const part_answer&) = default;
};

// What the sender says of its configuration; answered by the same of the other.
struct config_status_exchange
{
  config_word mStatus;

  friend bool operator==(const config_status_exchange&,
                         const config_status_exchange&) = default;
};

// One frame on the peers' TCP port.
using stream_message = std::variant<claim_request,
                                    claim_answer,
                                    part_request,
                                    part_answer,
                                    config_status_exchange>;

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_PEER_MESSAGES_H_
