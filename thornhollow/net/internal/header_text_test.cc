#include <random>
#include <string>

#include <doctest/doctest.h>

#include "thornhollow/net/internal/header_text.h"

namespace thornhollow::net_internal {
namespace {

TEST_CASE("header_text/whole_header/is_whole_with_any_body")
{
  CHECK(ScanHeaderText("GET / HTTP/1.1\r\nHost: a\r\n\r\n") ==
        header_text::kWhole);
  CHECK(ScanHeaderText("GET / HTTP/1.1\r\nHost: a\r\n\r\n\n \nx") ==
        header_text::kWhole);
}

TEST_CASE("header_text/cut_anywhere/needs_more")
{
  const std::string whole = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  for (std::size_t length = 0; length < whole.size(); ++length) {
    CHECK(ScanHeaderText(std::string_view(whole).substr(0, length)) ==
          header_text::kIncomplete);
  }
}

TEST_CASE("header_text/what_parsers_read_differently/is_refused")
{
  // An endpoint runs a request that no caller sent: it stood in a folded line
  // or after a bare line feed, which router and endpoint read differently.
  for (const char* text : { "GET / HTTP/1.1\nHost: a\n\n",
                            "GET / HTTP/1.1\r\nA: b\n\r\n",
                            "GET / HTTP/1.1\r\nA: b\r\n folded\r\n\r\n",
                            "GET / HTTP/1.1\r\nA: b\r\n\tfolded\r\n\r\n",
                            "GET / HTTP/1.1\r\nA: b\rC: d\r\n\r\n",
                            "\r\nGET / HTTP/1.1\r\n\r\n" }) {
    CHECK(ScanHeaderText(text) == header_text::kAmbiguous);
  }
  const std::string withNul("GET / HTTP/1.1\r\nA: \0\r\n\r\n", 24);
  CHECK(ScanHeaderText(withNul) == header_text::kAmbiguous);
}

// Guards against a header that comes byte by byte and keeps the process busy.
TEST_CASE("header_text/byte_by_byte/each_is_looked_at_once")
{
  const std::string whole =
    "GET / HTTP/1.1\r\nA: " + std::string(16'000, 'a') + "\r\nB: c\r\n\r\n";
  header_scanner scanner;
  for (std::size_t length = 1; length < whole.size(); ++length) {
    REQUIRE(scanner.Scan(std::string_view(whole).substr(0, length)) ==
            header_text::kIncomplete);
  }
  CHECK(scanner.Scan(whole) == header_text::kWhole);
  CHECK(scanner.Looked() == whole.size());
  CHECK(scanner.Lines() == 4);
}

} // namespace
} // namespace thornhollow::net_internal
