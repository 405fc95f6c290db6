#include "thornhollow/config/bundle.h"

#include <algorithm>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <utility>

#include <fmt/format.h>

#include "thornhollow/base/hash.h"
#include "thornhollow/config/internal/canonical_text.h"
#include "thornhollow/config/internal/field_reader.h"
#include "thornhollow/config/sha256.h"

namespace thornhollow {
namespace {

constexpr std::int64_t kFormat = 1;
constexpr std::uint64_t kFirstBit = std::uint64_t{ 1 } << 63U;
constexpr std::size_t kMaxManifestBytes = std::size_t{ 512 } << 10U;
constexpr std::string_view kManifestName = "manifest";

// One item's line, with the hash that decides its part.
struct hashed_line
{
  std::uint64_t mHash = 0;
  std::string mLine;
};

class bundle_writer
{
public:
  template<class item>
  void AddList(std::string_view aList, const std::vector<item>& aItems)
  {
    std::vector<hashed_line> lines;
    lines.reserve(aItems.size());
    for (const item& each : aItems) {
      lines.push_back(
        { Hash64(each.mName.Text()), internal::CanonicalLine(each) });
    }
    std::ranges::sort(lines, [](const auto& aLeft, const auto& aRight) {
      return aLeft.mHash != aRight.mHash ? aLeft.mHash < aRight.mHash
                                         : aLeft.mLine < aRight.mLine;
    });
    if (!lines.empty()) {
      Split(aList, lines, kFirstBit);
    }
  }

  bundle Take()
  {
    mBundle.mManifest = fmt::format("format: {}\nparts:\n", kFormat);
    for (const bundle_part& part : mBundle.mParts) {
      mBundle.mManifest += fmt::format("- \"{}\"\n", part.mDigest);
    }
    return std::move(mBundle);
  }

private:
  // Where each part splits follows from the items alone, so the same items
  // always give the same parts, and an item added or removed changes its own
  // part, or splits or joins it, and leaves the others.
  void Split(std::string_view aList,
             std::span<const hashed_line> aLines,
             std::uint64_t aBit)
  {
    std::size_t bytes = 0;
    for (const hashed_line& each : aLines) {
      bytes += each.mLine.size();
    }
    if (bytes <= kSplitBytes || aBit == 0) {
      Write(aList, aLines);
      return;
    }
    const auto middle =
      std::ranges::partition_point(aLines, [&](const hashed_line& aEach) {
        return (aEach.mHash & aBit) == 0;
      });
    const auto low = static_cast<std::size_t>(middle - aLines.begin());
    for (const auto half : { aLines.first(low), aLines.subspan(low) }) {
      if (!half.empty()) {
        Split(aList, half, aBit >> 1U);
      }
    }
  }

  void Write(std::string_view aList, std::span<const hashed_line> aLines)
  {
    std::string text = fmt::format("{}:\n", aList);
    for (const hashed_line& each : aLines) {
      text += each.mLine;
    }
    std::string digest = Sha256Hex(text);
    mBundle.mParts.push_back({ std::move(digest), std::move(text) });
  }

  bundle mBundle;
};

std::string
PartName(std::string_view aDigest)
{
  return fmt::format("part {}", aDigest);
}

} // namespace

std::string
PartKey(std::string_view aDigest)
{
  return fmt::format("thornhollow/parts/{}", aDigest);
}

bundle
MakeBundle(const declarations& aDeclared)
{
  bundle_writer writer;
  writer.AddList("levels", aDeclared.mLevels);
  writer.AddList("classes", aDeclared.mClasses);
  writer.AddList("models", aDeclared.mModels);
  writer.AddList("services", aDeclared.mServices);
  writer.AddList("endpoints", aDeclared.mEndpoints);
  writer.AddList("teams", aDeclared.mTeams);
  writer.AddList("domains", aDeclared.mDomains);
  return writer.Take();
}

std::variant<manifest, faults>
ReadManifest(const std::string& aText)
{
  const std::string name(kManifestName);
  faults found;
  if (aText.size() > kMaxManifestBytes) {
    return faults{ { name,
                     0,
                     "",
                     fmt::format("{} bytes", aText.size()),
                     fmt::format("at most {} bytes", kMaxManifestBytes) } };
  }
  const auto tree = internal::ParseYaml(name, aText, found);
  if (!tree) {
    return found;
  }
  internal::field_reader fields(*tree, name, "", found);
  fields.Whole("format", { .mLeast = kFormat, .mMost = kFormat });
  manifest read{ fields.Texts("parts", { 1, kMaxParts }) };
  fields.RefuseUnknown();
  if (!std::ranges::all_of(read.mParts, IsSha256Hex)) {
    fields.Refuse("parts", "something else", "SHA-256 digests in hex");
  }
  if (!found.empty()) {
    return found;
  }
  return read;
}

std::vector<std::string>
MissingParts(const manifest& aManifest, const part_lookup& aLookUp)
{
  std::vector<std::string> missing;
  for (const std::string& digest : aManifest.mParts) {
    if (aLookUp(digest) == nullptr) {
      missing.push_back(digest);
    }
  }
  return missing;
}

read_verdict
ReadBundle(const manifest& aManifest, const part_lookup& aLookUp)
{
  faults found;
  std::vector<source_file> files;
  files.reserve(aManifest.mParts.size());
  for (const std::string& digest : aManifest.mParts) {
    const std::string* text = aLookUp(digest);
    if (text == nullptr) {
      AddFault(found,
               { PartName(digest), 0, "", "no such part", "every part" });
    } else if (text->size() > kMaxPartBytes) {
      AddFault(found,
               { PartName(digest),
                 0,
                 "",
                 fmt::format("{} bytes", text->size()),
                 fmt::format("at most {} bytes", kMaxPartBytes) });
    } else if (Sha256Hex(*text) != digest) {
      AddFault(found,
               { PartName(digest),
                 0,
                 "",
                 "other bytes",
                 "the bytes with this digest" });
    } else {
      files.push_back({ PartName(digest), *text });
    }
  }
  if (!found.empty()) {
    return found;
  }
  return ReadDeclarations(files);
}

read_verdict
ReadBundle(const bundle& aBundle)
{
  auto read = ReadManifest(aBundle.mManifest);
  if (auto* found = std::get_if<faults>(&read)) {
    return std::move(*found);
  }
  std::unordered_map<std::string_view, const std::string*> held;
  for (const bundle_part& part : aBundle.mParts) {
    held.emplace(part.mDigest, &part.mText);
  }
  return ReadBundle(std::get<manifest>(read), [&](std::string_view aDigest) {
    const auto at = held.find(aDigest);
    return at == held.end() ? nullptr : at->second;
  });
}

} // namespace thornhollow
