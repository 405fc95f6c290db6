// The holder's side of idempotency keys: claims a submission's key from the
// key's witnesses before anything is sent to an endpoint.
//
//   key_holder holder(key_claim_settings{}, { self, epoch });
//   // Yields run_submission or refuse_submission, now or later.
//   Apply(holder.Submit(ticket, key, fingerprint, now));
//   Apply(holder.BeforeSend(ticket, now));  // before each attempt
//   Apply(holder.OnEnded(ticket, ran::kYes, now));
//
// Of two concurrent submissions with the same key at most one runs. The
// highest-ranked witness is asked first, on its own, so that one submission
// gets all grants and the other submission is denied at once; if the witnesses
// were asked in parallel, each submission could be denied by a witness that
// already granted the key to the other submission.
//
// Guards against a paused holder: after a pause it would still assume that it
// holds the key and send the request, although the witnesses have expired the
// key and another instance has run the request. A pause is detected as a long
// gap between two calls of the holder, or as a claim that was last requested
// more than half a key's lifetime ago; in both cases `BeforeSend` claims the
// key again before it returns `run_submission`. The other half of the lifetime
// is the margin between the check in `BeforeSend` and the bytes leaving the
// host. After a pause the view of the instances is outdated as well:
// submissions are refused until `OnView` delivers a new view. A submission
// older than a key's lifetime is not run at all.
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

// Number that identifies a submission within one process.
using submission_id = std::uint64_t;

// Tells the owner of the `key_holder` to send the request to the witness
// (possibly this instance itself) and to pass the answer to `OnAnswer`, or the
// failure to `OnUnreachable`.
struct request_grant
{
  instance_name mTo;
  claim_request mRequest;

  friend bool operator==(const request_grant&, const request_grant&) = default;
};

// Tells the owner of the `key_holder` to send the request to the witness and to
// report any answer to `OnNotified`.
struct notify_witness
{
  instance_name mTo;
  claim_request mRequest;

  friend bool operator==(const notify_witness&,
                         const notify_witness&) = default;
};

// Tells the owner of the `key_holder` that the submission holds its key and is
// to be sent now.
struct run_submission
{
  submission_id mSubmission = 0;

  friend bool operator==(const run_submission&,
                         const run_submission&) = default;
};

// Tells the owner of the `key_holder` that the submission must not run and is
// no longer tracked. If `Submit` or `BeforeSend` returns this action for a
// submission, it has not returned `run_submission` in the same call.
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

  // Sets the declared domains and the platform's list as read, without members
  // known only through gossip. A list with a lower version than the last list
  // is ignored. Call `OnView` again after a pause, once the list has been
  // re-read, even if the list is unchanged: submissions are refused until this
  // call.
  void OnView(const claim_view& aView, time_point aNow);

  // Starts a new submission. `aFingerprint` is a hash of the request.
  key_actions Submit(submission_id aSubmission,
                     claim_key aKey,
                     std::uint64_t aFingerprint,
                     time_point aNow);

  // Must be called before each attempt to send the submission to an endpoint,
  // and only while no attempt of the submission has run yet. Returns
  // `run_submission` at once while the claim is known to be valid. If it is
  // not, `run_submission` or `refuse_submission` follows once the key has been
  // claimed again.
  key_actions BeforeSend(submission_id aSubmission, time_point aNow);

  key_actions OnAnswer(const claim_answer& aAnswer, time_point aNow);

  // Reports that `aWitness` could not be reached with `aRequest` or did not
  // answer in time.
  key_actions OnUnreachable(const instance_name& aWitness,
                            const claim_request& aRequest,
                            time_point aNow);

  // Reports that `aWitness` acknowledged the notification `aRequest`, so that
  // the notification need not be repeated.
  void OnNotified(const instance_name& aWitness, const claim_request& aRequest);

  // Reports that the submission received its final answer. If `aRan` is
  // `ran::kNo`, the submission's key is free again; any other value marks the
  // key as used.
  key_actions OnEnded(submission_id aSubmission, ran aRan, time_point aNow);

  // Renews claims, repeats unacknowledged notifications and times out pending
  // requests to witnesses. Call it every 100 ms.
  key_actions Tick(time_point aNow);

  // Number of submissions with a key that are in progress.
  std::size_t size() const { return mClaims.size(); }

private:
  struct claim
  {
    submission_id mSubmission = 0;
    claim_request mRequest;
    std::vector<instance_name> mPending;
    std::vector<instance_name> mGranted;
    // Every witness that was ever contacted about this claim; all of them are
    // notified when the submission ends.
    std::vector<instance_name> mContacted;
    bool mVouched = false;
    bool mHeld = false;
    time_point mSubmittedAt{};
    // When the current round of requests to the key's witnesses started.
    time_point mRoundStartedAt{};
    // Time of the last request sent to a witness in the current round.
    time_point mLastRequestAt{};
    // When to renew the claim next. Set once the submission may have been sent,
    // and kept when the claim is no longer known to be valid, because the
    // request may be running.
    std::optional<time_point> mNextRenewal;
  };

  // Notification that a submission has ended, repeated to witnesses that have
  // not acknowledged it: if the message were lost, the key would stay held for
  // a lifetime.
  struct pending_notification
  {
    claim_request mRequest;
    std::vector<instance_name> mUnacknowledged;
    std::size_t mRetries = 0;
    time_point mRetryAt{};
  };

  void DetectPause(time_point aNow);
  claim* FindBySubmission(submission_id aSubmission);
  // Starts a new round of requests for the key, beginning with the
  // highest-ranked witness.
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
  // Notifies all contacted witnesses that the submission has ended and erases
  // its claim.
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
