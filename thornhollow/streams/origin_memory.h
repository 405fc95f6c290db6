// Remembers for a limited time at which versions streams began.
//
//   origin_memory memory(Seconds(25));
//   memory.Put({ key, version }, now);
//   if (const auto version = memory.Find(key)) { ... }
//   memory.Tick(now);
//
// Two different versions for one stream make its version unknown for good: one
// of them is wrong, and a stream that is continued at the wrong version is
// worse than one that isn't continued.
#ifndef THORNHOLLOW_STREAMS_ORIGIN_MEMORY_H_
#define THORNHOLLOW_STREAMS_ORIGIN_MEMORY_H_

#include <cstddef>
#include <optional>
#include <unordered_map>

#include <boost/intrusive/list.hpp>

#include "thornhollow/base/time.h"
#include "thornhollow/streams/stream_origin.h"

namespace thornhollow {

class origin_memory
{
public:
  // Bounds the memory to a few megabytes; the entry that was put the longest
  // time ago is dropped for a new one. Far above what an instance of a large
  // fleet holds for others.
  static constexpr std::size_t kMaxEntries = 32'768;

  // Entries are kept for `aRetention` after they were last put.
  explicit origin_memory(duration aRetention)
    : mRetention(aRetention)
  {
  }

  void SetRetention(duration aRetention) { mRetention = aRetention; }

  void Put(const stream_origin& aOrigin, time_point aNow);
  // `kUnknownVersion` if the stream is known and its version is not; nothing if
  // the stream isn't known.
  std::optional<endpoint_version_hash> Find(stream_key aStream) const;
  // Forgets what is older than the retention. To be called now and then.
  void Tick(time_point aNow);

  std::size_t size() const { return mEntries.size(); }

private:
  struct entry
    : boost::intrusive::list_base_hook<
        boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
  {
    stream_key mStream;
    endpoint_version_hash mVersion = kUnknownVersion;
    time_point mPutAt{};
  };

  duration mRetention;
  std::unordered_map<stream_key, entry> mEntries;
  // In the order in which they were last put.
  boost::intrusive::list<entry, boost::intrusive::constant_time_size<false>>
    mByAge;
};

} // namespace thornhollow

#endif // THORNHOLLOW_STREAMS_ORIGIN_MEMORY_H_
