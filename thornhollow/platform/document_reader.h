// Parses the platform's configuration document into the router's own types.
//
//   BOOST_LEAF_AUTO(document, ReadDocument(bytes));
//
#ifndef THORNHOLLOW_PLATFORM_DOCUMENT_READER_H_
#define THORNHOLLOW_PLATFORM_DOCUMENT_READER_H_

#include <string_view>

#include "thornhollow/base/result.h"
#include "thornhollow/routing/routing_document.h"

namespace thornhollow::platform {

// Returns the whole document, or a failure that names the invalid field.
// Unknown fields are ignored.
result<routing_document>
ReadDocument(std::string_view aBytes);

} // namespace thornhollow::platform

#endif // THORNHOLLOW_PLATFORM_DOCUMENT_READER_H_
