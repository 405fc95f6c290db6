// The platform's store as an item source: lists and watches items over HTTP.
//
//   store_client store(io, "10.200.1.7:8223");
//   store.Watch("servers/", 412, wait, idleTimeout, onBytes,
//               [](watch_outcome aOutcome) { ... });
//
#ifndef THORNHOLLOW_PLATFORM_STORE_CLIENT_H_
#define THORNHOLLOW_PLATFORM_STORE_CLIENT_H_

#include <string>
#include <string_view>

#include "thornhollow/base/result.h"
#include "thornhollow/discovery/item_source.h"

namespace boost::asio {
class io_context;
}

namespace thornhollow::platform {

// One page of a listing.
struct store_page
{
  source_listing mListing;
  // The next page begins after this key; empty on the last page.
  std::string mNextPageAfter;

  friend bool operator==(const store_page&, const store_page&) = default;
};

result<store_page>
ReadStorePage(std::string_view aBytes);

result<source_changes>
ReadStoreChanges(std::string_view aBytes);

class store_client final : public item_source
{
public:
  // `aIo` must outlive the client and its pending calls.
  store_client(boost::asio::io_context& aIo, std::string aAddress)
    : mIo(aIo)
    , mAddress(std::move(aAddress))
  {
  }

  void List(const std::string& aPrefix,
            duration aIdleTimeout,
            response_progress aOnBytes,
            std::function<void(list_outcome)> aDone) override;
  void Watch(const std::string& aPrefix,
             std::uint64_t aAfter,
             duration aWait,
             duration aIdleTimeout,
             response_progress aOnBytes,
             std::function<void(watch_outcome)> aDone) override;

private:
  boost::asio::io_context& mIo;
  std::string mAddress;
};

} // namespace thornhollow::platform

#endif // THORNHOLLOW_PLATFORM_STORE_CLIENT_H_
