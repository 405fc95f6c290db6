#include "thornhollow/config/check.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

#include <fmt/format.h>

#include "thornhollow/config/internal/yaml_tree.h"

namespace thornhollow {
namespace {

// Room for the rounding of a sum of declared shares.
constexpr double kShareTolerance = 1e-9;

using name_set = std::unordered_set<std::string_view>;

template<class item>
name_set
NamesOf(const std::vector<item>& aItems)
{
  name_set names;
  for (const item& each : aItems) {
    names.insert(each.mName.Text());
  }
  return names;
}

class checker
{
public:
  checker(const declarations& aDeclared, const declaration_sources& aSources)
    : mDeclared(aDeclared)
    , mSources(aSources)
    , mLevels(NamesOf(aDeclared.mLevels))
    , mClasses(NamesOf(aDeclared.mClasses))
    , mModels(NamesOf(aDeclared.mModels))
    , mServices(NamesOf(aDeclared.mServices))
  {
  }

  faults Run() &&
  {
    CheckNames();
    CheckLevels();
    CheckClasses();
    CheckTeams();
    CheckEndpoints();
    CheckServices();
    CheckModels();
    CheckDomains();
    return std::move(mFaults);
  }

private:
  void Add(const item_source& aAt,
           std::string_view aField,
           std::string aFound,
           std::string aAllowed)
  {
    int line = aAt.mLine;
    for (const auto& [field, fieldLine] : aAt.mFieldLines) {
      line = field == aField ? fieldLine : line;
    }
    AddFault(mFaults,
             { std::string(aAt.mFile),
               line,
               fmt::format("{}.{}", aAt.mPath, aField),
               std::move(aFound),
               std::move(aAllowed) });
  }

  // Remembers that `aText` stands at `aAt`; a fault where it stood before. The
  // fault doesn't repeat a secret one: it may be a token put in a digest's
  // place by mistake.
  using first_places = std::unordered_map<std::string_view, const item_source*>;
  void CheckOnce(first_places& aSeen,
                 std::string_view aText,
                 const item_source& aAt,
                 std::string_view aField,
                 bool aSecret = false)
  {
    const auto [first, added] = aSeen.emplace(aText, &aAt);
    if (!added && !aText.empty()) {
      Add(aAt,
          aField,
          fmt::format("{}, which stands at {}:{} already",
                      aSecret ? "a text" : internal::Quote(aText),
                      first->second->mFile,
                      first->second->mLine),
          "each once");
    }
  }

  template<class item>
  void CheckNamesOnce(const std::vector<item>& aItems,
                      const std::vector<item_source>& aPlaces,
                      first_places& aSeen)
  {
    for (std::size_t each = 0; each < aItems.size(); ++each) {
      CheckOnce(aSeen, aItems[each].mName.Text(), aPlaces[each], "name");
    }
  }

  void CheckReference(const name_set& aDeclaredNames,
                      std::string_view aName,
                      const item_source& aAt,
                      std::string_view aField,
                      std::string_view aWhat)
  {
    if (!aName.empty() && !aDeclaredNames.contains(aName)) {
      Add(aAt,
          aField,
          internal::Quote(aName),
          fmt::format("the name of a declared {}", aWhat));
    }
  }

  void CheckNames();
  void CheckLevels();
  void CheckClasses();
  void CheckTeams();
  void CheckEndpoints();
  void CheckPools(const endpoint& aEndpoint, const item_source& aAt);
  void CheckServices();
  void CheckModels();
  void CheckDomains();

