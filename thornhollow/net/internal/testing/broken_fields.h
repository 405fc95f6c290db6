// Lines that an endpoint in trouble may put into the head of an answer, and
// that are no fields; for tests.
//
//   for (const std::string& line : BrokenFieldLines()) { ... }
//
#ifndef THORNHOLLOW_NET_INTERNAL_TESTING_BROKEN_FIELDS_H_
#define THORNHOLLOW_NET_INTERNAL_TESTING_BROKEN_FIELDS_H_

#include <string>
#include <vector>

namespace thornhollow::net_internal {

// Each with its line's end.
inline std::vector<std::string>
BrokenFieldLines()
{
  std::vector<std::string> lines = { " Content-Length: 1\r\n",
                                     "\tContent-Length: 1\r\n",
                                     "  : b\r\n",
                                     " \r\n",
                                     "X-Odd A: b\r\n",
                                     "X-Odd : b\r\n",
                                     "X-Odd\t: b\r\n",
                                     ": b\r\n",
                                     "X-Odd\r\n" };
  for (int code = 0; code < 32; ++code) {
    const char control = static_cast<char>(code);
    for (const std::string& name : { control + std::string("Odd"),
                                     std::string("X-") + control + "Odd" }) {
      lines.push_back(name + ": b\r\n");
    }
  }
  lines.emplace_back("X-\x7fOdd: b\r\n");
  return lines;
}

} // namespace thornhollow::net_internal

#endif // THORNHOLLOW_NET_INTERNAL_TESTING_BROKEN_FIELDS_H_
