#include "thornhollow/tools/file_set.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

namespace thornhollow {
namespace {

namespace fs = std::filesystem;

result<std::vector<fs::path>>
Expand(const std::string& aPath)
{
  std::error_code wrong;
  if (!fs::is_directory(aPath, wrong)) {
    return std::vector<fs::path>{ aPath };
  }
  std::vector<fs::path> found;
  for (fs::directory_iterator entry(aPath, wrong), end; !wrong && entry != end;
       entry.increment(wrong)) {
    if (entry->path().extension() == ".yaml") {
      found.push_back(entry->path());
    }
  }
  if (wrong || found.empty()) {
    return Fail(error_kind::kMalformedRequest, aPath + ": no *.yaml files");
  }
  std::ranges::sort(found);
  return found;
}

result<source_file>
ReadFile(const fs::path& aPath)
{
  std::ifstream stream(aPath, std::ios::binary);
  std::ostringstream text;
  // An empty file leaves the target stream failed, so the source is asked.
  if (!stream || (stream.peek(), text << stream.rdbuf(), stream.bad())) {
    return Fail(error_kind::kMalformedRequest,
                aPath.string() + ": can't be read");
  }
  return source_file{ aPath.string(), text.str() };
}

result<void>
WriteFile(const fs::path& aPath, const std::string& aText)
{
  std::error_code wrong;
  fs::create_directories(aPath.parent_path(), wrong);
  std::ofstream stream(aPath, std::ios::binary | std::ios::trunc);
  stream << aText;
  stream.close();
  if (wrong || !stream) {
    return Fail(error_kind::kInternal, aPath.string() + ": can't be written");
  }
  return {};
}

} // namespace

result<std::vector<source_file>>
ReadFileSet(std::span<const std::string> aPaths)
{
  std::vector<source_file> files;
  for (const std::string& path : aPaths) {
    BOOST_LEAF_AUTO(expanded, Expand(path));
    for (const fs::path& each : expanded) {
      BOOST_LEAF_AUTO(file, ReadFile(each));
      files.push_back(std::move(file));
    }
  }
  return files;
}

result<void>
WriteBundle(const std::string& aFolder, const bundle& aBundle)
{
  const fs::path folder(aFolder);
  for (const bundle_part& part : aBundle.mParts) {
    BOOST_LEAF_CHECK(WriteFile(folder / PartKey(part.mDigest), part.mText));
  }
  return WriteFile(folder / kManifestKey, aBundle.mManifest);
}

} // namespace thornhollow
