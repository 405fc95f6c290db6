// Parses the platform's configuration document into the router's own types.
//
//   BOOST_LEAF_AUTO(document, ReadDocument(bytes));
//
#ifndef THORNHOLLOW_PLATFORM_DOCUMENT_READER_H_
#define THORNHOLLOW_PLATFORM_DOCUMENT_READER_H_

#include <optional>
#include <string_view>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/result.h"
#include "thornhollow/routing/routing_document.h"

namespace thornhollow::platform {

// Returns the whole document, or a failure that names the invalid field.
// Unknown fields are ignored.
result<routing_document>
ReadDocument(std::string_view aBytes);

// Returns the failure domain that the item of this key takes out of service,
// nothing if the key is of another kind. Fails if the key names no domain.
result<std::optional<domain_name>>
ReadOutOfService(std::string_view aKey);

} // namespace thornhollow::platform

#endif // THORNHOLLOW_PLATFORM_DOCUMENT_READER_H_
