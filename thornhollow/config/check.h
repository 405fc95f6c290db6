// The checks that need more than one item: duplicates, references, sums and
// contradictions. The bounds of single fields are checked while they are read
// (yaml_reader.h), which also calls this.
//
//   faults found = CheckDeclarations(declared, sources);
//
// The result follows from the arguments alone.
#ifndef THORNHOLLOW_CONFIG_CHECK_H_
#define THORNHOLLOW_CONFIG_CHECK_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "thornhollow/config/declarations.h"
#include "thornhollow/config/fault.h"

namespace thornhollow {

// Where an item was declared.
struct item_source
{
  std::string_view mFile;
  int mLine = 0;
  // Such as "teams[3]".
  std::string mPath;
  // Lines of its fields.
  std::vector<std::pair<std::string_view, int>> mFieldLines;
};

// One source for each item, in the order of the declarations' lists.
struct declaration_sources
{
  std::vector<item_source> mLevels;
  std::vector<item_source> mClasses;
  std::vector<item_source> mTeams;
  std::vector<item_source> mModels;
  std::vector<item_source> mEndpoints;
  std::vector<item_source> mServices;
  std::vector<item_source> mDomains;
};

// Empty where the declarations may go into force.
faults
CheckDeclarations(const declarations& aDeclared,
                  const declaration_sources& aSources);

} // namespace thornhollow

#endif // THORNHOLLOW_CONFIG_CHECK_H_
