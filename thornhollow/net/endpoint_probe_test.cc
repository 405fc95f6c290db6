#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

#include "thornhollow/net/endpoint_probe.h"

namespace thornhollow {
namespace {

using boost::asio::ip::tcp;

struct probed_listener
{
  boost::asio::io_context mIo;
  tcp::acceptor mAcceptor{
    mIo,
    tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)
  };
  std::string mAddress =
    "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());

  endpoint_probe Probe(const std::string& aAddress)
  {
    std::optional<endpoint_probe> found;
    ProbeEndpoint(mIo, aAddress, Seconds(5), [&](endpoint_probe aProbe) {
      found = std::move(aProbe);
    });
    CHECK(!found);
    mIo.run();
    REQUIRE(found);
    return *found;
  }
};

TEST_CASE_FIXTURE(probed_listener, "endpoint_probe/listening/accepts")
{
  const endpoint_probe probe = Probe(mAddress);
  CHECK(probe.mVerdict == probe_verdict::kAccepts);
  CHECK(probe.mConnection != nullptr);
}

TEST_CASE_FIXTURE(probed_listener, "endpoint_probe/ended/refuses")
{
  mAcceptor.close();
  const endpoint_probe probe = Probe(mAddress);
  CHECK(probe.mVerdict == probe_verdict::kRefuses);
  CHECK(probe.mConnection == nullptr);
}

TEST_CASE_FIXTURE(probed_listener, "endpoint_probe/unreadable_address/unknown")
{
  CHECK(Probe("nowhere").mVerdict == probe_verdict::kUnknown);
}

} // namespace
} // namespace thornhollow
