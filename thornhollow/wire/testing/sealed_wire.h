// For tests and measurements: passes the datagrams of a fake network through
// the codec and the seal, as daemons do, and counts them.
//
//   sealed_wire wire;
//   network.mIntercept = [&](const auto& aFrom, const auto& aDatagram) {
//     return wire.Carry(aFrom, aDatagram);
//   };
#ifndef THORNHOLLOW_WIRE_TESTING_SEALED_WIRE_H_
#define THORNHOLLOW_WIRE_TESTING_SEALED_WIRE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "thornhollow/fleet/membership.h"
#include "thornhollow/wire/codec.h"
#include "thornhollow/wire/seal.h"

namespace thornhollow {

// The codec and the seal between the nodes of a fake network; counts bytes.
class sealed_wire
{
public:
  std::optional<gossip_message> Carry(const instance_name& aFrom,
                                      const send_datagram& aDatagram)
  {
    auto& seal = mSealers.try_emplace(aFrom, mKey, aFrom, 1).first->second;
    auto& open =
      mOpeners.try_emplace(aDatagram.mTo, mKey, aDatagram.mTo).first->second;
    gossip_message message = aDatagram.mMessage;
    message.mPlatformAge = Milliseconds(500);
    const std::string bytes = seal.Seal(aDatagram.mTo, EncodeGossip(message));
    ++mDatagrams;
    mBytes += bytes.size();
    mLargest = std::max(mLargest, bytes.size());
    const auto opened = open.Open(bytes);
    if (!opened) {
      return std::nullopt;
    }
    const auto read = DecodeGossip(opened->mPayload);
    return read ? std::optional(*read) : std::nullopt;
  }

  std::uint64_t mDatagrams = 0;
  std::uint64_t mBytes = 0;
  std::size_t mLargest = 0;

private:
  std::string mKey = "a key for measurements only";
  std::map<instance_name, sealer> mSealers;
  std::map<instance_name, opener> mOpeners;
};

} // namespace thornhollow

#endif // THORNHOLLOW_WIRE_TESTING_SEALED_WIRE_H_
