#include "thornhollow/tools/instance_report.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace thornhollow {
namespace {

namespace json = boost::json;

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

std::optional<std::uint64_t>
CountField(const json::object& aObject, const char* aName)
{
  const json::value* field = aObject.if_contains(aName);
  if (field == nullptr || !field->is_number()) {
    return std::nullopt;
  }
  boost::system::error_code wrong;
  const auto count = field->to_number<std::uint64_t>(wrong);
  return wrong ? std::nullopt : std::optional(count);
}

std::vector<std::string>
TextsField(const json::object& aObject, const char* aName)
{
  std::vector<std::string> texts;
  const json::value* field = aObject.if_contains(aName);
  if (field != nullptr && field->is_array()) {
    for (const json::value& each : field->get_array()) {
      if (const json::string* text = each.if_string()) {
        texts.emplace_back(*text);
      }
    }
  }
  return texts;
}

std::vector<held_report>
HeldField(const json::object& aObject)
{
  std::vector<held_report> held;
  const json::value* field = aObject.if_contains("held");
  if (field == nullptr || !field->is_array()) {
    return held;
  }
  for (const json::value& each : field->get_array()) {
    if (const json::object* one = each.if_object()) {
      held.push_back({ TextField(*one, "what"),
                       CountField(*one, "at").value_or(0),
                       CountField(*one, "count").value_or(0),
                       CountField(*one, "age_ms"),
                       FlagField(*one, "failing") });
    }
  }
  return held;
}

} // namespace

std::optional<instance_report>
ParseInstanceReport(std::string_view aText)
{
  boost::system::error_code wrong;
  const json::value parsed =
    json::parse(json::string_view(aText.data(), aText.size()), wrong);
  if (wrong || !parsed.is_object()) {
    return std::nullopt;
  }
  const json::object& object = parsed.get_object();
  instance_report read;
  read.mName = instance_name(TextField(object, "name"));
  read.mDomain = domain_name(TextField(object, "domain"));
  if (read.mName.empty() || read.mDomain.empty()) {
    return std::nullopt;
  }
  read.mReady = FlagField(object, "ready");
  read.mDraining = FlagField(object, "draining");
  read.mRevision = CountField(object, "revision");
  read.mRefusedRevision = CountField(object, "refused_revision");
  read.mRefusedFaults = TextsField(object, "refused_faults");
  read.mInProgress = CountField(object, "in_progress").value_or(0);
  read.mPeersAlive = CountField(object, "peers_alive").value_or(0);
  read.mHeld = HeldField(object);
  return read;
}

} // namespace thornhollow
