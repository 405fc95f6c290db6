#include <array>
#include <cstdint>
#include <random>
#include <string>

#include <doctest/doctest.h>

extern "C" int
// NOLINTNEXTLINE(readability-identifier-naming): the library's own name.
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize);

namespace thornhollow {
namespace {

int
Decode(const std::string& aInput)
{
  return LLVMFuzzerTestOneInput(
    reinterpret_cast<const std::uint8_t*>(aInput.data()), aInput.size());
}

// Inputs that some decoder reads, each behind its decoder's number.
const std::array<std::string, 4> kSound = {
  std::string(1, '\0') +
    R"({"version":7,"routes":[{"name":"p","host":"a.example",)"
    R"("path_prefix":"/p/","kind":"streaming","timeout_ms":20000,)"
    R"("target_latency_ms":5000,"priority":1,"service":"engines",)"
    R"("max_attempts":2}],"services":[{"name":"engines"}],"limits":{}})",
  "\1"
  R"({"service":"engines","address":"10.0.0.1:80","zone":"hall",)"
  R"("version":"v1","slots":8,"state":"ready","sequence_number":1})",
  "\4GET / HTTP/1.1\r\nHost: a\r\nX: y\r\n\r\n",
  "\5id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
};

// Bytes of other writers and of broken peers end the process, or are taken for
// something that they aren't.
TEST_CASE("decoders/damaged input/neither crash nor disagreement")
{
  for (std::uint64_t seed = 1; seed <= 4'000; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    std::string input = kSound.at(random() % kSound.size());
    for (std::uint64_t change = random() % 4; change > 0; --change) {
      const std::size_t at = 1 + random() % (input.size() - 1);
      input[at] = static_cast<char>(random());
    }
    input.resize(1 + random() % input.size());
    CHECK(Decode(input) == 0);
  }
}

TEST_CASE("decoders/any bytes/neither crash nor disagreement")
{
  for (std::uint64_t seed = 1; seed <= 4'000; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    std::string input(1 + random() % 200, ' ');
    for (char& each : input) {
      each = static_cast<char>(random());
    }
    CHECK(Decode(input) == 0);
  }
}

} // namespace
} // namespace thornhollow
