// One header field of a request or an answer.
//
//   const std::string_view id = HeaderValue(fields, "X-Request-Id");
//
#ifndef THORNHOLLOW_BASE_HEADER_FIELD_H_
#define THORNHOLLOW_BASE_HEADER_FIELD_H_

#include <algorithm>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace thornhollow {

struct header_field
{
  std::string mName;
  std::string mValue;

  friend bool operator==(const header_field&, const header_field&) = default;
};

// Whether both texts are the same but for the case of their letters.
inline bool
EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight)
{
  const auto lower = [](char aLetter) {
    return aLetter >= 'A' && aLetter <= 'Z' ? static_cast<char>(aLetter + 32)
                                            : aLetter;
  };
  return std::ranges::equal(aLeft, aRight, {}, lower, lower);
}

// The first value of this header, case ignored; empty where absent.
inline std::string_view
HeaderValue(const std::vector<header_field>& aFields, std::string_view aName)
{
  const auto found =
    std::ranges::find_if(aFields, [aName](const header_field& aField) {
      return EqualsIgnoreCase(aField.mName, aName);
    });
  return found == aFields.end() ? std::string_view() : found->mValue;
}

// Whether `aName` is one of `aNames`, but for the case of letters.
inline bool
IsAnyOf(std::string_view aName, std::initializer_list<std::string_view> aNames)
{
  return std::ranges::any_of(aNames, [aName](std::string_view aOther) {
    return EqualsIgnoreCase(aName, aOther);
  });
}

} // namespace thornhollow

#endif // THORNHOLLOW_BASE_HEADER_FIELD_H_
