// Manifests and parts that an instance holds, by digest: what it reads its own
// configuration from and what it hands to peers.
//
//   if (store.Put(digest, std::move(bytes))) { ... }
//   if (const bytes_ptr held = store.Find(digest)) { ... held->mText ... }
//
#ifndef THORNHOLLOW_CONFIG_PART_STORE_H_
#define THORNHOLLOW_CONFIG_PART_STORE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace thornhollow {

// Immutable bytes; counted, so that a reader on another thread keeps them.
struct held_bytes : boost::intrusive_ref_counter<held_bytes>
{
  explicit held_bytes(std::string aText)
    : mText(std::move(aText))
  {
  }

  const std::string mText;
};

using bytes_ptr = boost::intrusive_ptr<const held_bytes>;

class part_store
{
public:
  // False, and nothing is kept, where `aText` doesn't have `aDigest`: a peer or
  // the platform gave other bytes than were asked for.
  bool Put(const std::string& aDigest, std::string aText);

  // Null where the bytes aren't held.
  bytes_ptr Find(std::string_view aDigest) const;

  // Drops everything that isn't in `aDigests`.
  void Retain(const std::unordered_set<std::string_view>& aDigests);

  std::size_t size() const { return mHeld.size(); }

private:
  std::unordered_map<std::string, bytes_ptr> mHeld;
};

} // namespace thornhollow

#endif // THORNHOLLOW_CONFIG_PART_STORE_H_
