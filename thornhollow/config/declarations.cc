#include "thornhollow/config/declarations.h"

#include <algorithm>

namespace thornhollow {
namespace {

template<class item, class name>
const item*
FindByName(const std::vector<item>& aItems, const name& aName)
{
  const auto found = std::ranges::find(aItems, aName, &item::mName);
  return found == aItems.end() ? nullptr : &*found;
}

} // namespace

const request_class*
FindClass(const declarations& aDeclared, const class_name& aName)
{
  return FindByName(aDeclared.mClasses, aName);
}

const service_level*
FindLevel(const declarations& aDeclared, const level_name& aName)
{
  return FindByName(aDeclared.mLevels, aName);
}

const team*
FindTeam(const declarations& aDeclared, const team_name& aName)
{
  return FindByName(aDeclared.mTeams, aName);
}

std::set<domain_name>
DomainsOutOfService(const declarations& aDeclared)
{
  std::set<domain_name> out;
  for (const failure_domain& each : aDeclared.mDomains) {
    if (each.mOutOfService) {
      out.insert(each.mName);
    }
  }
  return out;
}

} // namespace thornhollow
