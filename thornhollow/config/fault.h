// What is wrong with a text that an operator wrote, said so that it can be
// mended: where it stands, what was found and what would be allowed.
//
//   std::cerr << Text(found) << '\n';
//   // teams.yaml:12: teams[3].weight: found "0", allowed: 0.01 to 1000
//
#ifndef THORNHOLLOW_CONFIG_FAULT_H_
#define THORNHOLLOW_CONFIG_FAULT_H_

#include <cstddef>
#include <string>
#include <vector>

namespace thornhollow {

struct fault
{
  // The file's name as it was given to the reader.
  std::string mFile;
  // From 1; 0 where the fault belongs to no line.
  int mLine = 0;
  // Path of the field, such as "teams[3].weight"; empty for the whole file.
  std::string mField;
  std::string mFound;
  std::string mAllowed;

  friend bool operator==(const fault&, const fault&) = default;
};

using faults = std::vector<fault>;

// Faults that one verdict lists; one more entry says that there are others.
inline constexpr std::size_t kMaxFaults = 1000;

// Adds `aFault`, or nothing where `aTo` is full: a hostile file with a fault in
// each byte must not fill the memory with their descriptions.
void
AddFault(faults& aTo, fault aFault);

// One line for people, without its end.
std::string
Text(const fault& aFault);

} // namespace thornhollow

#endif // THORNHOLLOW_CONFIG_FAULT_H_
