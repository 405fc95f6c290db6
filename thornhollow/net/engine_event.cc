#include "thornhollow/net/engine_event.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace thornhollow {
namespace {

std::optional<std::string>
StringField(const boost::json::object& aObject, std::string_view aName)
{
  const boost::json::value* found = aObject.if_contains(aName);
  if (found == nullptr || !found->is_string()) {
    return std::nullopt;
  }
  return std::string(found->get_string());
}

} // namespace

std::optional<engine_event>
ReadEngineEvent(std::string_view aJson)
{
  boost::system::error_code wrong;
  const boost::json::value parsed = boost::json::parse(aJson, wrong);
  const boost::json::object* object = parsed.if_object();
  if (wrong || object == nullptr) {
    return std::nullopt;
  }
  const auto id = StringField(*object, "id");
  if (!id) {
    return std::nullopt;
  }
  engine_event event;
  event.mId = request_id(*id);
  event.mToken = StringField(*object, "token");
  event.mFinishReason = StringField(*object, "finish_reason").value_or("");
  if (const boost::json::value* index = object->if_contains("index")) {
    event.mIndex = index->to_number<std::uint64_t>(wrong);
    if (wrong) {
      return std::nullopt;
    }
  } else if (event.mToken) {
    return std::nullopt;
  }
  return event;
}

} // namespace thornhollow
