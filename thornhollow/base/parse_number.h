// Reads a number that stands alone in a text.
//
//   const auto milliseconds = ParseNumber<std::uint32_t>("1500");
//
#ifndef THORNHOLLOW_BASE_PARSE_NUMBER_H_
#define THORNHOLLOW_BASE_PARSE_NUMBER_H_

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace thornhollow {

// Empty unless the whole of `aText` is a number in decimal notation that
// `number` can hold. Neither blanks nor a leading plus are allowed.
template<class number>
std::optional<number>
ParseNumber(std::string_view aText)
{
  number value{};
  const char* last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), last, value);
  if (error != std::errc() || end != last || aText.empty()) {
    return std::nullopt;
  }
  return value;
}

} // namespace thornhollow

#endif // THORNHOLLOW_BASE_PARSE_NUMBER_H_
