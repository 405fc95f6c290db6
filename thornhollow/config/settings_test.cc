#include <filesystem>
#include <fstream>
#include <sstream>

#include <doctest/doctest.h>

#include "thornhollow/config/settings.h"

namespace thornhollow {
namespace {

struct settings_fixture
{
  std::string mKey = std::string(2 * kMinPeerKeyBytes, 'a');
  std::string mText = "name: entry-1\n"
                      "domain: hall\n"
                      "caller_address: 127.0.0.1:18001\n"
                      "operator_address: 127.0.0.1:18101\n"
                      "peer_address: 127.0.0.1:18201\n"
                      "platform_address: 127.0.0.1:18501\n";

  settings_verdict Read(const std::string& aMore,
                        const settings_overrides& aOverrides = {}) const
  {
    return ReadSettings({ "daemon.yaml", mText + aMore }, aOverrides);
  }
  faults FaultsOf(const std::string& aMore,
                  const settings_overrides& aOverrides = {}) const
  {
    const auto verdict = Read(aMore, aOverrides);
    REQUIRE(std::holds_alternative<faults>(verdict));
    return std::get<faults>(verdict);
  }
};

TEST_CASE_FIXTURE(settings_fixture, "settings/only needed fields/defaults")
{
  const auto verdict = Read("peer_key: " + mKey + "\n");
  REQUIRE(std::holds_alternative<daemon_settings>(verdict));
  const auto& read = std::get<daemon_settings>(verdict);
  CHECK(read.mLimits == caller_limits{});
  CHECK(read.mTimeouts == stage_timeouts{});
  CHECK(read.mPeerKey == std::string(kMinPeerKeyBytes, '\xaa'));
  CHECK(read.mLogLevel == log_level::kInfo);
}

TEST_CASE_FIXTURE(settings_fixture, "settings/flags given/they go first")
{
  const settings_overrides flags{ .mName = "entry-2",
                                  .mDomain = "",
                                  .mCallerAddress = "10.0.0.1:80",
                                  .mOperatorAddress = "",
                                  .mPeerAddress = "",
                                  .mPlatformAddress = "localhost:1" };
  const faults found = FaultsOf("peer_key: " + mKey + "\n", flags);
  REQUIRE(found.size() == 1);
  CHECK(found[0].mFile == "--platform_address");
  CHECK(found[0].mFound == "\"localhost:1\"");
}

TEST_CASE_FIXTURE(settings_fixture, "settings/times of keys/read and bounded")
{
  const auto verdict = Read("peer_key: " + mKey + "\n" +
                            "idempotency_keys: {lifetime_ms: 6000}\n");
  REQUIRE(std::holds_alternative<daemon_settings>(verdict));
  CHECK(std::get<daemon_settings>(verdict).mKeys ==
        key_times{ .mLifetime = Seconds(6) });
  const faults found = FaultsOf("peer_key: " + mKey + "\n" +
                                "idempotency_keys: {view_lag_ms: 1}\n");
  REQUIRE(found.size() == 1);
  CHECK(found[0].mField == "idempotency_keys.view_lag_ms");
}

TEST_CASE_FIXTURE(settings_fixture, "settings/many faults/all named at once")
{
  const faults found = FaultsOf("limits: {max_body_bytes: 12}\n"
                                "timeouts: {first_byte_ms: soon}\n"
                                "log_level: loud\n"
                                "colour: red\n");
  REQUIRE(found.size() == 5);
  CHECK(found[0].mAllowed == "exactly one of the two");
  CHECK(found[1].mField == "limits.max_body_bytes");
  CHECK(found[1].mLine == 7);
  CHECK(found[2].mField == "timeouts.first_byte_ms");
  CHECK(found[3].mFound == "\"loud\"");
  CHECK(found[4].mFound == "the field \"colour\"");
}

TEST_CASE_FIXTURE(settings_fixture, "peer key/too short/refused, not repeated")
{
  const std::string secret(2 * kMinPeerKeyBytes - 2, 'b');
  const faults found = FaultsOf("peer_key: " + secret + "\n");
  REQUIRE(found.size() == 1);
  CHECK(found[0].mField == "peer_key");
  CHECK(found[0].mFound.find(secret) == std::string::npos);
  CHECK(std::holds_alternative<fault>(ReadPeerKey({ "key", secret })));
  CHECK(std::holds_alternative<fault>(ReadPeerKey({ "key", " \n" })));
  CHECK(std::holds_alternative<std::string>(
    ReadPeerKey({ "key", " " + mKey + "\n" })));
}

TEST_CASE_FIXTURE(settings_fixture, "addresses/two alike/refused")
{
  mText.replace(mText.find("18101"), 5, "18001");
  const faults found = FaultsOf("peer_key_file: key.hex\n");
  REQUIRE(found.size() == 1);
  CHECK(found[0].mField == "operator_address");
}

TEST_CASE_FIXTURE(settings_fixture, "examples/settings/accepted")
{
  std::size_t count = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator("examples/settings")) {
    std::ostringstream text;
    text << std::ifstream(entry.path()).rdbuf();
    const auto verdict = ReadSettings({ entry.path().string(), text.str() });
    if (const auto* found = std::get_if<faults>(&verdict)) {
      FAIL(Text(found->front()));
    }
    ++count;
  }
  CHECK(count == 6);
}

} // namespace
} // namespace thornhollow
