// Which instances hold the origin of a stream.
//
//   const origin_holders holders(instances);
//   for (const std::string& each : holders.ToTell(key, ownDomain)) { ... }
//   for (const std::string& each : holders.ToAsk(key, ownDomain)) { ... }
//
// Every instance computes them from the stream's key and the instances that it
// knows, so that the one that continues a stream knows whom to ask although the
// one that began it is gone. Holders stand in several failure domains, so that
// the loss of one domain leaves others, and one stands in the domain of the
// instance that began the stream, for a domain that is cut off as a whole.
// One more instance of each domain is asked than is told, since the two sides
// may know different instances: one may have started or ended a moment ago.
#ifndef THORNHOLLOW_STREAMS_ORIGIN_HOLDERS_H_
#define THORNHOLLOW_STREAMS_ORIGIN_HOLDERS_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "thornhollow/base/ids.h"
#include "thornhollow/streams/stream_origin.h"

namespace thornhollow {

// An instance as seen from another one.
struct known_instance
{
  // Peer address, "ip:port".
  std::string mAddress;
  domain_name mDomain;

  friend bool operator==(const known_instance&,
                         const known_instance&) = default;
};

class origin_holders
{
public:
  // Failure domains with holders, beside the own one.
  static constexpr std::size_t kMaxDomains = 3;
  // Holders at least, as far as there are instances: with fewer domains,
  // several stand in each.
  static constexpr std::size_t kMinHolders = 3;

  // `aOthers`: the other instances that are alive.
  explicit origin_holders(const std::vector<known_instance>& aOthers);

  // Addresses of the instances to tell where the stream began.
  std::vector<std::string> ToTell(stream_key aStream,
                                  const domain_name& aOwnDomain) const;
  // Addresses of the instances to ask; includes those that any instance was
  // told to tell, as far as the two know the same instances.
  std::vector<std::string> ToAsk(stream_key aStream,
                                 const domain_name& aOwnDomain) const;

private:
  // `aMore`: instances of each domain beyond those that are told.
  std::vector<std::string> Choose(stream_key aStream,
                                  const domain_name& aOwnDomain,
                                  std::size_t aMore) const;

  std::map<domain_name, std::vector<std::string>> mByDomain;
};

} // namespace thornhollow

#endif // THORNHOLLOW_STREAMS_ORIGIN_HOLDERS_H_
