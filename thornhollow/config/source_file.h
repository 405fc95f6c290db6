// A text file as the readers take it: already in memory, with the name that
// faults give.
#ifndef THORNHOLLOW_CONFIG_SOURCE_FILE_H_
#define THORNHOLLOW_CONFIG_SOURCE_FILE_H_

#include <string>

namespace thornhollow {

struct source_file
{
  // Used in faults only.
  std::string mName;
  std::string mText;

  friend bool operator==(const source_file&, const source_file&) = default;
};

} // namespace thornhollow

#endif // THORNHOLLOW_CONFIG_SOURCE_FILE_H_
