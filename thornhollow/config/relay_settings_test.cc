#include <string>
#include <variant>

#include <doctest/doctest.h>

#include "thornhollow/config/relay_settings.h"

namespace thornhollow {
namespace {

// All fields that are needed, then `aMore`.
relay_settings_verdict
Read(const std::string& aMore)
{
  return ReadRelaySettings({ "relay.yaml",
                             "name: a-1\n"
                             "domain: hall\n"
                             "caller_address: 127.0.0.1:8000\n"
                             "readiness_address: 127.0.0.1:8001\n"
                             "operator_address: 127.0.0.1:8002\n"
                             "peer_address: 127.0.0.1:8003\n"
                             "peer_seeds: [127.0.0.1:8013]\n"
                             "source_address: 127.0.0.1:8004\n" +
                               aMore });
}

std::size_t
Faults(const std::string& aMore)
{
  const auto verdict = Read(aMore);
  const auto* refused = std::get_if<faults>(&verdict);
  return refused == nullptr ? 0 : refused->size();
}

TEST_CASE("relay_settings/needed_fields_alone/take_defaults")
{
  const auto verdict = Read("");
  const auto* result = std::get_if<relay_settings>(&verdict);
  REQUIRE(result != nullptr);
  CHECK(result->mEngines == engine_settings{});
  CHECK(result->mRetries == shared_retry_settings{});
  CHECK(result->mSourceReaders == 2);
  CHECK(result->mLinkMegabits == doctest::Approx(20));
  CHECK(result->mMemoryMegabytes == 1'024);
  CHECK(result->mFileDescriptors == 0);
}

TEST_CASE("relay_settings/engines/are_read_into_their_fields")
{
  const auto verdict = Read("engines:\n"
                            "  miss_penalty: 3\n"
                            "  copy_from_tokens: 0\n"
                            "  placement: hash\n"
                            "  admission: false\n");
  const auto* result = std::get_if<relay_settings>(&verdict);
  REQUIRE(result != nullptr);
  CHECK(result->mEngines.mMissPenalty == doctest::Approx(3));
  CHECK(result->mEngines.mCopyFromTokens == 0);
  CHECK(result->mEngines.mPlacement == engine_placement::kHash);
  CHECK_FALSE(result->mEngines.mAdmission);
}

TEST_CASE("relay_settings/each_fault/is_told")
{
  CHECK(Faults("engines: {placement: random}\n") == 1);
  CHECK(Faults("engines: {admission: often}\n") == 1);
  CHECK(Faults("engines: {miss_penalty: -1}\n") == 1);
  CHECK(Faults("engines: {unknown: 1}\n") == 1);
  CHECK(Faults("source_readers: -1\ndrain_grace_s: 0\n") == 2);
  CHECK(Faults("link_megabits: 0\n") == 1);
  CHECK(Faults("memory_mb: 63\n") == 1);
}

} // namespace
} // namespace thornhollow
