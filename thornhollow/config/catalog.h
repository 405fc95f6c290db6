// An immutable index over the declarations in force, for the request path:
// each look-up is one hash access. A request keeps the catalog it began with by
// a counted pointer, so that a new configuration never changes the terms of a
// request in progress.
//
//   const catalog_ptr now = MakeCatalog(std::move(declared));
//   if (const team* caller = now->TeamByTokenDigest(digest)) { ... }
//
#ifndef THORNHOLLOW_CONFIG_CATALOG_H_
#define THORNHOLLOW_CONFIG_CATALOG_H_

#include <string_view>
#include <unordered_map>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "thornhollow/config/declarations.h"

namespace thornhollow {

// A class together with the level it is promised.
struct class_terms
{
  const request_class* mClass = nullptr;
  const service_level* mLevel = nullptr;

  friend bool operator==(const class_terms&, const class_terms&) = default;
};

// Pointers that the look-ups return live as long as the catalog.
class catalog : public boost::intrusive_ref_counter<catalog>
{
public:
  // `aDeclared` passed its checks (yaml_reader.h).
  explicit catalog(declarations aDeclared);
  catalog(const catalog&) = delete;
  catalog& operator=(const catalog&) = delete;

  const declarations& Declared() const { return mDeclared; }

  // Null where no team has a token with this digest (token.h).
  const team* TeamByTokenDigest(std::string_view aDigest) const;
  const team* TeamByName(std::string_view aName) const;

  // Null members where no such class is declared.
  class_terms Class(std::string_view aName) const;

  // The terms of `aTeam`'s class `aName`, or of its first class where `aName`
  // is empty. Null members where the team may not use the class.
  class_terms ClassForTeam(const team& aTeam, std::string_view aName) const;

  const model* Model(std::string_view aName) const;

  // Whether requests of `aClass` may ask for `aModel`.
  static bool Offers(const request_class& aClass, std::string_view aModel);

  const plain_service* ServiceByPath(std::string_view aPath) const;
  const plain_service* ServiceByName(std::string_view aName) const;
  const endpoint* EndpointByName(std::string_view aName) const;

private:
  template<class item>
  using index = std::unordered_map<std::string_view, const item*>;

  // The indices' keys and values point into this.
  const declarations mDeclared;
  index<team> mTeamsByDigest;
  index<team> mTeams;
  index<service_level> mLevels;
  index<request_class> mClasses;
  index<model> mModels;
  index<plain_service> mServicesByPath;
  index<plain_service> mServices;
  index<endpoint> mEndpoints;
};

using catalog_ptr = boost::intrusive_ptr<const catalog>;

// A catalog of `aDeclared`, which passed its checks.
catalog_ptr
MakeCatalog(declarations aDeclared);

} // namespace thornhollow

#endif // THORNHOLLOW_CONFIG_CATALOG_H_
