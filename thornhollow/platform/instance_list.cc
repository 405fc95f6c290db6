#include "thornhollow/platform/instance_list.h"

#include <utility>

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

std::optional<listed_instance>
ReadInstance(const boost::json::object& aObject)
{
  listed_instance one;
  one.mName = StringField(aObject, "name");
  const std::string role = StringField(aObject, "role");
  if (one.mName.empty() || (role != "router" && role != "endpoint")) {
    return std::nullopt;
  }
  one.mRole = role == "router" ? listed_role::kRouter : listed_role::kEndpoint;
  one.mDomain = domain_name(StringField(aObject, "domain"));
  one.mAddress = StringField(aObject, "address");
  one.mPeerAddress = StringField(aObject, "peer_address");
  one.mLeaving = StringField(aObject, "state") == "leaving";
  return one;
}

} // namespace

std::optional<instance_list>
ReadInstanceList(std::string_view aJson)
{
  boost::system::error_code wrong;
  const boost::json::value parsed = boost::json::parse(aJson, wrong);
  const boost::json::object* object = parsed.if_object();
  const boost::json::value* listed =
    object == nullptr ? nullptr : object->if_contains("instances");
  if (wrong || listed == nullptr || !listed->is_array()) {
    return std::nullopt;
  }
  instance_list list;
  for (const boost::json::value& each : listed->get_array()) {
    const boost::json::object* entry = each.if_object();
    if (entry == nullptr) {
      return std::nullopt;
    }
    if (auto one = ReadInstance(*entry)) {
      list.push_back(*std::move(one));
    }
  }
  return list;
}

} // namespace thornhollow
