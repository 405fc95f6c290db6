// Names one state of the configuration and orders states.
//
//   if (heard > inForce) { ... fetch it ... }
//
#ifndef THORNHOLLOW_CONFIG_REVISION_H_
#define THORNHOLLOW_CONFIG_REVISION_H_

#include <compare>
#include <cstdint>
#include <string>

namespace thornhollow {

// Ordered by the platform's version first. The digest decides only between two
// manifests of one version, which a platform that was restored from a backup
// can give: without it, instances that saw either one would differ for good.
struct revision
{
  // The platform's version of the manifest.
  std::uint64_t mVersion = 0;
  // SHA-256 of the manifest's bytes, in hex.
  std::string mDigest;

  friend bool operator==(const revision&, const revision&) = default;
  // clang-tidy 14 takes the 0 in the generated code for a null pointer.
  // NOLINTBEGIN(modernize-use-nullptr)
  friend std::strong_ordering operator<=>(const revision&,
                                          const revision&) = default;
  // NOLINTEND(modernize-use-nullptr)
};

} // namespace thornhollow

#endif // THORNHOLLOW_CONFIG_REVISION_H_
