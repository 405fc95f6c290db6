// What a platform's adapter provides: names and decoders, and the source of
// routes and endpoints. An adapter only translates; every decision about what
// it hands over is the router's.
//
//   relay_adapter adapter = platform::MakeAdapter(io, "10.0.0.7:8223");
//
#ifndef THORNHOLLOW_DISCOVERY_RELAY_ADAPTER_H_
#define THORNHOLLOW_DISCOVERY_RELAY_ADAPTER_H_

#include <functional>
#include <memory>
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
  // The one item that holds the configuration, and a prefix that it is under.
  std::string mDocumentPrefix;
  std::string mDocumentKey;
  // The items below are the endpoints' entries.
  std::string mEndpointPrefix;
  // Where the balancer asks for readiness.
  std::string mReadinessPath;

  std::function<result<routing_document>(std::string_view aBytes)>
    mReadDocument;
  std::function<result<listed_endpoint>(std::string_view aKey,
                                        std::string_view aBytes)>
    mReadEndpoint;
  // Whose entry stands under this key.
  std::function<endpoint_name(std::string_view aKey)> mEndpointName;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DISCOVERY_RELAY_ADAPTER_H_
