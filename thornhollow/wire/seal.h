// Authenticates messages between daemons: a message authentication code over
// each, made with a key that all daemons have in their settings, and a check
// that refuses what was received before.
//
//   sealer seal(key, self, epoch);
//   opener open(key, self);
//   const std::string sealed = seal.Seal(recipient, payload);
//   BOOST_LEAF_AUTO(opened, open.Open(sealed));
//
// The code is HMAC-SHA256 (OpenSSL) cut to 16 bytes, over the recipient's name
// and the envelope of sender, epoch, sequence and payload. It proves origin and
// integrity; it hides nothing.
//
// Guards against replay: a captured datagram sent again would bring back a
// member's old state or an old claim. It shows as a sequence number already
// seen, or an epoch lower than the sender's present one. The window holds
// because a sender never uses a number twice within an epoch and takes a higher
// epoch at each start. A daemon that has just started has no window: what it is
// then sent again is bounded by the versions inside the messages.
#ifndef THORNHOLLOW_WIRE_SEAL_H_
#define THORNHOLLOW_WIRE_SEAL_H_

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/result.h"
#include "thornhollow/fleet/gossip_size.h"

namespace thornhollow {

// Bytes that the seal adds besides the sender's name, at most.
inline constexpr std::size_t kMaxSealBytes = kMaxSealOverhead;
// The shortest key that settings may give.
inline constexpr std::size_t kMinSealKeyBytes = 16;

class sealer
{
public:
  // `aEpoch` must be higher than at the last start under the same name.
  sealer(std::string aKey, instance_name aSelf, std::uint64_t aEpoch);

  // The bytes to send to `aRecipient`. Every call takes the next sequence.
  std::string Seal(const instance_name& aRecipient, std::string_view aPayload);

private:
  std::string mKey;
  instance_name mSelf;
  std::uint64_t mEpoch;
  std::uint64_t mSequence = 0;
};

// A payload whose origin is proved.
struct opened_message
{
  instance_name mSender;
  std::uint64_t mEpoch = 0;
  std::string mPayload;

  friend bool operator==(const opened_message&,
                         const opened_message&) = default;
};

class opener
{
public:
  opener(std::string aKey, instance_name aSelf);

  // Fails with kMalformedRequest where the bytes are no envelope, with
  // kUnauthenticated where the code is wrong or the message is a replay.
  result<opened_message> Open(std::string_view aBytes);

private:
  // Messages of one sender may overtake each other by this many.
  static constexpr std::size_t kWindow = 1024;
  // Senders remembered; letter 1's fleet has 420 daemons.
  static constexpr std::size_t kMaxSenders = 1024;

  struct window
  {
    std::uint64_t mEpoch = 0;
    std::uint64_t mHighest = 0;
    std::bitset<kWindow> mSeen;
    std::uint64_t mLastUse = 0;
  };

  bool IsFresh(const instance_name& aSender,
               std::uint64_t aEpoch,
               std::uint64_t aSequence);
  window& WindowOf(const instance_name& aSender);

  std::string mKey;
  instance_name mSelf;
  std::uint64_t mUses = 0;
  std::unordered_map<instance_name, window> mWindows;
};

} // namespace thornhollow

#endif // THORNHOLLOW_WIRE_SEAL_H_
