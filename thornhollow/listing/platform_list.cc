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
ReadInstance(const boost::json::object& aObject, platform_list& aList)
{
  const std::string name = StringField(aObject, "name");
  const std::string role = StringField(aObject, "role");
  const bool leaving = StringField(aObject, "state") == "leaving";
  if (name.empty()) {
    return;
  }
  if (role == "endpoint") {
    aList.mEndpoints.push_back({ endpoint_name(name), leaving });
    return;
  }
  const std::string address = StringField(aObject, "peer_address");
  if (role == "router" && !address.empty()) {
    aList.mRouters.mInstances.push_back(
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
  boost::system::error_code error;
  const boost::json::value parsed = boost::json::parse(aJson, error);
  const boost::json::object* root = parsed.if_object();
  const boost::json::value* instances =
    root == nullptr ? nullptr : root->if_contains("instances");
  if (error || instances == nullptr || !instances->is_array()) {
    return std::nullopt;
  }
  platform_list list;
  list.mRouters.mVersion = aVersion;
  for (const boost::json::value& each : instances->get_array()) {
    const boost::json::object* entry = each.if_object();
    if (entry == nullptr) {
      return std::nullopt;
    }
    ReadInstance(*entry, list);
  }
  return list;
}

} // namespace thornhollow
