#include "thornhollow/config/internal/field_reader.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace thornhollow::internal {
namespace {

constexpr std::size_t kMaxNameBytes = 64;

constexpr bool
IsLetterOrDigit(char aChar)
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
         (aChar >= '0' && aChar <= '9');
}

// The number that the whole of an unquoted scalar stands for.
template<class number>
std::optional<number>
ParseNumber(const yaml_node& aNode)
{
  if (aNode.mKind != yaml_kind::kScalar || aNode.mQuoted) {
    return std::nullopt;
  }
  const std::string& text = aNode.mScalar;
  number parsed{};
  const auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), parsed);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return parsed;
}

} // namespace

bool
IsName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameBytes &&
         IsLetterOrDigit(aText.front()) &&
         std::ranges::all_of(aText, [](char aChar) {
           return IsLetterOrDigit(aChar) || aChar == '-' || aChar == '_' ||
                  aChar == '.';
         });
}

field_reader::field_reader(const yaml_node& aNode,
                           const std::string& aFile,
                           std::string aPath,
                           faults& aFaults)
  : mNode(aNode)
  , mFile(aFile)
  , mPath(std::move(aPath))
  , mFaults(aFaults)
{
  if (mNode.mKind != yaml_kind::kMapping) {
    AddFault(mFaults,
             { mFile,
               mNode.mLine,
               mPath,
               Describe(mNode),
               "a mapping of fields to values" });
  }
}

const yaml_node*
field_reader::Node(std::string_view aField)
{
  return Find(aField, false);
}

const yaml_node*
field_reader::Find(std::string_view aField, bool aRequired)
{
  mKnown.push_back(aField);
  if (mNode.mKind != yaml_kind::kMapping) {
    return nullptr;
  }
  for (std::size_t key = 0; key + 1 < mNode.mItems.size(); key += 2) {
    if (mNode.mItems[key].mScalar == aField) {
      mLines.emplace_back(aField, mNode.mItems[key].mLine);
      return &mNode.mItems[key + 1];
    }
  }
  if (aRequired) {
    Add(mNode.mLine, aField, "no such field", "a value; it has no default");
  }
  return nullptr;
}

void
field_reader::Add(int aLine,
                  std::string_view aField,
                  std::string aFound,
                  std::string aAllowed)
{
  std::string path = mPath;
  if (!path.empty() && !aField.empty()) {
    path += '.';
  }
  path += aField;
  AddFault(
    mFaults,
    { mFile, aLine, std::move(path), std::move(aFound), std::move(aAllowed) });
}

void
field_reader::Refuse(std::string_view aField,
                     std::string aFound,
                     std::string aAllowed)
{
  const auto line = std::ranges::find(mLines, aField, &field_line::first);
  Add(line == mLines.end() ? mNode.mLine : line->second,
      aField,
      std::move(aFound),
      std::move(aAllowed));
}

void
field_reader::CheckName(const yaml_node& aNode, const std::string& aField)
{
  if (aNode.mKind != yaml_kind::kScalar || !IsName(aNode.mScalar)) {
    Add(aNode.mLine, aField, Describe(aNode), std::string(kNameForm));
  }
}

std::string
field_reader::Name(std::string_view aField)
{
  const yaml_node* node = Find(aField, true);
  if (node == nullptr) {
    return {};
  }
  CheckName(*node, std::string(aField));
  return node->mScalar;
}

std::string
field_reader::OptionalName(std::string_view aField)
{
  const yaml_node* node = Find(aField, false);
  if (node == nullptr) {
    return {};
  }
  CheckName(*node, std::string(aField));
  return node->mScalar;
}

std::string
field_reader::Text(std::string_view aField,
                   const std::optional<std::string>& aDefault)
{
  const yaml_node* node = Find(aField, !aDefault.has_value());
  if (node == nullptr) {
    return aDefault.value_or("");
  }
  if (node->mKind != yaml_kind::kScalar) {
    Add(node->mLine, aField, Describe(*node), "text");
  }
  return node->mScalar;
}

std::vector<std::string>
field_reader::Names(std::string_view aField, list_bounds aBounds)
{
  return List(aField, aBounds, true);
}

