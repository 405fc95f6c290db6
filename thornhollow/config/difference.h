// What a new configuration changes for callers, in sentences for operators.
//
//   for (const std::string& line : DescribeChanges(inForce, next)) { ... }
//
#ifndef THORNHOLLOW_CONFIG_DIFFERENCE_H_
#define THORNHOLLOW_CONFIG_DIFFERENCE_H_

#include <string>
#include <vector>

#include "thornhollow/config/declarations.h"

namespace thornhollow {

// One sentence a change, in the order levels, classes, models, services, teams,
// pools and endpoints; empty where the two mean the same. The order of items in
// the files makes no difference.
std::vector<std::string>
DescribeChanges(const declarations& aOld, const declarations& aNew);

} // namespace thornhollow

#endif // THORNHOLLOW_CONFIG_DIFFERENCE_H_
