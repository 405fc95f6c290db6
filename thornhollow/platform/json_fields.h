// Reads typed fields of a JSON object. A missing field or one of another type
// is a failure that names the field.
//
//   BOOST_LEAF_AUTO(name, TextField(object, "name"));
//
#ifndef THORNHOLLOW_PLATFORM_JSON_FIELDS_H_
#define THORNHOLLOW_PLATFORM_JSON_FIELDS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>

#include "thornhollow/base/result.h"
#include "thornhollow/base/time.h"

namespace thornhollow::platform {

// Parses `aText` as an object of at most `kMaxDepth` nested levels.
result<boost::json::object>
ParseObject(std::string_view aText);

// The same, but text that can't be decoded doesn't refuse the object: invalid
// UTF-8 and halves of surrogate pairs become U+FFFD.
result<boost::json::object>
ParseObjectReplacingInvalidText(std::string_view aText);

result<std::string>
TextField(const boost::json::object& aObject, std::string_view aName);

// Returns a field that holds a non-negative integer.
result<std::uint64_t>
CountField(const boost::json::object& aObject, std::string_view aName);

// Returns a field that holds a number of milliseconds, possibly fractional, of
// at most one day.
result<duration>
MillisecondsField(const boost::json::object& aObject, std::string_view aName);

result<const boost::json::array*>
ListField(const boost::json::object& aObject, std::string_view aName);

// Returns a field that holds a non-negative integer, or `aDefault` if the field
// is absent or null.
result<std::uint64_t>
OptionalCount(const boost::json::object& aObject,
              std::string_view aName,
              std::uint64_t aDefault);
// Returns a field that holds a number from 0 to a million, or `aDefault`.
result<double>
OptionalNumber(const boost::json::object& aObject,
               std::string_view aName,
               double aDefault);
result<bool>
OptionalFlag(const boost::json::object& aObject,
             std::string_view aName,
             bool aDefault);
result<duration>
OptionalMilliseconds(const boost::json::object& aObject,
                     std::string_view aName,
                     duration aDefault);

// Returns `aCount`, or the maximum of `std::uint32_t` if `aCount` is larger.
std::uint32_t
ClampToUint32(std::uint64_t aCount);

// Whether the field is present and not null.
bool
HasField(const boost::json::object& aObject, std::string_view aName);

} // namespace thornhollow::platform

#endif // THORNHOLLOW_PLATFORM_JSON_FIELDS_H_
