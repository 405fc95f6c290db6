#include "thornhollow/net/endpoint_probe.h"

#include <utility>

#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include "thornhollow/net/address.h"
#include "thornhollow/net/clock.h"

namespace thornhollow {
namespace {

using boost::system::error_code;

probe_verdict
VerdictOf(const error_code& aError)
{
  if (!aError) {
    return probe_verdict::kAccepts;
  }
  return aError == boost::asio::error::connection_refused
           ? probe_verdict::kRefuses
           : probe_verdict::kUnknown;
}

} // namespace

void
ProbeEndpoint(boost::asio::io_context& aIo,
              const std::string& aAddress,
              duration aTimeout,
              std::function<void(endpoint_probe)> aDone)
{
  const auto address = ParseAddress(aAddress);
  if (!address) {
    boost::asio::post(aIo,
                      [done = std::move(aDone)] { done(endpoint_probe{}); });
    return;
  }
  endpoint_connection_ptr connection(new endpoint_connection(aIo));
  auto& stream = connection->mStream;
  stream.expires_after(aTimeout);
  stream.async_connect(
    boost::asio::ip::tcp::endpoint(
      boost::asio::ip::make_address(address->mHost), address->mPort),
    [connection, done = std::move(aDone)](const error_code& aError) {
      connection->mStream.expires_never();
      connection->mMadeAt = Now();
      const probe_verdict verdict = VerdictOf(aError);
      done({ verdict,
             verdict == probe_verdict::kAccepts ? connection
                                                : endpoint_connection_ptr() });
    });
}

} // namespace thornhollow
