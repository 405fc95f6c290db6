#include "thornhollow/listing/platform_list.h"

#include <string>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace thornhollow {
namespace {

std::string
StringField(const boost::json::object& aObject, std::string_view aName)
{
  const boost::json::value* found = aObject.if_contains(aName);
  return found != nullptr && found->is_string()
           ? std::string(found->get_string())
           : std::string();
}

void
ReadInstance(const boost::json::object& aObject, platform_list& aInto)
{
  const std::string name = StringField(aObject, "name");
  const std::string role = StringField(aObject, "role");
  const bool leaving = StringField(aObject, "state") == "leaving";
  if (name.empty()) {
    return;
  }
  if (role == "endpoint") {
    aInto.mEndpoints.push_back({ endpoint_name(name), leaving });
    return;
  }
  const std::string address = StringField(aObject, "peer_address");
  if (role == "router" && !address.empty()) {
    aInto.mRouters.mInstances.push_back(
      { instance_name(name),
        domain_name(StringField(aObject, "domain")),
        address,
        leaving });
  }
}

} // namespace

std::optional<platform_list>
ReadPlatformList(std::string_view aJson, std::uint64_t aVersion)
{
  boost::system::error_code wrong;
  const boost::json::value parsed = boost::json::parse(aJson, wrong);
  const boost::json::object* object = parsed.if_object();
  const boost::json::value* listed =
    object == nullptr ? nullptr : object->if_contains("instances");
  if (wrong || listed == nullptr || !listed->is_array()) {
    return std::nullopt;
  }
  platform_list list;
  list.mRouters.mVersion = aVersion;
  for (const boost::json::value& each : listed->get_array()) {
    const boost::json::object* entry = each.if_object();
    if (entry == nullptr) {
      return std::nullopt;
    }
    ReadInstance(*entry, list);
  }
  return list;
}

} // namespace thornhollow