  const declarations& mDeclared;
  const declaration_sources& mSources;
  name_set mLevels;
  name_set mClasses;
  name_set mModels;
  name_set mServices;
  faults mFaults;
};

void
checker::CheckNames()
{
  first_places levels;
  first_places classes;
  first_places teams;
  first_places endpoints;
  first_places domains;
  CheckNamesOnce(mDeclared.mLevels, mSources.mLevels, levels);
  CheckNamesOnce(mDeclared.mClasses, mSources.mClasses, classes);
  CheckNamesOnce(mDeclared.mTeams, mSources.mTeams, teams);
  CheckNamesOnce(mDeclared.mEndpoints, mSources.mEndpoints, endpoints);
  CheckNamesOnce(mDeclared.mDomains, mSources.mDomains, domains);
  // Models and services name pools, so they share one space of names.
  first_places pools;
  CheckNamesOnce(mDeclared.mModels, mSources.mModels, pools);
  CheckNamesOnce(mDeclared.mServices, mSources.mServices, pools);
}

void
checker::CheckLevels()
{
  for (std::size_t each = 0; each < mDeclared.mLevels.size(); ++each) {
    const service_level& level = mDeclared.mLevels[each];
    if (level.mDeadline < level.mFirstTokenTarget) {
      Add(mSources.mLevels[each],
          "deadline_ms",
          fmt::format("{}", ToMilliseconds(level.mDeadline)),
          fmt::format("at least first_token_ms, {}",
                      ToMilliseconds(level.mFirstTokenTarget)));
    }
  }
}

void
checker::CheckClasses()
{
  double sum = 0;
  for (std::size_t each = 0; each < mDeclared.mClasses.size(); ++each) {
    const request_class& checked = mDeclared.mClasses[each];
    const item_source& at = mSources.mClasses[each];
    CheckReference(
      mLevels, checked.mLevel.Text(), at, "level", "service level");
    for (const model_name& model : checked.mModels) {
      CheckReference(mModels, model.Text(), at, "models", "model");
    }
    const double before = sum;
    sum += checked.mMinimumShare;
    if (before <= 1 + kShareTolerance && sum > 1 + kShareTolerance) {
      Add(at,
          "minimum_share",
          fmt::format("{}, a sum of {} with the classes before it",
                      checked.mMinimumShare,
                      sum),
          "a sum over all classes of at most 1");
    }
  }
}

void
checker::CheckTeams()
{
  first_places digests;
  for (std::size_t each = 0; each < mDeclared.mTeams.size(); ++each) {
    const team& checked = mDeclared.mTeams[each];
    const item_source& at = mSources.mTeams[each];
    for (const class_name& named : checked.mClasses) {
      CheckReference(mClasses, named.Text(), at, "classes", "class");
    }
    for (const std::string& digest : checked.mTokenDigests) {
      CheckOnce(digests, digest, at, "token_digests", true);
    }
  }
}

void
checker::CheckEndpoints()
{
  first_places addresses;
  for (std::size_t each = 0; each < mDeclared.mEndpoints.size(); ++each) {
    const endpoint& checked = mDeclared.mEndpoints[each];
    CheckOnce(
      addresses, checked.mAddress, mSources.mEndpoints[each], "address");
    CheckPools(checked, mSources.mEndpoints[each]);
  }
}

void
checker::CheckPools(const endpoint& aEndpoint, const item_source& aAt)
{
  bool servesService = false;
  for (const pool_name& pool : aEndpoint.mPools) {
    if (mServices.contains(pool.Text())) {
      servesService = true;
    } else {
      CheckReference(mModels, pool.Text(), aAt, "pools", "model or service");
    }
  }
  if (servesService && aEndpoint.mPools.size() > 1) {
    Add(aAt,
        "pools",
        fmt::format("a plain service among {} pools", aEndpoint.mPools.size()),
        "models only, or exactly one plain service");
  }
}

void
checker::CheckServices()
{
  first_places paths;
  for (std::size_t each = 0; each < mDeclared.mServices.size(); ++each) {
    const plain_service& checked = mDeclared.mServices[each];
    const item_source& at = mSources.mServices[each];
    CheckOnce(paths, checked.mPath, at, "path");
    CheckReference(mClasses, checked.mClass.Text(), at, "class", "class");
    const request_class* named = FindClass(mDeclared, checked.mClass);
    if (checked.mIdempotent && named != nullptr && !named->mIdempotent) {
      Add(at,
          "idempotent",
          fmt::format("true, while class \"{}\" is not idempotent",
                      named->mName.Text()),
          "true only where the class is idempotent too");
    }
  }
}

void
checker::CheckModels()
{
  for (std::size_t each = 0; each < mDeclared.mModels.size(); ++each) {
    const warm_up_spec& warmUp = mDeclared.mModels[each].mWarmUp;
    const bool hasLength = warmUp.mLength > duration::zero();
    if (hasLength != warmUp.LimitsRequests()) {
      Add(mSources.mModels[each],
          hasLength ? "warm_up_requests_per_s" : "warm_up_ms",
          "0",
          hasLength ? "more than 0 with warm_up_ms"
                    : "more than 0 with warm_up_requests_per_s");
    }
  }
}

// A misspelt domain would stay in service without a word.
void
checker::CheckDomains()
{
  name_set served;
  for (const endpoint& each : mDeclared.mEndpoints) {
    served.insert(each.mDomain.Text());
  }
  for (std::size_t each = 0; each < mDeclared.mDomains.size(); ++each) {
    const std::string& name = mDeclared.mDomains[each].mName.Text();
    if (!name.empty() && !served.contains(name)) {
      Add(mSources.mDomains[each],
          "name",
          internal::Quote(name),
          "the failure domain of a declared endpoint");
    }
  }
}

} // namespace

faults
CheckDeclarations(const declarations& aDeclared,
                  const declaration_sources& aSources)
{
  return checker(aDeclared, aSources).Run();
}

} // namespace thornhollow
