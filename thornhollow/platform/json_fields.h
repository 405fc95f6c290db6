// Reads typed fields of a JSON object; a missing field or another type is a
// failure that names the field.
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

// The object in `aText`, of at most `kMaxDepth` levels.
result<boost::json::object>
ParseObject(std::string_view aText);

result<std::string>
TextField(const boost::json::object& aObject, std::string_view aName);

// A whole number that isn't negative.
result<std::uint64_t>
CountField(const boost::json::object& aObject, std::string_view aName);

// Milliseconds, fractions allowed, up to a day.
result<duration>
MillisecondsField(const boost::json::object& aObject, std::string_view aName);

result<const boost::json::array*>
ListField(const boost::json::object& aObject, std::string_view aName);

// `aDefault` where the field is absent or null.
result<std::uint64_t>
OptionalCount(const boost::json::object& aObject,
              std::string_view aName,
              std::uint64_t aDefault);
result<bool>
OptionalFlag(const boost::json::object& aObject,
             std::string_view aName,
             bool aDefault);
result<duration>
OptionalMilliseconds(const boost::json::object& aObject,
                     std::string_view aName,
                     duration aDefault);

// The count, or the largest that fits where it is larger.
std::uint32_t
ClampToUint32(std::uint64_t aCount);

// Whether the field is there and not null.
bool
HasField(const boost::json::object& aObject, std::string_view aName);

} // namespace thornhollow::platform

#endif // THORNHOLLOW_PLATFORM_JSON_FIELDS_H_
