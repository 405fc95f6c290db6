// Turns messages between relaying instances into bytes and back, in Thrift's
// compact protocol (thornhollow.thrift).
//
//   const std::string bytes = EncodeHello(hello);
//   if (const auto again = DecodeHello(bytes)) { ... }
//
// Decoding takes any bytes: what is no message is nothing, and no more memory
// is taken than the bytes are long, or than packed ones can stand for.
#ifndef THORNHOLLOW_WIRE_RELAY_CODEC_H_
#define THORNHOLLOW_WIRE_RELAY_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "thornhollow/base/time.h"
#include "thornhollow/discovery/item_mirror.h"
#include "thornhollow/fleet/copy_requests.h"
#include "thornhollow/fleet/relay_peers.h"

namespace thornhollow {

// Asks for a copy, if it is later than revision `mAfter`.
struct items_request
{
  copied_items mWhich = copied_items::kConfiguration;
  std::uint64_t mAfter = 0;
  // `packed_items` are understood.
  bool mTakesPacked = true;

  friend bool operator==(const items_request&, const items_request&) = default;
};

// The copy as of revision `mAt`, or what changed up to it after the revision
// that was asked with. Nothing where the copy isn't later.
struct items_answer
{
  copied_items mWhich = copied_items::kConfiguration;
  std::uint64_t mAt = 0;
  bool mChangesOnly = false;
  // None of them is a removal where this is the whole copy.
  std::vector<item_change> mItems;
  // How long ago the source came back from an outage in which leases may have
  // lapsed; nothing: no such outage is known.
  std::optional<duration> mSourceBackFor = std::nullopt;

  friend bool operator==(const items_answer&, const items_answer&) = default;
};

// Of packed items before they were, at the most: a few of the largest
// configurations that a source holds.
inline constexpr std::size_t kMostUnpackedBytes = std::size_t{ 4 } << 20U;

std::string
EncodeHello(const relay_hello& aHello);
std::optional<relay_hello>
DecodeHello(std::string_view aBytes);

std::string
EncodeItemsRequest(const items_request& aRequest);
std::optional<items_request>
DecodeItemsRequest(std::string_view aBytes);

// The items of an answer, compressed: made once for all who ask.
struct packed_items
{
  std::string mBytes;
  // Of the items before.
  std::size_t mUnpackedBytes = 0;

  friend bool operator==(const packed_items&, const packed_items&) = default;
};

packed_items
PackItems(const std::vector<item_change>& aItems);

std::string
EncodeItemsAnswer(const items_answer& aAnswer);
// `aItems` in place of the answer's own.
std::string
EncodeItemsAnswer(const items_answer& aAnswer, const packed_items& aItems);
// Items of up to `kMostUnpackedBytes` together.
std::optional<items_answer>
DecodeItemsAnswer(std::string_view aBytes);

} // namespace thornhollow

#endif // THORNHOLLOW_WIRE_RELAY_CODEC_H_
