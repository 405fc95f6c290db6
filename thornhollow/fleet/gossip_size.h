// Upper bounds on the encoded size of gossip values, so that the membership
// state machine can fill a datagram without depending on the codec. A codec
// test checks that the bounds hold.
//
//   std::size_t room = kMaxDatagramBytes - MaxHeaderSize(message);
//   if (MaxEntrySize(digest) <= room) { ... }
//
#ifndef THORNHOLLOW_FLEET_GOSSIP_SIZE_H_
#define THORNHOLLOW_FLEET_GOSSIP_SIZE_H_

#include <cstddef>

#include "thornhollow/fleet/peer_messages.h"

namespace thornhollow {

// Maximum bytes that the seal adds to a datagram, excluding the sender's name.
inline constexpr std::size_t kMaxSealOverhead = 48;

// Encoded sizes that the functions below add up: the header of a field with a
// length takes at most 3 bytes, a 64-bit number at most 11 bytes including its
// header, and a small enumerator 2 bytes.
inline std::size_t
MaxEntrySize(const member_digest& aDigest)
{
  return aDigest.mName.Text().size() + aDigest.mAddress.size() + 3 + 3 + 11 +
         11 + 2 + 1 + 1;
}

inline std::size_t
MaxEntrySize(const pool_pressure& aPressure)
{
  return aPressure.mPool.Text().size() + 3 + 2 + 8 + 6 + 1;
}

inline std::size_t
MaxEntrySize(const leaving_endpoint& aLeaving)
{
  return aLeaving.mEndpoint.Text().size() + 3 + 11 + 6 + 1;
}

// Upper bound on the size of the sealed datagram, in bytes, with all lists of
// the message empty.
inline std::size_t
MaxHeaderSize(const gossip_message& aMessage)
{
  const std::size_t seal =
    kMaxSealOverhead + aMessage.mSender.mName.Text().size();
  const std::size_t names =
    aMessage.mDomain.Text().size() + aMessage.mTarget.Text().size() + 6;
  const std::size_t numbers = 2 + 11 + 11 + 11 + 11;
  const std::size_t lists = 9;
  return seal + names + numbers + lists + 2 + MaxEntrySize(aMessage.mSender);
}

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_GOSSIP_SIZE_H_
