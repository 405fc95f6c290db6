#include "thornhollow/platform/store_client.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <fmt/format.h>
#include <openssl/evp.h>

#include "thornhollow/net/http_fetch.h"
#include "thornhollow/platform/json_fields.h"

namespace thornhollow::platform {
namespace {

constexpr duration kConnectTimeout = Milliseconds(500);
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusGone = 410;
// Maximum size of a response in bytes: room for two pages of one megabyte,
// encoded in base64 and JSON.
constexpr std::size_t kMaxResponseBytes = std::size_t{ 4 } << 20U;

std::optional<std::string>
DecodeBase64(std::string_view aText)
{
  if (aText.size() % 4 != 0) {
    return std::nullopt;
  }
  std::string bytes(aText.size() / 4 * 3, '\0');
  const int length =
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                    reinterpret_cast<const unsigned char*>(aText.data()),
                    static_cast<int>(aText.size()));
  if (length < 0) {
    return std::nullopt;
  }
  // `EVP_DecodeBlock` decodes the padding to zero bytes, which are removed.
  const std::size_t padding = aText.size() - aText.find_last_not_of('=') - 1;
  bytes.resize(static_cast<std::size_t>(length) -
               std::min<std::size_t>(aText.empty() ? 0 : padding, 2));
  return bytes;
}

// A key of another writer may contain characters that end the query or the
// request line.
std::string
EncodeForQuery(std::string_view aText)
{
  constexpr std::string_view kUnescaped = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                          "abcdefghijklmnopqrstuvwxyz"
                                          "0123456789-._~/:";
  std::string encoded;
  for (const char each : aText) {
    if (kUnescaped.find(each) != std::string_view::npos) {
      encoded += each;
    } else {
      encoded += fmt::format("%{:02X}", static_cast<unsigned char>(each));
    }
  }
  return encoded;
}

// An item whose value can't be decoded gets an empty value, so that the parser
// of the item's value sees that the previous value was overwritten.
result<source_item>
ReadItem(const boost::json::object& aItem)
{
  source_item read;
  BOOST_LEAF_ASSIGN(read.mKey, TextField(aItem, "key"));
  BOOST_LEAF_AUTO(value, TextField(aItem, "value"));
  read.mValue = DecodeBase64(value).value_or(std::string());
  BOOST_LEAF_ASSIGN(read.mRevision, CountField(aItem, "revision"));
  return read;
}

result<item_change>
ReadChange(const boost::json::object& aEvent)
{
  BOOST_LEAF_AUTO(deleted, OptionalFlag(aEvent, "is_deleted", false));
  if (!deleted) {
    BOOST_LEAF_AUTO(item, ReadItem(aEvent));
    return item_change{ item.mKey, item.mValue, item.mRevision };
  }
  item_change read;
  BOOST_LEAF_ASSIGN(read.mKey, TextField(aEvent, "key"));
  BOOST_LEAF_ASSIGN(read.mRevision, CountField(aEvent, "revision"));
  return read;
}

// The value of `aRead`, or its error.
template<class value>
std::variant<value, source_failure>
ValueOrFailure(result<value> aRead)
{
  using outcome = std::variant<value, source_failure>;
  return boost::leaf::try_handle_all(
    [&]() -> result<outcome> {
      BOOST_LEAF_AUTO(read, std::move(aRead));
      return outcome(std::move(read));
    },
    [](const failure& aFailure) {
      return outcome(source_failure{ aFailure.mDetail });
    },
    [] { return outcome(source_failure{ "unreadable" }); });
}

source_failure
DescribeFailure(const fetch_outcome& aOutcome)
{
  return { aOutcome ? fmt::format("status {}", aOutcome->mHttpStatus)
                    : "no answer" };
}

// One listing, requested page by page.
class listing_call : public std::enable_shared_from_this<listing_call>
{
public:
  listing_call(boost::asio::io_context& aIo,
               std::string aAddress,
               std::string aPrefix,
               duration aIdleTimeout,
               response_progress aOnBytes,
               std::function<void(list_outcome)> aDone)
    : mIo(aIo)
    , mAddress(std::move(aAddress))
    , mPrefix(std::move(aPrefix))
    , mIdleTimeout(aIdleTimeout)
    , mOnBytes(std::move(aOnBytes))
    , mDone(std::move(aDone))
  {
  }

