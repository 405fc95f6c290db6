// When an instance asks a peer for what that one has heard of the source.
//
//   copy_requests requests(copy_request_settings{});
//   if (const auto from = requests.Tick(peers, mine, reads, now)) {
//     ... ask it for the copies that it has later revisions of ...
//     ... requests.OnBytes(which, now) for each part of an answer ...
//   }
//
// Guards against news that reaches some instances only: the source turns this
// one away, or its open watch will never answer. It shows as a copy that stays
// behind a peer's for longer than the source's own word takes.
//
// Guards against peers that know but can't tell in time: a large copy that many
// ask for, a peer's link that is full or cut. It shows as a copy that stays
// behind though it is asked for again and again; the instance then asks the
// source, as if nobody read it for all.
//
// Guards against a large copy that never comes whole on a narrow link, as it is
// asked for once more while it comes: one of which a part came a moment ago is
// waited for, and isn't in vain.
#ifndef THORNHOLLOW_FLEET_COPY_REQUESTS_H_
#define THORNHOLLOW_FLEET_COPY_REQUESTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "thornhollow/base/time.h"
#include "thornhollow/fleet/relay_peers.h"

namespace thornhollow {

// Which copy is asked for.
enum class copied_items : std::uint8_t
{
  kConfiguration,
  kEndpoints,
};

struct copy_request_settings
{
  // Behind for so long: the source's own word takes a few milliseconds, and
  // most are told by it.
  duration mSourceGracePeriod = Milliseconds(250);
  // Between two questions while still behind.
  duration mRequestInterval = Milliseconds(250);
  // Behind the same revision for so long: two questions were in vain. Of the
  // two seconds in which a change must be in force, the rest is for the
  // source's answer and for reading it.
  duration mSourceFallbackDelay = Milliseconds(700);
  // Between two parts of an answer: a lost packet comes again within.
  duration mTransferTimeout = Milliseconds(600);

  friend bool operator==(const copy_request_settings&,
                         const copy_request_settings&) = default;
};

class copy_requests
{
public:
  explicit copy_requests(const copy_request_settings& aSettings)
    : mSettings(aSettings)
  {
  }

  // The peer to ask now, if any, and for which copies. To be called every 100
  // ms.
  // `aReads`: this instance asks the source itself; else it is told of nothing
  // by it, and asks a peer at once.
  std::optional<newer_copy> Tick(const relay_peers& aPeers,
                                 const known_revisions& aOwn,
                                 bool aReads,
                                 time_point aNow);

  // A part of a peer's answer came, and the answer's end.
  void OnBytes(copied_items aWhich, time_point aNow);
  void OnEnded(copied_items aWhich);
  // The peer has given as many large copies as it may: another one is asked at
  // the next look.
  void OnDeclined() { mNextRequest = time_point{}; }

  // Whether peers were asked in vain for so long that this instance is to ask
  // the source itself.
  bool NeedsSource(time_point aNow) const;

private:
  bool IsInTransfer(copied_items aWhich, time_point aNow) const;

  copy_request_settings mSettings;
  // Since when some peer has known more at each look.
  std::optional<time_point> mBehindSince;
  // Since when a peer is known to hold `mTargetRevisions`, which isn't held
  // here, and no copy comes.
  std::optional<time_point> mNoProgressSince;
  known_revisions mTargetRevisions;
  time_point mNextRequest{};
  std::uint64_t mAttempt = 0;
  // When the last part came of a copy that isn't whole, by which one it is.
  std::array<std::optional<time_point>, 2> mLastBytes;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_COPY_REQUESTS_H_
