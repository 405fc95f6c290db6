// One daemon's memory of the idempotency keys that it witnesses.
//
//   key_witness witness(key_claim_settings{}, self, now);
//   witness.OnView(view, now);
//   const claim_answer answer = witness.OnRequest(request, now);
//
// A key is held by one submission of one process, then used, each for a key's
// lifetime from the last message about it; a holder renews while it works.
//
// Guards against a witness with no memory: a restarted or newly listed instance
// knows no key and would grant one that runs elsewhere, and two dispatch orders
// would go out. It grants, as it can't know better, but vouches only if it has
// been a witness for this key by every view that it held for longer than a key
// can live unseen (a lifetime and twice the views' lag), without a pause.
// Holders need one that vouches.
//
// Memory is bounded: with no room for another key the witness refuses. It never
// gives up a live one.
#ifndef THORNHOLLOW_FLEET_KEY_WITNESS_H_
#define THORNHOLLOW_FLEET_KEY_WITNESS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include <boost/intrusive/list.hpp>

#include "thornhollow/fleet/key_claims.h"

namespace thornhollow {

class key_witness
{
public:
  key_witness(const key_claim_settings& aSettings,
              instance_name aSelf,
              time_point aNow);
  ~key_witness();
  key_witness(const key_witness&) = delete;
  key_witness& operator=(const key_witness&) = delete;

  // Takes the declared domains and the platform's list as it was read, without
  // members known by gossip only. A list of a lower version than the last is
  // ignored. To be called again after a pause, when the list has been read
  // anew, even if it didn't change: until then no key is granted.
  void OnView(const claim_view& aView, time_point aNow);

  // Decides a claim, or notes what the holder tells; that needs no answer.
  claim_answer OnRequest(const claim_request& aRequest, time_point aNow);

  // Forgets what expired; notes a pause. To be called every 100 ms.
  void Tick(time_point aNow);

  // Keys remembered.
  std::size_t size() const { return mEntries.size(); }

private:
  enum class entry_state : std::uint8_t
  {
    kHeld,
    kUsed,
    // Given back; remembered, so that the claim, should it come late, isn't
    // granted after its own release.
    kReleased,
  };

  struct entry : boost::intrusive::list_base_hook<>
  {
    claim_key mKey = 0;
    std::uint64_t mFingerprint = 0;
    claim_holder mHolder;
    std::uint64_t mClaim = 0;
    entry_state mState = entry_state::kHeld;
    time_point mExpires{};
  };

  // What was in force from `mSince` until the next one.
  struct past_view
  {
    claim_view mView;
    time_point mSince{};
  };

  void DetectPause(time_point aNow);
  void Expire(time_point aNow);
  claim_view RestrictToOwnDomain(const claim_view& aView) const;
  bool Vouches(claim_key aKey, time_point aNow) const;
  bool IsWitnessIn(claim_key aKey, const claim_view& aView) const;

  claim_verdict Decide(const claim_request& aRequest, time_point aNow);
  // Of a key that nobody holds.
  claim_verdict DecideUnclaimed(const claim_request& aRequest, time_point aNow);
  void RecordUsed(const claim_request& aRequest, time_point aNow);
  void RecordReleased(const claim_request& aRequest, time_point aNow);
  // The entry of a request's key, made where there is none; null where there is
  // no room.
  entry* StoreEntry(const claim_request& aRequest, time_point aNow);
  void ExtendExpiry(entry& aEntry, time_point aNow);

  key_claim_settings mSettings;
  instance_name mSelf;
  // Since when nothing was forgotten and every view was seen.
  time_point mHistoryCompleteSince;
  time_point mLastCall;
  std::deque<past_view> mViews;
  std::unordered_map<claim_key, entry> mEntries;
  // In order of expiry: every entry lives equally long from its last message.
  boost::intrusive::list<entry> mExpiryOrder;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_KEY_WITNESS_H_
