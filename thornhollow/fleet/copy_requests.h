// Decides when an instance requests a copy of the source's items from a peer.
//
//   copy_requests requests(copy_request_settings{});
//   if (const auto from = requests.Tick(peers, own, reads, now)) {
//     ... request from that peer the copies that are later than `own` ...
//     ... requests.OnBytes(which, now) for each received chunk ...
//   }
//
// Guards against changes that reach only some instances: the source does not
// serve this instance, or the source will never answer the open watch of this
// instance. The copy of this instance then stays behind that of a peer for
// longer than an answer of the source takes.
//
// Guards against peers that hold the copy but cannot send it in time, because
// it is large and many request it, or because the link of a peer is saturated
// or down. If the copy of this instance stays behind despite repeated requests,
// the instance asks the source as if there were no readers.
//
// Guards against a large copy that never completes on a narrow link because it
// is requested again during the transfer. A copy of which bytes arrived
// recently is waited for, and its request does not count as failed.
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

// Which copy of the source's items is requested from a peer.
enum class copied_items : std::uint8_t
{
  kConfiguration,
  kEndpoints,
};

struct copy_request_settings
{
  // A reader asks a peer only after the reader's copy has been behind a peer's
  // copy for this long: the answer of the source takes a few milliseconds and
  // usually arrives first.
  duration mSourceGracePeriod = Milliseconds(250);
  // Minimum time between two requests to peers while a copy of this instance is
  // behind a peer's copy, unless the peer declined the first request.
  duration mRequestInterval = Milliseconds(250);
  // The source is asked once a copy has been behind the same revision for this
  // long without a transfer in progress, which is time for two failed requests
  // to peers. A change must be in force within two seconds; the time that
  // remains is for the answer of the source and for parsing it.
  duration mSourceFallbackDelay = Milliseconds(700);
  // Maximum pause between two chunks of an answer; after a longer pause the
  // transfer is no longer waited for. A lost packet is retransmitted within
  // this time.
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

  // Returns the peer to ask now, if any, and for which copies. To be called
  // every 100 ms. `aReads`: whether this instance reads the source itself. An
  // instance that does not read the source asks a peer without delay.
  std::optional<newer_copy> Tick(const relay_peers& aPeers,
                                 const known_revisions& aOwn,
                                 bool aReads,
                                 time_point aNow);

  // `OnBytes` is to be called for each received chunk of a peer's answer, and
  // `OnEnded` when the answer has ended.
  void OnBytes(copied_items aWhich, time_point aNow);
  void OnEnded(copied_items aWhich);
  // To be called when a peer declined the request because it is already sending
  // as many large copies as its limit allows. The next `Tick` need not wait for
  // `mRequestInterval` and chooses anew among the peers.
  void OnDeclined() { mNextRequest = time_point{}; }

  // Whether requests to peers have failed for so long that this instance should
  // ask the source itself.
  bool NeedsSource(time_point aNow) const;

private:
  bool IsInTransfer(copied_items aWhich, time_point aNow) const;

  copy_request_settings mSettings;
  // Since when every `Tick` has found a peer with a later revision.
  std::optional<time_point> mBehindSince;
  // Since when a peer is known to hold `mTargetRevisions`, which this instance
  // lacks, and no copy is being transferred.
  std::optional<time_point> mNoProgressSince;
  known_revisions mTargetRevisions;
  time_point mNextRequest{};
  std::uint64_t mAttempt = 0;
  // When the last chunk of an incomplete transfer arrived, indexed by
  // `copied_items`; unset once the transfer has ended.
  std::array<std::optional<time_point>, 2> mLastBytes;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_COPY_REQUESTS_H_
