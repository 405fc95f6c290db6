#include "thornhollow/platform/endpoint_reader.h"

#include <algorithm>

#include <boost/json/object.hpp>

#include "thornhollow/net/address.h"
#include "thornhollow/platform/json_fields.h"
#include "thornhollow/platform/wire_names.h"

namespace thornhollow::platform {
namespace {

result<bool>
ReadDraining(const boost::json::object& aFields)
{
  BOOST_LEAF_AUTO(state, TextField(aFields, "state"));
  if (state != "ready" && state != "draining") {
    return Fail(error_kind::kMalformedRequest, "state: unknown value");
  }
  return state == "draining";
}

// The same name in entries and in what endpoints report of themselves.
result<std::int64_t>
StartTimeField(const boost::json::object& aFields)
{
  BOOST_LEAF_AUTO(started, OptionalCount(aFields, "born", 0));
  return static_cast<std::int64_t>(started);
}

} // namespace

endpoint_name
EndpointName(std::string_view aKey)
{
  aKey.remove_prefix(std::min(kEndpointPrefix.size(), aKey.size()));
  return endpoint_name(std::string(aKey));
}

result<listed_endpoint>
ReadEndpoint(std::string_view aKey, std::string_view aBytes)
{
  BOOST_LEAF_AUTO(fields, ParseObject(aBytes));
  listed_endpoint read;
  read.mName = EndpointName(aKey);
  if (read.mName.empty()) {
    return Fail(error_kind::kMalformedRequest, "key has no endpoint name");
  }
  BOOST_LEAF_AUTO(pool, TextField(fields, "service"));
  read.mPool = pool_name(pool);
  BOOST_LEAF_ASSIGN(read.mAddress, TextField(fields, "address"));
  BOOST_LEAF_CHECK(ParseAddress(read.mAddress));
  BOOST_LEAF_AUTO(domain, TextField(fields, "zone"));
  read.mDomain = domain_name(domain);
  BOOST_LEAF_AUTO(version, TextField(fields, "version"));
  read.mVersion = software_version(version);
  BOOST_LEAF_AUTO(slots, CountField(fields, "slots"));
  read.mSlots = ClampToUint32(slots);
  BOOST_LEAF_ASSIGN(read.mDraining, ReadDraining(fields));
  // "cold_remaining_ms" is the remaining warm-up time, not the time since the
  // process started.
  BOOST_LEAF_ASSIGN(read.mWarmUp,
                    MillisecondsField(fields, "cold_remaining_ms"));
  BOOST_LEAF_CHECK(CountField(fields, "sequence_number"));
  BOOST_LEAF_ASSIGN(read.mStartedMs, StartTimeField(fields));
  return read;
}

result<std::int64_t>
ReadStartTime(std::string_view aBytes)
{
  BOOST_LEAF_AUTO(fields, ParseObject(aBytes));
  return StartTimeField(fields);
}

} // namespace thornhollow::platform
