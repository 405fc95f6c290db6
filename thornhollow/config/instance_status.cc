#include "thornhollow/config/instance_status.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace thornhollow {
namespace {

namespace json = boost::json;

json::object
RefusedObject(const refused_revision& aRefused)
{
  json::array texts;
  for (const std::string& each : aRefused.mFaults) {
    texts.emplace_back(each);
  }
  json::object refused;
  refused["version"] = aRefused.mVersion;
  refused["faults"] = std::move(texts);
  return refused;
}

std::optional<refused_revision>
ParseRefused(const json::object& aObject)
{
  refused_revision read;
  const json::value* version = aObject.if_contains("version");
  const json::value* texts = aObject.if_contains("faults");
  if (version == nullptr || texts == nullptr || !texts->is_array()) {
    return std::nullopt;
  }
  boost::system::error_code wrong;
  read.mVersion = version->to_number<std::uint64_t>(wrong);
  if (wrong) {
    return std::nullopt;
  }
  for (const json::value& each : texts->get_array()) {
    if (const json::string* text = each.if_string()) {
      read.mFaults.emplace_back(*text);
    }
  }
  return read;
}

std::string
TextField(const json::object& aObject, const char* aName)
{
  const json::value* field = aObject.if_contains(aName);
  const json::string* text = field != nullptr ? field->if_string() : nullptr;
  return text != nullptr ? std::string(*text) : std::string();
}

bool
FlagField(const json::object& aObject, const char* aName)
{
  const json::value* field = aObject.if_contains(aName);
  const bool* flag = field != nullptr ? field->if_bool() : nullptr;
  return flag != nullptr && *flag;
}

} // namespace

std::string
StatusJson(const instance_status& aStatus)
{
  json::object status;
  status["name"] = aStatus.mName.Text();
  status["domain"] = aStatus.mDomain.Text();
  status["ready"] = aStatus.mReady;
  status["draining"] = aStatus.mDraining;
  if (aStatus.mVersionInForce) {
    status["version_in_force"] = *aStatus.mVersionInForce;
  }
  if (aStatus.mRefused) {
    status["refused"] = RefusedObject(*aStatus.mRefused);
  }
  return json::serialize(status);
}

std::optional<instance_status>
ParseStatusJson(std::string_view aText)
{
  boost::system::error_code wrong;
  const json::value parsed = json::parse(aText, wrong);
  if (wrong || !parsed.is_object()) {
    return std::nullopt;
  }
  const json::object& object = parsed.get_object();
  instance_status read;
  read.mName = instance_name(TextField(object, "name"));
  read.mDomain = domain_name(TextField(object, "domain"));
  if (read.mName.empty() || read.mDomain.empty()) {
    return std::nullopt;
  }
  read.mReady = FlagField(object, "ready");
  read.mDraining = FlagField(object, "draining");
  if (const json::value* version = object.if_contains("version_in_force")) {
    const auto number = version->to_number<std::uint64_t>(wrong);
    if (wrong) {
      return std::nullopt;
    }
    read.mVersionInForce = number;
  }
  if (const json::value* refused = object.if_contains("refused");
      refused != nullptr && refused->is_object()) {
    read.mRefused = ParseRefused(refused->get_object());
  }
  return read;
}

} // namespace thornhollow
