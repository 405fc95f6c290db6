// Reads a JSON object strictly into a struct, field by field. Includes
// Boost.JSON: for source files only.
//
//   const json_fields<my_mode> kFields{ { "down", Field(&my_mode::mDown) } };
//   result<my_mode> mode = ReadFields(kFields, text);
#ifndef THORNHOLLOW_TESTING_JSON_FIELDS_H_
#define THORNHOLLOW_TESTING_JSON_FIELDS_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>

#include "thornhollow/base/result.h"

namespace thornhollow::testing {

// Sets one field from a value; false where the value has the wrong type.
template<class object>
using json_setter = std::function<bool(object&, const boost::json::value&)>;

template<class object>
using json_fields = std::map<std::string_view, json_setter<object>>;

template<class object, class type>
json_setter<object>
Field(type object::*aMember)
{
  return [aMember](object& aObject, const boost::json::value& aValue) {
    const auto read = boost::json::try_value_to<type>(aValue);
    if (read) {
      aObject.*aMember = *read;
    }
    return read.has_value();
  };
}

template<class object, class type>
json_setter<object>
Field(std::optional<type> object::*aMember)
{
  return [aMember](object& aObject, const boost::json::value& aValue) {
    const auto read = boost::json::try_value_to<type>(aValue);
    if (read) {
      aObject.*aMember = *read;
    }
    return read.has_value();
  };
}

// Fails with kMalformedRequest on anything but an object of known fields.
template<class object>
result<object>
ReadFields(const json_fields<object>& aFields, std::string_view aJson)
{
  boost::json::error_code error;
  const boost::json::value parsed =
    boost::json::parse({ aJson.data(), aJson.size() }, error);
  if (error || !parsed.is_object()) {
    return Fail(error_kind::kMalformedRequest, "not a JSON object");
  }
  object read;
  for (const auto& [name, value] : parsed.get_object()) {
    const auto field = aFields.find({ name.data(), name.size() });
    if (field == aFields.end() || !field->second(read, value)) {
      return Fail(error_kind::kMalformedRequest,
                  "unknown or wrong field: " + std::string(name));
    }
  }
  return read;
}

} // namespace thornhollow::testing

#endif // THORNHOLLOW_TESTING_JSON_FIELDS_H_
