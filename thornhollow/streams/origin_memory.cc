#include "thornhollow/streams/origin_memory.h"

namespace thornhollow {

void
origin_memory::Put(const stream_origin& aOrigin, time_point aNow)
{
  const auto [found, isNew] = mEntries.try_emplace(aOrigin.mStream);
  entry& kept = found->second;
  if (isNew) {
    kept.mStream = aOrigin.mStream;
    kept.mVersion = aOrigin.mVersion;
  } else if (kept.mVersion != aOrigin.mVersion) {
    kept.mVersion = kUnknownVersion;
  }
  kept.mPutAt = aNow;
  kept.unlink();
  mByAge.push_back(kept);
  if (mEntries.size() > kMaxEntries) {
    mEntries.erase(mByAge.front().mStream);
  }
}

std::optional<endpoint_version_hash>
origin_memory::Find(stream_key aStream) const
{
  const auto found = mEntries.find(aStream);
  return found == mEntries.end() ? std::nullopt
                                 : std::optional(found->second.mVersion);
}

void
origin_memory::Tick(time_point aNow)
{
  while (!mByAge.empty() && aNow - mByAge.front().mPutAt >= mRetention) {
    mEntries.erase(mByAge.front().mStream);
  }
}

} // namespace thornhollow
