// A whole configuration in the form in which it travels: a manifest and parts,
// each part named by the SHA-256 of its bytes.
//
//   const bundle made = MakeBundle(declared);            // operators' side
//   const auto verdict = ReadBundle(manifest, lookUp);   // each daemon
//
// Because a manifest names its parts by digest, parts of two configurations
// can't be mixed, and a part that is held already need not travel again: a
// change of one team moves one part and the manifest. Items are distributed
// over parts by a stable hash, and a part that grows beyond `kSplitBytes`
// splits alone, so that no change moves more than a few parts.
//
// The same declarations give the same bytes, whatever the order in which
// operators wrote them. The verdict on a bundle follows from its bytes alone.
#ifndef THORNHOLLOW_CONFIG_BUNDLE_H_
#define THORNHOLLOW_CONFIG_BUNDLE_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "thornhollow/config/declarations.h"
#include "thornhollow/config/yaml_reader.h"

namespace thornhollow {

// Key of the manifest at the platform's configuration service.
inline constexpr std::string_view kManifestKey = "thornhollow/manifest";

// Key of the part with this digest.
std::string
PartKey(std::string_view aDigest);

// A part above this many bytes is split in two. With n bytes of items, a change
// moves about 0.7 x kSplitBytes of part and 69 bytes of manifest for each of
// the n / (0.7 x kSplitBytes) parts; at the 1.9 MB of 11,000 teams the sum is
// least at about 16 KiB.
inline constexpr std::size_t kSplitBytes = std::size_t{ 16 } << 10U;
// The most that a reader takes. The platform holds values up to a megabyte.
inline constexpr std::size_t kMaxPartBytes = std::size_t{ 256 } << 10U;
inline constexpr std::size_t kMaxParts = 4096;

struct bundle_part
{
  std::string mDigest;
  std::string mText;

  friend bool operator==(const bundle_part&, const bundle_part&) = default;
};

struct bundle
{
  std::string mManifest;
  std::vector<bundle_part> mParts;

  friend bool operator==(const bundle&, const bundle&) = default;
};

// The bundle of `aDeclared`, which passed its checks.
bundle
MakeBundle(const declarations& aDeclared);

// What a manifest says: the digests of its parts.
struct manifest
{
  std::vector<std::string> mParts;

  friend bool operator==(const manifest&, const manifest&) = default;
};

// A manifest, or at least one fault.
std::variant<manifest, faults>
ReadManifest(const std::string& aText);

// The bytes of the part with a digest, or null where they aren't held. What it
// returns stays valid during the call that it is passed to.
using part_lookup = std::function<const std::string*(std::string_view)>;

// Digests of the parts that `aLookUp` doesn't have, in the manifest's order.
std::vector<std::string>
MissingParts(const manifest& aManifest, const part_lookup& aLookUp);

// The daemon's verdict. A part that is missing, or whose bytes don't have the
// digest by which it is named, is a fault.
read_verdict
ReadBundle(const manifest& aManifest, const part_lookup& aLookUp);

// The verdict on a bundle that is held whole.
read_verdict
ReadBundle(const bundle& aBundle);

} // namespace thornhollow

#endif // THORNHOLLOW_CONFIG_BUNDLE_H_
