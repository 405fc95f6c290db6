#include "thornhollow/base/request_fingerprint.h"

#include <fmt/format.h>

#include "thornhollow/base/hash.h"

namespace thornhollow {

request_fingerprint
FingerprintOf(const request_content& aContent)
{
  // Each text is hashed by itself, so that none can pass for the end of the one
  // before it.
  std::uint64_t hash = Hash64(aContent.mMethod);
  hash = CombineHash(hash, Hash64(aContent.mTarget));
  hash = CombineHash(hash, Hash64(aContent.mTeam));
  hash = CombineHash(hash, Hash64(aContent.mBody));
  return { hash };
}

std::string
Text(request_fingerprint aFingerprint)
{
  return fmt::format("{:016x}", aFingerprint.mValue);
}

} // namespace thornhollow
