#include "thornhollow/config/internal/settings_fields.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>

#include "thornhollow/config/internal/ip_address.h"

namespace thornhollow::internal {
namespace {

constexpr std::size_t kMaxSeeds = 64;
constexpr std::size_t kMaxSettingsBytes = std::size_t{ 64 } << 10U;
constexpr std::array<log_level, 4> kLogLevels = { log_level::kError,
                                                  log_level::kWarning,
                                                  log_level::kInfo,
                                                  log_level::kDebug };

} // namespace

std::optional<yaml_node>
ParseSettings(const source_file& aFile, faults& aFaults)
{
  if (aFile.mText.size() > kMaxSettingsBytes) {
    aFaults.push_back({ aFile.mName,
                        0,
                        "",
                        fmt::format("{} bytes", aFile.mText.size()),
                        fmt::format("at most {} bytes", kMaxSettingsBytes) });
    return std::nullopt;
  }
  auto tree = ParseYaml(aFile.mName, aFile.mText, aFaults);
  if (!tree || tree->mKind == yaml_kind::kMapping) {
    return tree;
  }
  // Says what was found in place of a mapping.
  const field_reader fields(*tree, aFile.mName, "", aFaults);
  return std::nullopt;
}

void
ReadSection(field_reader& aFields,
            const source_file& aFile,
            std::string_view aName,
            faults& aFaults,
            const std::function<void(field_reader&)>& aRead)
{
  const yaml_node* node = aFields.Node(aName);
  if (node == nullptr) {
    return;
  }
  field_reader fields(*node, aFile.mName, std::string(aName), aFaults);
  aRead(fields);
  fields.RefuseUnknown();
}

namespace {

std::string
CheckAddress(field_reader& aFields,
             std::string_view aField,
             std::string aAddress)
{
  if (!aAddress.empty() && !IsAddressWithPort(aAddress)) {
    aFields.Refuse(aField, Quote(aAddress), std::string(kAddressForm));
  }
  return aAddress;
}

} // namespace

std::string
ReadAddress(field_reader& aFields, std::string_view aField)
{
  return CheckAddress(aFields, aField, aFields.Text(aField));
}

std::string
ReadOptionalAddress(field_reader& aFields, std::string_view aField)
{
  return CheckAddress(aFields, aField, aFields.Text(aField, ""));
}

std::vector<std::string>
ReadSeeds(field_reader& aFields, std::string_view aField)
{
  std::vector<std::string> seeds = aFields.Texts(aField, { 0, kMaxSeeds });
  for (const std::string& seed : seeds) {
    if (!IsAddressWithPort(seed) || IsAnyAddress(seed)) {
      aFields.Refuse(aField, Quote(seed), std::string(kAddressForm));
    }
  }
  return seeds;
}

std::size_t
ReadNamed(field_reader& aFields,
          std::string_view aField,
          const std::vector<std::string_view>& aNames,
          std::size_t aDefault)
{
  const std::string text = aFields.Text(aField, std::string(aNames[aDefault]));
  const auto found = std::ranges::find(aNames, text);
  if (found == aNames.end()) {
    aFields.Refuse(
      aField, Quote(text), fmt::format("{}", fmt::join(aNames, ", ")));
    return aDefault;
  }
  return static_cast<std::size_t>(found - aNames.begin());
}

log_level
ReadLogLevel(field_reader& aFields, log_level aDefault)
{
  return ReadChoice(aFields, "log_level", kLogLevels, aDefault);
}

} // namespace thornhollow::internal
