// The one form in which an item stands in a bundle: a line of YAML with every
// field, defaults included, so that equal items have equal bytes.
#ifndef THORNHOLLOW_CONFIG_INTERNAL_CANONICAL_TEXT_H_
#define THORNHOLLOW_CONFIG_INTERNAL_CANONICAL_TEXT_H_

#include <string>

#include "thornhollow/config/declarations.h"

namespace thornhollow::internal {

// Each ends with a line end. Every text is quoted: names such as "null" mean
// something else in YAML without quotes.
std::string
CanonicalLine(const service_level& aItem);
std::string
CanonicalLine(const request_class& aItem);
std::string
CanonicalLine(const model& aItem);
std::string
CanonicalLine(const plain_service& aItem);
std::string
CanonicalLine(const endpoint& aItem);
std::string
CanonicalLine(const team& aItem);
std::string
CanonicalLine(const failure_domain& aItem);

} // namespace thornhollow::internal

#endif // THORNHOLLOW_CONFIG_INTERNAL_CANONICAL_TEXT_H_
