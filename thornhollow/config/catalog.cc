#include "thornhollow/config/catalog.h"

#include <algorithm>
#include <utility>

namespace thornhollow {
namespace {

template<class item>
std::unordered_map<std::string_view, const item*>
IndexByName(const std::vector<item>& aItems)
{
  std::unordered_map<std::string_view, const item*> index;
  index.reserve(aItems.size());
  for (const item& each : aItems) {
    index.emplace(each.mName.Text(), &each);
  }
  return index;
}

template<class item>
const item*
Find(const std::unordered_map<std::string_view, const item*>& aIndex,
     std::string_view aKey)
{
  const auto found = aIndex.find(aKey);
  return found == aIndex.end() ? nullptr : found->second;
}

} // namespace

catalog::catalog(declarations aDeclared)
  : mDeclared(std::move(aDeclared))
  , mTeams(IndexByName(mDeclared.mTeams))
  , mLevels(IndexByName(mDeclared.mLevels))
  , mClasses(IndexByName(mDeclared.mClasses))
  , mModels(IndexByName(mDeclared.mModels))
  , mServices(IndexByName(mDeclared.mServices))
  , mEndpoints(IndexByName(mDeclared.mEndpoints))
{
  mTeamsByDigest.reserve(mDeclared.mTeams.size());
  for (const team& each : mDeclared.mTeams) {
    for (const std::string& digest : each.mTokenDigests) {
      mTeamsByDigest.emplace(digest, &each);
    }
  }
  for (const plain_service& each : mDeclared.mServices) {
    mServicesByPath.emplace(each.mPath, &each);
  }
}

const team*
catalog::TeamByTokenDigest(std::string_view aDigest) const
{
  return Find(mTeamsByDigest, aDigest);
}

const team*
catalog::TeamByName(std::string_view aName) const
{
  return Find(mTeams, aName);
}

class_terms
catalog::Class(std::string_view aName) const
{
  const request_class* found = Find(mClasses, aName);
  if (found == nullptr) {
    return {};
  }
  return { found, Find(mLevels, found->mLevel.Text()) };
}

class_terms
catalog::ClassForTeam(const team& aTeam, std::string_view aName) const
{
  if (aTeam.mClasses.empty()) {
    return {};
  }
  if (aName.empty()) {
    return Class(aTeam.mClasses.front().Text());
  }
  const auto found =
    std::ranges::find(aTeam.mClasses, aName, &class_name::Text);
  return found == aTeam.mClasses.end() ? class_terms{} : Class(aName);
}

const model*
catalog::Model(std::string_view aName) const
{
  return Find(mModels, aName);
}

bool
catalog::Offers(const request_class& aClass, std::string_view aModel)
{
  return std::ranges::find(aClass.mModels, aModel, &model_name::Text) !=
         aClass.mModels.end();
}

const plain_service*
catalog::ServiceByPath(std::string_view aPath) const
{
  return Find(mServicesByPath, aPath);
}

const plain_service*
catalog::ServiceByName(std::string_view aName) const
{
  return Find(mServices, aName);
}

const endpoint*
catalog::EndpointByName(std::string_view aName) const
{
  return Find(mEndpoints, aName);
}

catalog_ptr
MakeCatalog(declarations aDeclared)
{
  return catalog_ptr(new catalog(std::move(aDeclared)));
}

} // namespace thornhollow
