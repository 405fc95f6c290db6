// The daemon that got a submission with an idempotency key: it claims the key
// from the key's witnesses before anything is sent to an endpoint.
//
//   key_holder holder(key_claim_settings{}, { self, epoch });
//   Apply(holder.Submit(ticket, key, fingerprint, now));  // run_submission,
//   refuse_submission
//   ...                                                   // or later
//   Apply(holder.BeforeSend(ticket, now));                // before each
//   attempt Apply(holder.OnEnded(ticket, ran::kYes, now));
//
// Of two submissions at once at most one runs: the witness of the highest rank
// is asked alone first, so that one of the two gets all grants and the other is
// denied at once, instead of each being denied by the other's witness.
//
// Guards against a holder that was paused: it wakes, still believing that it
// holds the key, and sends the order, after the witnesses forgot it and another
// daemon ran it. It shows as a gap between two calls, or as a claim older than
// half a key's lifetime; `BeforeSend` then claims again before it says run. The
// other half is the margin for the time between that and the bytes leaving.
// After a pause the view of the instances is too old as well: submissions are
// refused until `OnView` brings one. A submission older than a lifetime is not
// run at all.
#ifndef THORNHOLLOW_FLEET_KEY_HOLDER_H_
#define THORNHOLLOW_FLEET_KEY_HOLDER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "thornhollow/base/error.h"
#include "thornhollow/fleet/key_claims.h"

namespace thornhollow {

// Names a submission within one process.
using submission_id = std::uint64_t;

// Send this to the witness (possibly this daemon itself) and hand its answer to
// `OnAnswer`, or the lack of one to `OnUnreachable`.
struct request_grant
{
  instance_name mTo;
  claim_request mRequest;

  friend bool operator==(const request_grant&, const request_grant&) = default;
};

// Send this to the witness and report any answer to `OnNotified`.
struct notify_witness
{
  instance_name mTo;
  claim_request mRequest;

  friend bool operator==(const notify_witness&,
                         const notify_witness&) = default;
};

// The submission holds its key: send it now.
struct run_submission
{
  submission_id mSubmission = 0;

  friend bool operator==(const run_submission&,
                         const run_submission&) = default;
};

// The submission must not run. It has not been sent by a `run_submission` that
// followed from the refused call; it is forgotten.
struct refuse_submission
{
  submission_id mSubmission = 0;
  error_kind mKind = error_kind::kKeyWitnessUnreachable;

  friend bool operator==(const refuse_submission&,
                         const refuse_submission&) = default;
};

using key_action = std::
  variant<request_grant, notify_witness, run_submission, refuse_submission>;
using key_actions = std::vector<key_action>;

class key_holder
{
public:
  key_holder(const key_claim_settings& aSettings, claim_holder aSelf);

  // Takes the declared domains and the platform's list as it was read, without
  // members known by gossip only. A list of a lower version than the last is
  // ignored. To be called again after a pause, when the list has been read
  // anew, even if it didn't change: until then no key is granted.
  void OnView(const claim_view& aView, time_point aNow);

  // A new submission. `aFingerprint` is a hash of the request.
  key_actions Submit(submission_id aSubmission,
                     claim_key aKey,
                     std::uint64_t aFingerprint,
                     time_point aNow);

  // Must be called before the submission is sent to an endpoint, each time, and
  // only while nothing has been run yet. Comes back with `run_submission` at
  // once while the claim is sure, else when it has been claimed again.
  key_actions BeforeSend(submission_id aSubmission, time_point aNow);

  key_actions OnAnswer(const claim_answer& aAnswer, time_point aNow);

  // The witness could not be asked `aRequest`, or did not answer in time.
  key_actions OnUnreachable(const instance_name& aWitness,
                            const claim_request& aRequest,
                            time_point aNow);

  // The witness answered what it was told; it need not be told again.
  void OnNotified(const instance_name& aWitness, const claim_request& aRequest);

  // The submission got its final answer. After `ran::kNo` its key is free
  // again; else it is used up.
  key_actions OnEnded(submission_id aSubmission, ran aRan, time_point aNow);

  // Renews claims, repeats messages, ends what waited too long. To be called
  // every 100 ms.
  key_actions Tick(time_point aNow);

  // Submissions in progress.
  std::size_t size() const { return mClaims.size(); }

private:
  struct claim
  {
    submission_id mSubmission = 0;
    claim_request mRequest;
    std::vector<instance_name> mPending;
    std::vector<instance_name> mGranted;
    // Everyone who was ever asked; all of them are told the end.
    std::vector<instance_name> mContacted;
    bool mVouched = false;
    bool mHeld = false;
    time_point mSubmittedAt{};
    // When the present round of questions began.
    time_point mRoundStartedAt{};
    // When the last question of it was asked.
    time_point mLastRequestAt{};
    // Set once the submission may have been sent, also while the claim isn't
    // sure any more: it may be running.
    std::optional<time_point> mNextRenewal;
  };

  // Told once more to those that didn't answer, as a lost message would keep
  // the key held for a lifetime.
  struct pending_notification
  {
    claim_request mRequest;
    std::vector<instance_name> mUnacknowledged;
    std::size_t mRetries = 0;
    time_point mRetryAt{};
  };

  void DetectPause(time_point aNow);
  claim* FindBySubmission(submission_id aSubmission);
  // Starts asking, from the first witness on.
  void StartRound(claim& aClaim, time_point aNow, key_actions& aOut);
  void RequestGrant(claim& aClaim,
                    const instance_name& aWitness,
                    time_point aNow,
                    key_actions& aOut);
  void OnGranted(claim& aClaim,
                 const claim_answer& aAnswer,
                 time_point aNow,
                 key_actions& aOut);
  void Refuse(const claim& aClaim,
              error_kind aKind,
              time_point aNow,
              key_actions& aOut);
  // Tells all witnesses and forgets the claim.
  void FinishClaim(const claim& aClaim,
                   claim_kind aKind,
                   time_point aNow,
                   key_actions& aOut);
  void Renew(claim& aClaim, time_point aNow, key_actions& aOut);
  void RetryNotifications(time_point aNow, key_actions& aOut);

  key_claim_settings mSettings;
  claim_holder mSelf;
  claim_view mView;
  std::uint64_t mLastListVersion = 0;
  std::uint64_t mLastClaim = 0;
  std::optional<time_point> mLastCall;
  std::unordered_map<claim_key, claim> mClaims;
  std::unordered_map<submission_id, claim_key> mKeyBySubmission;
  std::vector<pending_notification> mPendingNotifications;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_KEY_HOLDER_H_
