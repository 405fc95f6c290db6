// All decoders of bytes that come from outside, under libFuzzer. The input's
// first byte says which one reads the rest.
//
//   cmake --preset fuzz && cmake --build --preset fuzz
//   build-fuzz/bin/decoders_fuzz -max_total_time=600 corpus/
//
// Beside not crashing: an event splitter hands on exactly the bytes that it was
// fed, however they were cut; a peer's message that is read is written and read
// again as the same.

#include <array>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include <boost/leaf/handle_errors.hpp>

#include "thornhollow/net/internal/header_text.h"
#include "thornhollow/platform/document_reader.h"
#include "thornhollow/platform/endpoint_reader.h"
#include "thornhollow/request/event_splitter.h"
#include "thornhollow/wire/relay_codec.h"

namespace thornhollow {
namespace {

void
Require(bool aHolds)
{
  if (!aHolds) {
    std::abort();
  }
}

void
TryDocument(std::string_view aBytes)
{
  boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<void> {
      BOOST_LEAF_CHECK(platform::ReadDocument(aBytes));
      return {};
    },
    [] {});
}

void
TryEndpoint(std::string_view aBytes)
{
  boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<void> {
      BOOST_LEAF_CHECK(platform::ReadEndpoint("servers/i-1", aBytes));
      return {};
    },
    [] {});
}

void
TryHello(std::string_view aBytes)
{
  if (const auto hello = DecodeHello(aBytes)) {
    const std::string again = EncodeHello(*hello);
    const auto same = DecodeHello(again);
    Require(same && EncodeHello(*same) == again);
  }
}

void
TryItems(std::string_view aBytes)
{
  if (const auto asked = DecodeItemsRequest(aBytes)) {
    Require(DecodeItemsRequest(EncodeItemsRequest(*asked)) == asked);
  }
  if (const auto answer = DecodeItemsAnswer(aBytes)) {
    const std::string again = EncodeItemsAnswer(*answer);
    const auto same = DecodeItemsAnswer(again);
    Require(same && EncodeItemsAnswer(*same) == again);
  }
}

void
TryHeaderText(std::string_view aBytes)
{
  net_internal::ScanHeaderText(aBytes);
}

void
TryEvents(std::string_view aBytes)
{
  constexpr std::size_t kMostBytes = 1U << 20U;
  const std::size_t cut = aBytes.empty() ? 0 : aBytes.size() / 3;
  event_splitter pieces(kMostBytes);
  pieces.Feed(aBytes.substr(0, cut));
  std::string read = pieces.TakeWhole();
  pieces.Feed(aBytes.substr(cut));
  read += pieces.TakeAll();
  event_splitter whole(kMostBytes);
  whole.Feed(aBytes);
  Require(whole.TakeAll() == read);
  Require(whole.LastId() == pieces.LastId());
}

} // namespace
} // namespace thornhollow

extern "C" int
// NOLINTNEXTLINE(readability-identifier-naming): the library's own name.
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace thornhollow;
  constexpr std::array kDecoders = { TryDocument, TryEndpoint,   TryHello,
                                     TryItems,    TryHeaderText, TryEvents };
  if (aSize > 0) {
    kDecoders.at(aData[0] % kDecoders.size())(
      { reinterpret_cast<const char*>(aData) + 1, aSize - 1 });
  }
  return 0;
}
