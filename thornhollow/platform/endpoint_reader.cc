#include "thornhollow/platform/endpoint_reader.h"

#include <algorithm>
#include <limits>

#include <boost/json/object.hpp>

#include "thornhollow/net/address.h"
#include "thornhollow/platform/json_fields.h"
#include "thornhollow/platform/wire_names.h"

namespace thornhollow::platform {
namespace {

// The longest name that is told to peers.
constexpr std::size_t kMaxNameBytes = 128;
constexpr std::uint64_t kMaxStartedMs =
  std::numeric_limits<std::int64_t>::max();

// A name goes into a header of each request to its endpoint, and any other
// character could end that header.
bool
IsEndpointName(std::string_view aName)
{
  return !aName.empty() && aName.size() <= kMaxNameBytes &&
         std::ranges::all_of(
           aName, [](char aEach) { return aEach > ' ' && aEach <= '~'; });
}

result<std::string>
NameField(const boost::json::object& aFields, std::string_view aName)
{
  BOOST_LEAF_AUTO(name, TextField(aFields, aName));
  if (name.size() > kMaxNameBytes) {
    return Fail(error_kind::kMalformedRequest,
                std::string(aName) + ": too long");
  }
  return name;
}

result<std::string>
AddressField(const boost::json::object& aFields)
{
  BOOST_LEAF_AUTO(address, NameField(aFields, "address"));
  BOOST_LEAF_AUTO(parsed, ParseAddress(address));
  if (parsed.mPort == 0) {
    return Fail(error_kind::kMalformedRequest, "address: port is 0");
  }
  return address;
}

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
  if (started > kMaxStartedMs) {
    return Fail(error_kind::kMalformedRequest, "born: out of range");
  }
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
  if (!IsEndpointName(read.mName.Text())) {
    return Fail(error_kind::kMalformedRequest, "key has no endpoint name");
  }
  BOOST_LEAF_AUTO(pool, NameField(fields, "service"));
  read.mPool = pool_name(pool);
  BOOST_LEAF_ASSIGN(read.mAddress, AddressField(fields));
  BOOST_LEAF_AUTO(domain, NameField(fields, "zone"));
  read.mDomain = domain_name(domain);
  BOOST_LEAF_AUTO(version, NameField(fields, "version"));
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
