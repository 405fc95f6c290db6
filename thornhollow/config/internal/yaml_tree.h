// A YAML document as a small tree that knows each node's line. yaml-cpp scans;
// depth, size and the features that declarations don't need (anchors, aliases,
// tags, several documents) are refused while it does.
#ifndef THORNHOLLOW_CONFIG_INTERNAL_YAML_TREE_H_
#define THORNHOLLOW_CONFIG_INTERNAL_YAML_TREE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "thornhollow/config/fault.h"

namespace thornhollow::internal {

// Levels of nesting in a document. Declarations need five.
inline constexpr std::size_t kMaxYamlDepth = 16;
// Nodes in a document: 11,000 teams in one file take about 160,000.
inline constexpr std::size_t kMaxYamlNodes = 300'000;
// Bytes of one scalar in a fault's text.
inline constexpr std::size_t kMaxQuotedBytes = 80;

enum class yaml_kind : std::uint8_t
{
  kNull,
  kScalar,
  kSequence,
  kMapping,
};

struct yaml_node
{
  yaml_kind mKind = yaml_kind::kNull;
  int mLine = 0;
  // Whether a scalar stood in quotes.
  bool mQuoted = false;
  std::string mScalar;
  // Items of a sequence; for a mapping key, value, key, value and so on.
  std::vector<yaml_node> mItems;
};

// The document in `aText`, or nothing after adding to `aFaults`. An empty
// document is a null node.
std::optional<yaml_node>
ParseYaml(const std::string& aFile, const std::string& aText, faults& aFaults);

// What stands at `aNode`, shortened, for a fault's `mFound`.
std::string
Describe(const yaml_node& aNode);

// `aText` in double quotes, shortened, control characters replaced.
std::string
Quote(std::string_view aText);

} // namespace thornhollow::internal

#endif // THORNHOLLOW_CONFIG_INTERNAL_YAML_TREE_H_
