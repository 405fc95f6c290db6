// Reads the fields of one mapping, checking each against its bounds. Faults are
// collected and the reading goes on, so that all of them are reported at once.
//
//   field_reader fields(node, "teams.yaml", "teams[3]", found);
//   read.mWeight = fields.Number("weight", { .mLeast = 0.01, .mMost = 1000 });
//   fields.RefuseUnknown();
//
#ifndef THORNHOLLOW_CONFIG_INTERNAL_FIELD_READER_H_
#define THORNHOLLOW_CONFIG_INTERNAL_FIELD_READER_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "thornhollow/config/fault.h"
#include "thornhollow/config/internal/yaml_tree.h"

namespace thornhollow::internal {

inline constexpr std::string_view kNameForm =
  "a name of 1 to 64 letters, digits, '-', '_' or '.', "
  "a letter or digit first";

// Bounds of a number, both included. A field without default must be present.
struct number_bounds
{
  double mLeast = 0;
  double mMost = 0;
  std::optional<double> mDefault = std::nullopt;
};

struct whole_bounds
{
  std::int64_t mLeast = 0;
  std::int64_t mMost = 0;
  std::optional<std::int64_t> mDefault = std::nullopt;
};

// Number of items that a list may hold.
struct list_bounds
{
  std::size_t mLeast = 0;
  std::size_t mMost = 0;
  // Whether faults must not repeat the items.
  bool mSecret = false;
};

using field_line = std::pair<std::string_view, int>;

class field_reader
{
public:
  // The arguments outlive the reader. `aNode` need not be a mapping: another
  // kind is a fault, and every field then takes its default silently.
  field_reader(const yaml_node& aNode,
               const std::string& aFile,
               std::string aPath,
               faults& aFaults);

  // A name: 1 to 64 letters, digits, '-', '_' or '.', a letter or digit first.
  // A text that breaks the rule is returned all the same, so that references to
  // it are not reported as well.
  std::string Name(std::string_view aField);
  // The same, but empty where the field is absent.
  std::string OptionalName(std::string_view aField);

  // A text that isn't checked further; `aDefault` where the field is absent,
  // or a fault where there is no default.
  std::string Text(std::string_view aField,
                   const std::optional<std::string>& aDefault = std::nullopt);

  std::vector<std::string> Names(std::string_view aField, list_bounds aBounds);
  std::vector<std::string> Texts(std::string_view aField, list_bounds aBounds);

  double Number(std::string_view aField, const number_bounds& aBounds);
  std::int64_t Whole(std::string_view aField, const whole_bounds& aBounds);
  bool Flag(std::string_view aField, bool aDefault);

  // The node of a field, or null where it is absent. The caller checks it.
  const yaml_node* Node(std::string_view aField);

  // Adds a fault at a field already read, or at the mapping where it is absent.
  void Refuse(std::string_view aField,
              std::string aFound,
              std::string aAllowed);

  // Adds a fault for each field that was not asked for, and for each that
  // stands twice. Call it last.
  void RefuseUnknown();

  const std::string& Path() const { return mPath; }
  // Lines of the fields that were asked for and present.
  std::vector<field_line> TakeLines() { return std::move(mLines); }

private:
  const yaml_node* Find(std::string_view aField, bool aRequired);
  std::vector<std::string> List(std::string_view aField,
                                list_bounds aBounds,
                                bool aNames);
  void CheckName(const yaml_node& aNode, const std::string& aField);
  void Add(int aLine,
           std::string_view aField,
           std::string aFound,
           std::string aAllowed);

  const yaml_node& mNode;
  const std::string& mFile;
  std::string mPath;
  faults& mFaults;
  std::vector<std::string_view> mKnown;
  std::vector<field_line> mLines;
};

// Whether `aText` is a name as `field_reader::Name` takes it.
bool
IsName(std::string_view aText);

} // namespace thornhollow::internal

#endif // THORNHOLLOW_CONFIG_INTERNAL_FIELD_READER_H_
