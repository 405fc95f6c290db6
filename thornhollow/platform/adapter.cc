#include "thornhollow/platform/adapter.h"

#include "thornhollow/platform/document_reader.h"
#include "thornhollow/platform/endpoint_reader.h"
#include "thornhollow/platform/store_client.h"
#include "thornhollow/platform/wire_names.h"

namespace thornhollow::platform {

relay_adapter
MakeAdapter(boost::asio::io_context& aIo, const std::string& aStoreAddress)
{
  relay_adapter adapter;
  adapter.mNames = PlatformRelayNames();
  adapter.mSource = std::make_unique<store_client>(aIo, aStoreAddress);
  adapter.mDocumentPrefix = kConfigurationPrefix;
  adapter.mDocumentKey = kConfigurationKey;
  adapter.mReadOutOfService = ReadOutOfService;
  adapter.mEndpointPrefix = kEndpointPrefix;
  adapter.mReadinessPath = kReadinessPath;
  adapter.mReadDocument = ReadDocument;
  adapter.mReadEndpoint = ReadEndpoint;
  adapter.mEndpointName = EndpointName;
  adapter.mStatusPath = kStatusPath;
  adapter.mReadStartTime = ReadStartTime;
  return adapter;
}

} // namespace thornhollow::platform
