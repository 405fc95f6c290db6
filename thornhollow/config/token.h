// Bearer tokens are kept and compared as digests only, so that neither a
// declaration nor a memory dump gives one away.
//
//   catalog.TeamByTokenDigest(TokenDigest(bearer));
//
#ifndef THORNHOLLOW_CONFIG_TOKEN_H_
#define THORNHOLLOW_CONFIG_TOKEN_H_

#include <string>
#include <string_view>

namespace thornhollow {

// The SHA-256 digest of `aToken` as declarations hold it: 64 lower-case hex
// digits. The token is the text after "Bearer ", without line end.
std::string
TokenDigest(std::string_view aToken);

} // namespace thornhollow

#endif // THORNHOLLOW_CONFIG_TOKEN_H_
