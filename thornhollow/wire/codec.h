// Turns messages between daemons into bytes and back, in Thrift's compact
// protocol (thornhollow.thrift).
//
//   BOOST_LEAF_AUTO(bytes, EncodeGossip(message));
//   BOOST_LEAF_AUTO(again, DecodeGossip(bytes));
//
// Decoding takes any bytes: what is no message, or breaks a bound of
// fleet/peer_messages.h, is refused with kMalformedRequest, and no more memory
// is taken than the bounds allow. Unknown fields are skipped and absent ones
// keep their defaults, so a newer or older release is understood. An entry of a
// list whose enumerator is unknown is left out; a message whose own kind is
// unknown is refused.
#ifndef THORNHOLLOW_WIRE_CODEC_H_
#define THORNHOLLOW_WIRE_CODEC_H_

#include <string>
#include <string_view>

#include "thornhollow/base/result.h"
#include "thornhollow/fleet/peer_messages.h"

namespace thornhollow {

// Never fails; the caller keeps the message within the datagram's size.
std::string
EncodeGossip(const gossip_message& aMessage);

result<gossip_message>
DecodeGossip(std::string_view aBytes);

std::string
EncodeStream(const stream_message& aMessage);

result<stream_message>
DecodeStream(std::string_view aBytes);

} // namespace thornhollow

#endif // THORNHOLLOW_WIRE_CODEC_H_
