// A message's header fields as the library holds them: in the project's type,
// and what they say of the body.
//
//   request.mHeaders = ToHeaderFields(parser.get());
//
#ifndef THORNHOLLOW_NET_INTERNAL_HTTP_FIELDS_H_
#define THORNHOLLOW_NET_INTERNAL_HTTP_FIELDS_H_

#include <string>
#include <vector>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/fields.hpp>

#include "thornhollow/base/header_field.h"

namespace thornhollow::net_internal {

// In the order in which they came; a repeated field stands repeatedly.
inline std::vector<header_field>
ToHeaderFields(const boost::beast::http::fields& aFields)
{
  std::vector<header_field> fields;
  for (const auto& each : aFields) {
    fields.push_back(
      { std::string(each.name_string()), std::string(each.value()) });
  }
  return fields;
}

// Whether the body is in another transfer coding than "chunked". It can't be
// read then, and would be taken for one that ends with its connection.
inline bool
HasUnknownCoding(const boost::beast::http::fields& aFields)
{
  const auto name = boost::beast::http::field::transfer_encoding;
  const auto count = aFields.count(name);
  return count > 1 ||
         (count == 1 && !boost::beast::iequals(aFields[name], "chunked"));
}

} // namespace thornhollow::net_internal

#endif // THORNHOLLOW_NET_INTERNAL_HTTP_FIELDS_H_
