#include "thornhollow/config/internal/yaml_tree.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

namespace thornhollow::internal {
namespace {

// Thrown out of yaml-cpp's parser to stop it at once.
struct refused_yaml
{
  int mLine;
  std::string mFound;
  std::string mAllowed;
};

int
LineOf(const YAML::Mark& aMark)
{
  return aMark.line + 1;
}

// Builds the tree. yaml-cpp recurses for each level of nesting and so do the
// destructors of a tree; a document nested deep enough would overflow the
// stack and end the process. Release 0.7.0 stops itself after some hundred
// levels, earlier ones don't. The throw at `kMaxYamlDepth` comes before either
// recursion goes on.
class tree_builder : public YAML::EventHandler
{
public:
  yaml_node Take() { return std::move(mRoot); }

  void OnDocumentStart(const YAML::Mark& /*aMark*/) override {}
  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark& aMark, YAML::anchor_t aAnchor) override
  {
    Add(aMark, "?", aAnchor, yaml_kind::kNull);
  }

  void OnAlias(const YAML::Mark& aMark, YAML::anchor_t /*aAnchor*/) override
  {
    throw refused_yaml{ LineOf(aMark), "an alias", "values without aliases" };
  }

  void OnScalar(const YAML::Mark& aMark,
                const std::string& aTag,
                YAML::anchor_t aAnchor,
                const std::string& aValue) override
  {
    yaml_node& added = Add(aMark, aTag, aAnchor, yaml_kind::kScalar);
    added.mScalar = aValue;
    added.mQuoted = aTag == "!";
  }

  void OnSequenceStart(const YAML::Mark& aMark,
                       const std::string& aTag,
                       YAML::anchor_t aAnchor,
                       YAML::EmitterStyle::value /*aStyle*/) override
  {
    Open(aMark, aTag, aAnchor, yaml_kind::kSequence);
  }
  void OnSequenceEnd() override { mOpen.pop_back(); }

  void OnMapStart(const YAML::Mark& aMark,
                  const std::string& aTag,
                  YAML::anchor_t aAnchor,
                  YAML::EmitterStyle::value /*aStyle*/) override
  {
    Open(aMark, aTag, aAnchor, yaml_kind::kMapping);
  }
  void OnMapEnd() override { mOpen.pop_back(); }

private:
  yaml_node& Add(const YAML::Mark& aMark,
                 const std::string& aTag,
                 YAML::anchor_t aAnchor,
                 yaml_kind aKind)
  {
    const int line = LineOf(aMark);
    if (aAnchor != 0) {
      throw refused_yaml{ line, "an anchor", "values without anchors" };
    }
    if (!aTag.empty() && aTag != "?" && aTag != "!") {
      throw refused_yaml{ line, "a tag", "values without tags" };
    }
    // Two bytes of text can make a node of eighty: without a bound, a file of
    // commas would cost forty times its size.
    if (++mCount > kMaxYamlNodes) {
      throw refused_yaml{ line,
                          "more values",
                          "at most " + std::to_string(kMaxYamlNodes) +
                            " values a file" };
    }
    yaml_node& place =
      mOpen.empty() ? mRoot : mOpen.back()->mItems.emplace_back();
    place.mKind = aKind;
    place.mLine = line;
    return place;
  }

  // Only the innermost open node grows, so the pointers to the outer ones,
  // each the last item of its parent, stay valid.
  void Open(const YAML::Mark& aMark,
            const std::string& aTag,
            YAML::anchor_t aAnchor,
            yaml_kind aKind)
  {
    if (mOpen.size() == kMaxYamlDepth) {
      throw refused_yaml{ LineOf(aMark),
                          "deeper nesting",
                          "at most " + std::to_string(kMaxYamlDepth) +
                            " levels" };
    }
    mOpen.push_back(&Add(aMark, aTag, aAnchor, aKind));
  }

  yaml_node mRoot;
  std::size_t mCount = 0;
  std::vector<yaml_node*> mOpen;
};

// Line of the first byte that is a control character other than tab and line
// end, or 0.
int
LineOfControlCharacter(std::string_view aText)
{
  int line = 1;
  for (const char each : aText) {
    line += each == '\n' ? 1 : 0;
    const auto byte = static_cast<unsigned char>(each);
    if ((byte < ' ' && each != '\n' && each != '\r' && each != '\t') ||
        byte == 0x7F) {
      return line;
    }
  }
  return 0;
}

} // namespace

std::optional<yaml_node>
ParseYaml(const std::string& aFile, const std::string& aText, faults& aFaults)
{
  const auto refuse = [&](int aLine, std::string aFound, std::string aAllowed) {
    AddFault(aFaults,
             { aFile, aLine, "", std::move(aFound), std::move(aAllowed) });
    return std::nullopt;
  };
  if (const int line = LineOfControlCharacter(aText); line != 0) {
    return refuse(line, "a control character", "printable text");
  }
  try {
    std::istringstream stream(aText);
    YAML::Parser parser(stream);
    tree_builder builder;
    parser.HandleNextDocument(builder);
    yaml_node tree = builder.Take();
    tree_builder rest;
    if (parser.HandleNextDocument(rest)) {
      return refuse(0, "a second document", "one document a file");
    }
    return tree;
  } catch (const refused_yaml& refused) {
    return refuse(refused.mLine, refused.mFound, refused.mAllowed);
  } catch (const YAML::Exception& broken) {
    return refuse(LineOf(broken.mark),
                  "text that is not YAML (" + broken.msg + ")",
                  "YAML");
  }
}

std::string
Quote(std::string_view aText)
{
  std::string quoted(aText.substr(0, kMaxQuotedBytes));
  std::ranges::replace_if(
    quoted,
    [](char aChar) { return static_cast<unsigned char>(aChar) < ' '; },
    ' ');
  return '"' + quoted + (aText.size() > kMaxQuotedBytes ? "...\"" : "\"");
}

std::string
Describe(const yaml_node& aNode)
{
  switch (aNode.mKind) {
    case yaml_kind::kNull:
      return "nothing";
    case yaml_kind::kScalar:
      return Quote(aNode.mScalar);
    case yaml_kind::kSequence:
      return "a list";
    case yaml_kind::kMapping:
      break;
  }
  return "a mapping";
}

} // namespace thornhollow::internal
