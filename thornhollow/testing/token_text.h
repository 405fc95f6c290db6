// What the engine stand-in answers: a pure function of the request's
// identifier, so that any engine goes on with a stream at any offset, and a
// reader tells another request's token from its own.
//
//   TokenText(id, 0) + TokenText(id, 1) + ...  // the whole answer
//
#ifndef THORNHOLLOW_TESTING_TOKEN_TEXT_H_
#define THORNHOLLOW_TESTING_TOKEN_TEXT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace thornhollow::testing {

// The token at `aIndex` (from 0) of the answer to `aRequest`; ends in a space.
std::string
TokenText(std::string_view aRequest, std::uint32_t aIndex);

// Tokens that the answer to `aRequest` would have if nothing limited it: drawn
// from an exponential of this mean, at least 1.
std::uint32_t
DrawnLength(std::string_view aRequest, std::uint32_t aMean);

} // namespace thornhollow::testing

#endif // THORNHOLLOW_TESTING_TOKEN_TEXT_H_