  void RequestPage(const std::string& aAfter)
  {
    fetch_call call;
    call.mAddress = mAddress;
    call.mTarget = fmt::format("/v1/kv-range?path_prefix={}", mPrefix);
    if (!aAfter.empty()) {
      call.mTarget += fmt::format("&after={}", EncodeForQuery(aAfter));
    }
    call.mTimeout = mIdleTimeout;
    call.mMostPause = mIdleTimeout;
    call.mOnBytes = mOnBytes;
    call.mConnectTimeout = kConnectTimeout;
    call.mMaxBytes = kMaxResponseBytes;
    Fetch(
      mIo, call, [self = shared_from_this()](const fetch_outcome& aOutcome) {
        self->OnPage(aOutcome);
      });
  }

private:
  void OnPage(const fetch_outcome& aOutcome)
  {
    if (!aOutcome || aOutcome->mHttpStatus != kStatusOk) {
      mDone(DescribeFailure(aOutcome));
      return;
    }
    auto read = ValueOrFailure(ReadStorePage(aOutcome->mBody));
    if (const auto* failed = std::get_if<source_failure>(&read)) {
      mDone(*failed);
      return;
    }
    auto& page = std::get<store_page>(read);
    // Pages are not a consistent snapshot, since items may change between two
    // requests. The listing is only complete as of the smallest revision of its
    // pages; the first watch returns all changes after that revision.
    mListing.mRevision =
      mIsFirstPage ? page.mListing.mRevision
                   : std::min(mListing.mRevision, page.mListing.mRevision);
    mIsFirstPage = false;
    std::ranges::move(page.mListing.mItems,
                      std::back_inserter(mListing.mItems));
    if (page.mNextPageAfter.empty()) {
      mDone(std::move(mListing));
    } else {
      RequestPage(page.mNextPageAfter);
    }
  }

  boost::asio::io_context& mIo;
  std::string mAddress;
  std::string mPrefix;
  // Maximum time without any response data.
  duration mIdleTimeout;
  response_progress mOnBytes;
  std::function<void(list_outcome)> mDone;
  source_listing mListing;
  bool mIsFirstPage = true;
};

} // namespace

result<store_page>
ReadStorePage(std::string_view aBytes)
{
  // One key that isn't UTF-8 must not make the other items unreadable.
  BOOST_LEAF_AUTO(fields, ParseObjectReplacingInvalidText(aBytes));
  store_page read;
  BOOST_LEAF_ASSIGN(read.mListing.mRevision, CountField(fields, "at"));
  BOOST_LEAF_AUTO(items, ListField(fields, "entries"));
  for (const boost::json::value& each : *items) {
    if (!each.is_object()) {
      return Fail(error_kind::kMalformedRequest, "entries: expected objects");
    }
    BOOST_LEAF_AUTO(item, ReadItem(each.get_object()));
    read.mListing.mItems.push_back(std::move(item));
  }
  BOOST_LEAF_AUTO(more, OptionalFlag(fields, "has_more", false));
  if (more && !read.mListing.mItems.empty()) {
    read.mNextPageAfter = read.mListing.mItems.back().mKey;
  }
  return read;
}

result<source_changes>
ReadStoreChanges(std::string_view aBytes)
{
  // One key that isn't UTF-8 must not make the other items unreadable.
  BOOST_LEAF_AUTO(fields, ParseObjectReplacingInvalidText(aBytes));
  source_changes read;
  BOOST_LEAF_ASSIGN(read.mRevision, CountField(fields, "at"));
  BOOST_LEAF_AUTO(events, ListField(fields, "events"));
  for (const boost::json::value& each : *events) {
    if (!each.is_object()) {
      return Fail(error_kind::kMalformedRequest, "events: expected objects");
    }
    BOOST_LEAF_AUTO(change, ReadChange(each.get_object()));
    read.mChanges.push_back(std::move(change));
  }
  return read;
}

void
store_client::List(const std::string& aPrefix,
                   duration aIdleTimeout,
                   response_progress aOnBytes,
                   std::function<void(list_outcome)> aDone)
{
  std::make_shared<listing_call>(
    mIo, mAddress, aPrefix, aIdleTimeout, std::move(aOnBytes), std::move(aDone))
    ->RequestPage("");
}

void
store_client::Watch(const std::string& aPrefix,
                    std::uint64_t aAfter,
                    duration aWait,
                    duration aIdleTimeout,
                    response_progress aOnBytes,
                    std::function<void(watch_outcome)> aDone)
{
  fetch_call call;
  call.mAddress = mAddress;
  call.mTarget = fmt::format("/v1/kv-watch?path_prefix={}&after={}&wait_ms={}",
                             aPrefix,
                             aAfter,
                             ToMilliseconds(aWait));
  call.mTimeout = aWait + aIdleTimeout;
  call.mMostPause = aIdleTimeout;
  call.mOnBytes = std::move(aOnBytes);
  call.mConnectTimeout = kConnectTimeout;
  call.mLongPoll = true;
  call.mMaxBytes = kMaxResponseBytes;
  Fetch(mIo, call, [done = std::move(aDone)](const fetch_outcome& aOutcome) {
    if (aOutcome && aOutcome->mHttpStatus == kStatusGone) {
      done(history_gone{});
      return;
    }
    if (!aOutcome || aOutcome->mHttpStatus != kStatusOk) {
      done(DescribeFailure(aOutcome));
      return;
    }
    auto read = ValueOrFailure(ReadStoreChanges(aOutcome->mBody));
    std::visit([&](auto& aRead) { done(std::move(aRead)); }, read);
  });
}

} // namespace thornhollow::platform
