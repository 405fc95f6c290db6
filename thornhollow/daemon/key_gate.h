// Idempotency keys of one instance: the holder for its own submissions, the
// witness for those of all holders, and the messages between holders and
// witnesses.
//
//   key_gate gate(settings, self, ask, listener);
//   gate.Submit(ticket, team, key, fingerprint);   // listener: run or refuse
//   gate.BeforeSend(ticket);                       // before each attempt
//   gate.OnEnded(ticket, ran::kYes);
//
// The protocol logic is in fleet/key_holder.h and fleet/key_witness.h.
#ifndef THORNHOLLOW_DAEMON_KEY_GATE_H_
#define THORNHOLLOW_DAEMON_KEY_GATE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "thornhollow/base/error.h"
#include "thornhollow/fleet/key_claims.h"
#include "thornhollow/fleet/key_holder.h"
#include "thornhollow/fleet/key_witness.h"

namespace thornhollow {

// Sends a claim of an idempotency key to a witness other than this instance.
// The callback receives the witness's answer, or nullopt if the witness cannot
// be reached, and is called exactly once, asynchronously.
using claim_sender =
  std::function<void(const instance_name&,
                     const claim_request&,
                     std::function<void(std::optional<claim_answer>)>)>;

struct key_listener
{
  // Called when the submission may be sent to an endpoint, either from within
  // `Submit` and `BeforeSend` or later.
  std::function<void(submission_id)> mRun;
  std::function<void(submission_id, error_kind)> mRefused;
};

class key_gate
{
public:
  key_gate(const key_claim_settings& aSettings,
           const claim_holder& aSelf,
           claim_sender aSendClaim,
           key_listener aListener);
  key_gate(const key_gate&) = delete;
  key_gate& operator=(const key_gate&) = delete;
  ~key_gate();

  // Updates the declared domains and the platform's list of instances.
  void OnView(const claim_view& aView);

  void Submit(submission_id aSubmission,
              const team_name& aTeam,
              std::string_view aIdempotencyKey,
              std::uint64_t aFingerprint);
  void BeforeSend(submission_id aSubmission);
  void OnEnded(submission_id aSubmission, ran aRan);

  // Handles the claim of a peer for which this instance is the witness, and
  // returns the answer.
  claim_answer OnPeerClaim(const claim_request& aRequest);

  // Must be called every 100 ms.
  void Tick();

private:
  class core;
  std::shared_ptr<core> mCore;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_KEY_GATE_H_
