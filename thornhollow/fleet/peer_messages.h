// Messages between instances, as plain values. The codec in `wire` encodes
// them; the state machines in this folder create and consume them.
//
//   gossip_message ping{ .mKind = gossip_kind::kPing, .mExchange = 7 };
//
// Messages carry ages and remaining durations in place of time points, because
// clocks differ between hosts.
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
#include "thornhollow/policy/admission/pool_pressure.h"
#include "thornhollow/policy/suspects/crash_report.h"

namespace thornhollow {

// Maximum size of a sealed datagram, which fits into one packet on any usual
// network path.
inline constexpr std::size_t kMaxDatagramBytes = 1200;
// Maximum number of entries of one list inside a message; a message with a
// longer list is rejected as malformed.
inline constexpr std::size_t kMaxMessageEntries = 64;
// Maximum bytes of a name or an address inside a message.
inline constexpr std::size_t kMaxNameBytes = 128;
// Maximum bytes of a configuration part or a manifest: the platform stores
// values of up to 1 MiB.
inline constexpr std::size_t kMaxTransferBytes = std::size_t{ 1 } << 20;

// Orders the information about one member by age. The epoch distinguishes
// processes of the same name (taken from the clock at process start); the
// incarnation is raised by the member itself when it refutes a suspicion or
// changes.
struct member_version
{
  std::uint64_t mEpoch = 0;
  std::uint64_t mIncarnation = 0;

  // clang-tidy 14 mistakes the 0 in the generated code for a null pointer.
  // NOLINTBEGIN(modernize-use-nullptr)
  friend std::strong_ordering operator<=>(const member_version&,
                                          const member_version&) = default;
  // NOLINTEND(modernize-use-nullptr)
};

// Status of a member, ordered by precedence: of two digests with the same
// version, the one with the greater status wins.
enum class member_status : std::uint8_t
{
  kAlive,
  kSuspect,
  kRemoved,
};

// State of an instance of the own failure domain, as reported by a peer or by
// itself.
struct member_digest
{
  instance_name mName;
  // Peer address, "ip:port".
  std::string mAddress;
  member_version mVersion;
  member_status mStatus = member_status::kAlive;
  // Whether the instance accepts no new requests but still serves its peers.
  bool mDraining = false;

  friend bool operator==(const member_digest&, const member_digest&) = default;
};

// An endpoint that has reported that it is leaving.
struct leaving_endpoint
{
  endpoint_name mEndpoint;
  // Increased with each new report about the same endpoint.
  std::uint64_t mVersion = 0;
  // Time for which the report remains valid.
  duration mRemaining{};

  friend bool operator==(const leaving_endpoint&,
                         const leaving_endpoint&) = default;
};

enum class gossip_kind : std::uint8_t
{
  // The receiver must answer with an ack.
  kPing,
  kAck,
  // Asks the receiver to ping `mTarget` on the sender's behalf.
  kPingRequest,
  // Delivers recent changes to the receiver; no answer is expected.
  kPush,
};

// One datagram between two instances.
struct gossip_message
{
  gossip_kind mKind = gossip_kind::kPing;
  // Number that matches an ack to its ping: an ack repeats the value of the
  // ping.
  std::uint64_t mExchange = 0;
  domain_name mDomain;
  member_digest mSender;
  // In a ping request, the member to ping; in an ack, the member that is alive.
  instance_name mTarget;
  std::vector<member_digest> mMembers;
  std::uint64_t mConfigurationVersion = 0;
  std::vector<pool_pressure> mPressures;
  std::vector<leaving_endpoint> mLeaving;
  // Time since the platform last confirmed that no later configuration version
  // exists, as far as the sender knows; unset if the message does not say. See
  // config_hint.
  std::optional<duration> mPlatformAge;
  // A report of suspected requests, and the digest of the sender's sightings,
  // see `crash_suspects::Digest`; unset if the message has none.
  std::optional<crash_report> mCrashes = std::nullopt;
  std::optional<std::uint64_t> mCrashDigest = std::nullopt;

  friend bool operator==(const gossip_message&,
                         const gossip_message&) = default;
};

// Hash of a team and its idempotency key.
using claim_key = std::uint64_t;

// The holder of a claimed key: one process of an instance, identified by name
// and epoch because a name may be reused.
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
  // The holder's submission ended and may have run: do not grant the key again
  // within its lifetime.
  kUsed,
  // The holder's submission ended without running: release the grant.
  kRelease,
};

struct claim_request
{
  claim_kind mKind = claim_kind::kClaim;
  claim_key mKey = 0;
  // Hash of the request; the same key with a different hash is refused.
  std::uint64_t mFingerprint = 0;
  claim_holder mHolder;
  // Sequence number of the submission among the holder's submissions with a
  // key. A grant is renewed only for the same number, because a different
  // number from the same process denotes a different submission.
  std::uint64_t mClaim = 0;
  // Number of the round of requests for this claim; incremented each time the
  // claim is requested again from the witnesses.
  std::uint32_t mRound = 0;
  // The witnesses according to the holder's view, highest rank first.
  std::vector<instance_name> mWitnesses;

  friend bool operator==(const claim_request&, const claim_request&) = default;
};

enum class claim_verdict : std::uint8_t
{
  // Another submission holds the key. This is the first enumerator, so that an
  // answer without a verdict reads as a denial.
  kHeld,
  kGranted,
  // A submission with the key ended and may have run.
  kUsed,
  // The key belongs to a request with a different fingerprint.
  kFingerprintMismatch,
  // The witness has a different view of which instances are the witnesses.
  kViewMismatch,
  // The witness cannot store another key.
  kCapacityExceeded,
};

struct claim_answer
{
  claim_key mKey = 0;
  std::uint64_t mClaim = 0;
  std::uint32_t mRound = 0;
  instance_name mWitness;
  claim_verdict mVerdict = claim_verdict::kHeld;
  // Whether the answering instance has been a witness for this key, without
  // losing its memory of keys, for longer than a key can stay alive (see
  // key_witness.h).
  bool mVouches = false;

  friend bool operator==(const claim_answer&, const claim_answer&) = default;
};

// Requests a configuration part or a manifest by the hex SHA-256 of its bytes.
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

// Configuration status of the sender; the receiver answers with its own
// configuration status.
struct config_status_exchange
{
  config_word mStatus;

  friend bool operator==(const config_status_exchange&,
                         const config_status_exchange&) = default;
};

// Asks whether the receiver serves requests to the pool that callers of the
// sender made, who can't be served there.
struct forward_query
{
  pool_name mPool;
  // Version of the configuration by which the sender accepts requests.
  std::uint64_t mConfiguration = 0;

  friend bool operator==(const forward_query&, const forward_query&) = default;
};

struct forward_offer
{
  // Where the instance takes such requests, "ip:port"; empty if it takes none.
  std::string mAddress;
  // Whether it reaches endpoints of the pool, rather than has no evidence.
  bool mInContact = false;
  // Requests in progress at the instance.
  std::uint32_t mInProgress = 0;

  friend bool operator==(const forward_offer&, const forward_offer&) = default;
};

// One frame on a peer TCP connection.
using stream_message = std::variant<claim_request,
                                    claim_answer,
                                    part_request,
                                    part_answer,
                                    config_status_exchange,
                                    forward_query,
                                    forward_offer>;

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_PEER_MESSAGES_H_
