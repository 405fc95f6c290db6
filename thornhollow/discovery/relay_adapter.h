// The interface of a platform's adapter: wire names, decoders, and the source
// of routes and endpoints. An adapter only translates; all decisions about the
// data are made by the router.
//
//   relay_adapter adapter = platform::MakeAdapter(io, "10.0.0.7:8223");
//
#ifndef THORNHOLLOW_DISCOVERY_RELAY_ADAPTER_H_
#define THORNHOLLOW_DISCOVERY_RELAY_ADAPTER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "thornhollow/base/result.h"
#include "thornhollow/discovery/endpoint_roster.h"
#include "thornhollow/discovery/item_source.h"
#include "thornhollow/request/relay_headers.h"
#include "thornhollow/routing/routing_document.h"

namespace thornhollow {

struct relay_adapter
{
  relay_names mNames;
  std::unique_ptr<item_source> mSource;
  // Key of the item that holds the configuration, and a prefix that includes
  // it.
  std::string mDocumentPrefix;
  std::string mDocumentKey;
  // The failure domain that an item under `mDocumentPrefix` takes out of
  // service for as long as it is there; nothing for any other item. A failure
  // if the item names no domain.
  std::function<result<std::optional<domain_name>>(std::string_view aKey)>
    mReadOutOfService;
  // Prefix of the endpoints' entries.
  std::string mEndpointPrefix;
  // Path of the load balancer's readiness check.
  std::string mReadinessPath;

  std::function<result<routing_document>(std::string_view aBytes)>
    mReadDocument;
  std::function<result<listed_endpoint>(std::string_view aKey,
                                        std::string_view aBytes)>
    mReadEndpoint;
  // The name of the endpoint whose entry has this key.
  std::function<endpoint_name(std::string_view aKey)> mEndpointName;

  // Path at which endpoints report their state, and the start time that such a
  // report states, in milliseconds; 0 if it states none.
  std::string mStatusPath;
  std::function<result<std::int64_t>(std::string_view aBytes)> mReadStartTime;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DISCOVERY_RELAY_ADAPTER_H_
