// Which versions of a pool's endpoints have been listed, now and lately.
//
//   version_history history;
//   history.SetWindow(Seconds(25));
//   history.Put(endpoint, pool, version, now);
//   const listed_versions versions = history.Of(pool, now);
//
// If one version was the only one for longer than any stream lives, a stream
// that nothing else is known of began at that version.
#ifndef THORNHOLLOW_STREAMS_VERSION_HISTORY_H_
#define THORNHOLLOW_STREAMS_VERSION_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

#include "thornhollow/base/endpoint_hash.h"
#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"

namespace thornhollow {

enum class version_count : std::uint8_t
{
  // No endpoint of the pool was listed.
  kNone,
  // One version was the only one for the whole window.
  kSole,
  // The same as far as is known, which is for less than the window.
  kSoleSoFar,
  kSeveral,
};

// Versions of a pool's endpoints that were listed within the window.
struct listed_versions
{
  version_count mCount = version_count::kNone;
  // Of `kSole` and `kSoleSoFar`.
  endpoint_version_hash mVersion = kUnknownVersion;

  friend bool operator==(const listed_versions&,
                         const listed_versions&) = default;
};

class version_history
{
public:
  // The longest time for which a stream may be continued after its beginning.
  void SetWindow(duration aWindow) { mWindow = aWindow; }
  duration Window() const { return mWindow; }

  // An endpoint is listed with the version; one that it had before is no
  // longer.
  void Put(const endpoint_name& aEndpoint,
           const pool_name& aPool,
           endpoint_version_hash aVersion,
           time_point aNow);
  void Remove(const endpoint_name& aEndpoint, time_point aNow);
  // Versions may have come and gone unnoticed, or streams of other pools may be
  // continued in these: what is known begins now.
  void Restart(time_point aNow);

  listed_versions Of(const pool_name& aPool, time_point aNow) const;

private:
  struct presence
  {
    std::size_t mEndpoints = 0;
    // When the last of them went.
    time_point mUntil{};
  };
  struct pool_history
  {
    time_point mSince{};
    std::map<endpoint_version_hash, presence> mVersions;
  };

  duration mWindow = Seconds(60);
  std::map<pool_name, pool_history> mPools;
  std::map<endpoint_name, std::pair<pool_name, endpoint_version_hash>>
    mEndpoints;
};

} // namespace thornhollow

#endif // THORNHOLLOW_STREAMS_VERSION_HISTORY_H_
