// Files as the operators' command takes and gives them.
#ifndef THORNHOLLOW_TOOLS_FILE_SET_H_
#define THORNHOLLOW_TOOLS_FILE_SET_H_

#include <span>
#include <string>
#include <vector>

#include "thornhollow/base/result.h"
#include "thornhollow/config/bundle.h"
#include "thornhollow/config/source_file.h"

namespace thornhollow {

// Reads each path: a file, or the *.yaml files of a folder in the order of
// their names. Fails with kMalformedRequest and the path where one can't be
// read, or a folder has none.
result<std::vector<source_file>>
ReadFileSet(std::span<const std::string> aPaths);

// Writes one file a key under `aFolder`: thornhollow/manifest and
// thornhollow/parts/DIGEST. Parts that are there already stay; the manifest is
// written last. Fails with kInternal and the path.
result<void>
WriteBundle(const std::string& aFolder, const bundle& aBundle);

} // namespace thornhollow

#endif // THORNHOLLOW_TOOLS_FILE_SET_H_
