// The witness's side of idempotency keys: the keys that one instance remembers.
//
//   key_witness witness(key_claim_settings{}, self, now);
//   witness.OnView(view, now);
//   const claim_answer answer = witness.OnRequest(request, now);
//
// A key is held by one submission of one process, then marked used. Each of
// these two states lasts for one lifetime after the last message about the key;
// holders renew the claim while the submission runs.
//
// Guards against a witness that lost its memory: a restarted or newly listed
// instance knows no keys and would grant a key whose request is running
// elsewhere, so that the request would be run twice. A witness that may have
// lost its memory grants the key, because it cannot know better, but does not
// vouch. A witness vouches only if it has been a witness for the key in every
// view for longer than a key can stay alive unseen (a lifetime plus twice the
// view lag), without a pause. Holders require at least one witness that
// vouches.
//
// Memory is bounded: a witness that remembers the maximum number of keys
// refuses new keys and never evicts a live key.
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

  // Sets the declared domains and the platform's list as read, without members
  // known only through gossip. A list with a lower version than the last list
  // is ignored. Call `OnView` again after a pause, once the list has been
  // re-read, even if the list is unchanged: no key is granted until this call.
  void OnView(const claim_view& aView, time_point aNow);

  // Decides whether to grant a claimed key, or records that a submission has
  // ended. The answer to a request that records an end only acknowledges that
  // request.
  claim_answer OnRequest(const claim_request& aRequest, time_point aNow);

  // Erases expired keys and detects pauses. Call it every 100 ms.
  void Tick(time_point aNow);

  // Number of keys remembered.
  std::size_t size() const { return mEntries.size(); }

private:
  enum class entry_state : std::uint8_t
  {
    kHeld,
    kUsed,
    // The key was released. The entry is kept so that a claim that arrives
    // after its own release is not granted.
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

  // A view of the domains and instances that was in force from `mSince` until
  // the next view.
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
  // Decides a claim of a key that is not held.
  claim_verdict DecideUnclaimed(const claim_request& aRequest, time_point aNow);
  void RecordUsed(const claim_request& aRequest, time_point aNow);
  void RecordReleased(const claim_request& aRequest, time_point aNow);
  // Stores the request as a held entry, replacing any entry of its key. Returns
  // null if the table is full.
  entry* StoreEntry(const claim_request& aRequest, time_point aNow);
  void ExtendExpiry(entry& aEntry, time_point aNow);

  key_claim_settings mSettings;
  instance_name mSelf;
  // Time since which this witness has lost no key and has received every view.
  time_point mHistoryCompleteSince;
  time_point mLastCall;
  std::deque<past_view> mViews;
  std::unordered_map<claim_key, entry> mEntries;
  // Entries ordered by expiry, earliest first: every entry expires one lifetime
  // after the last message about its key.
  boost::intrusive::list<entry> mExpiryOrder;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_KEY_WITNESS_H_
