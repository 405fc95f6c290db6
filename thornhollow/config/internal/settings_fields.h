// Reading of fields that the settings of both kinds of daemon have.
//
//   settings.mCallerAddress = ReadAddress(fields, "caller_address");
//
#ifndef THORNHOLLOW_CONFIG_INTERNAL_SETTINGS_FIELDS_H_
#define THORNHOLLOW_CONFIG_INTERNAL_SETTINGS_FIELDS_H_

#include <array>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "thornhollow/config/internal/field_reader.h"
#include "thornhollow/config/settings.h"
#include "thornhollow/config/source_file.h"

namespace thornhollow::internal {

// The mapping in the file, or nothing after its faults were added.
std::optional<yaml_node>
ParseSettings(const source_file& aFile, faults& aFaults);

// Has `aRead` read the fields of the mapping `aName`, where it is there; those
// that it leaves are faults.
void
ReadSection(field_reader& aFields,
            const source_file& aFile,
            std::string_view aName,
            faults& aFaults,
            const std::function<void(field_reader&)>& aRead);

// An IP number with a port; another text is a fault.
std::string
ReadAddress(field_reader& aFields, std::string_view aField);

// The same; empty where the field is absent.
std::string
ReadOptionalAddress(field_reader& aFields, std::string_view aField);

// A list of such, each of one host.
std::vector<std::string>
ReadSeeds(field_reader& aFields, std::string_view aField);

// Which of the names stands in the field; `aDefault` where it is absent, and
// where another text stands there, which is a fault.
std::size_t
ReadNamed(field_reader& aFields,
          std::string_view aField,
          const std::vector<std::string_view>& aNames,
          std::size_t aDefault);

// The same for values that have a `Name`.
template<class value, std::size_t count>
value
ReadChoice(field_reader& aFields,
           std::string_view aField,
           const std::array<value, count>& aChoices,
           value aDefault)
{
  std::vector<std::string_view> names;
  std::size_t byDefault = 0;
  for (std::size_t at = 0; at < count; ++at) {
    names.push_back(Name(aChoices[at]));
    byDefault = aChoices[at] == aDefault ? at : byDefault;
  }
  return aChoices[ReadNamed(aFields, aField, names, byDefault)];
}

log_level
ReadLogLevel(field_reader& aFields, log_level aDefault);

} // namespace thornhollow::internal

#endif // THORNHOLLOW_CONFIG_INTERNAL_SETTINGS_FIELDS_H_