std::vector<std::string>
field_reader::Texts(std::string_view aField, list_bounds aBounds)
{
  return List(aField, aBounds, false);
}

std::vector<std::string>
field_reader::List(std::string_view aField, list_bounds aBounds, bool aNames)
{
  const yaml_node* node = Find(aField, aBounds.mLeast > 0);
  if (node == nullptr) {
    return {};
  }
  if (node->mKind != yaml_kind::kSequence ||
      node->mItems.size() < aBounds.mLeast ||
      node->mItems.size() > aBounds.mMost) {
    Add(node->mLine,
        aField,
        node->mKind == yaml_kind::kSequence
          ? fmt::format("a list of {}", node->mItems.size())
          : Describe(*node),
        fmt::format("a list of {} to {}", aBounds.mLeast, aBounds.mMost));
    return {};
  }
  std::vector<std::string> items;
  items.reserve(node->mItems.size());
  for (const yaml_node& item : node->mItems) {
    const std::string path = fmt::format("{}[{}]", aField, items.size());
    if (aNames) {
      CheckName(item, path);
    } else if (item.mKind != yaml_kind::kScalar) {
      Add(item.mLine, path, Describe(item), "text");
    }
    if (std::ranges::find(items, item.mScalar) != items.end()) {
      Add(item.mLine,
          path,
          (aBounds.mSecret ? "a text" : Describe(item)) + " again",
          "each item once");
    }
    items.push_back(item.mScalar);
  }
  return items;
}

double
field_reader::Number(std::string_view aField, const number_bounds& aBounds)
{
  const yaml_node* node = Find(aField, !aBounds.mDefault.has_value());
  if (node == nullptr) {
    return aBounds.mDefault.value_or(aBounds.mLeast);
  }
  if (const auto parsed = ParseNumber<double>(*node);
      parsed && *parsed >= aBounds.mLeast && *parsed <= aBounds.mMost) {
    return *parsed;
  }
  Add(node->mLine,
      aField,
      Describe(*node),
      fmt::format("a number from {} to {}", aBounds.mLeast, aBounds.mMost));
  return aBounds.mDefault.value_or(aBounds.mLeast);
}

std::int64_t
field_reader::Whole(std::string_view aField, const whole_bounds& aBounds)
{
  const yaml_node* node = Find(aField, !aBounds.mDefault.has_value());
  if (node == nullptr) {
    return aBounds.mDefault.value_or(aBounds.mLeast);
  }
  if (const auto parsed = ParseNumber<std::int64_t>(*node);
      parsed && *parsed >= aBounds.mLeast && *parsed <= aBounds.mMost) {
    return *parsed;
  }
  Add(
    node->mLine,
    aField,
    Describe(*node),
    fmt::format("a whole number from {} to {}", aBounds.mLeast, aBounds.mMost));
  return aBounds.mDefault.value_or(aBounds.mLeast);
}

bool
field_reader::Flag(std::string_view aField, bool aDefault)
{
  const yaml_node* node = Find(aField, false);
  if (node == nullptr) {
    return aDefault;
  }
  if (node->mKind == yaml_kind::kScalar && !node->mQuoted) {
    if (node->mScalar == "true") {
      return true;
    }
    if (node->mScalar == "false") {
      return false;
    }
  }
  Add(node->mLine, aField, Describe(*node), "true or false");
  return aDefault;
}

void
field_reader::RefuseUnknown()
{
  if (mNode.mKind != yaml_kind::kMapping) {
    return;
  }
  std::vector<std::string_view> seen;
  for (std::size_t key = 0; key + 1 < mNode.mItems.size(); key += 2) {
    const yaml_node& node = mNode.mItems[key];
    if (node.mKind != yaml_kind::kScalar ||
        std::ranges::find(mKnown, node.mScalar) == mKnown.end()) {
      Add(node.mLine,
          "",
          "the field " + Describe(node),
          fmt::format("the fields {}", fmt::join(mKnown, ", ")));
    } else if (std::ranges::find(seen, node.mScalar) != seen.end()) {
      Add(node.mLine, node.mScalar, "the field again", "each field once");
    } else {
      seen.emplace_back(node.mScalar);
    }
  }
}

} // namespace thornhollow::internal
