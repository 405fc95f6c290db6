// Reads operators' YAML into declarations. Several files form one set: each may
// hold any of the lists, and a name may stand in only one of them. Every fault
// is reported at once; a set with any fault yields no declarations.
//
//   const auto verdict = ReadDeclarations(files);
//   if (const auto* refused = std::get_if<faults>(&verdict)) { ... }
//
// The verdict follows from the bytes alone, never from time, history or the
// process that asks, so that every instance gives the same one.
#ifndef THORNHOLLOW_CONFIG_YAML_READER_H_
#define THORNHOLLOW_CONFIG_YAML_READER_H_

#include <cstddef>
#include <span>
#include <variant>

#include "thornhollow/config/declarations.h"
#include "thornhollow/config/fault.h"
#include "thornhollow/config/source_file.h"

namespace thornhollow {

// Bytes of one file, and of all files of a set. 11,000 teams take about 2.5 MB
// in the longest form that operators write.
inline constexpr std::size_t kMaxFileBytes = std::size_t{ 4 } << 20U;
inline constexpr std::size_t kMaxSetBytes = std::size_t{ 8 } << 20U;

// Declarations, or at least one fault.
using read_verdict = std::variant<declarations, faults>;

read_verdict
ReadDeclarations(std::span<const source_file> aFiles);

} // namespace thornhollow

#endif // THORNHOLLOW_CONFIG_YAML_READER_H_
