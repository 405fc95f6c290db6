#include "thornhollow/daemon/key_gate.h"

#include <utility>
#include <variant>

#include "thornhollow/net/clock.h"

namespace thornhollow {
class key_gate::core : public std::enable_shared_from_this<core>
{
public:
  core(const key_claim_settings& aSettings,
       const claim_holder& aSelf,
       claim_sender aSendClaim,
       key_listener aListener)
    : mSelf(aSelf.mName)
    , mSendClaim(std::move(aSendClaim))
    , mListener(std::move(aListener))
    , mHolder(aSettings, aSelf)
    , mWitness(aSettings, aSelf.mName, Now())
  {
  }

  void Apply(const key_actions& aActions)
  {
    for (const key_action& each : aActions) {
      std::visit([this](const auto& aAction) { this->Execute(aAction); }, each);
    }
  }

  key_holder& Holder() { return mHolder; }
  key_witness& Witness() { return mWitness; }

  void Stop() { mStopped = true; }

private:
  void Execute(const request_grant& aAction)
  {
    if (aAction.mTo == mSelf) {
      Apply(
        mHolder.OnAnswer(mWitness.OnRequest(aAction.mRequest, Now()), Now()));
      return;
    }
    mSendClaim(aAction.mTo,
               aAction.mRequest,
               [weak = weak_from_this(),
                grant = aAction](const std::optional<claim_answer>& aAnswer) {
                 if (const auto self = weak.lock(); self && !self->mStopped) {
                   self->OnOutcome(grant, aAnswer);
                 }
               });
  }

  void OnOutcome(const request_grant& aGrant,
                 const std::optional<claim_answer>& aAnswer)
  {
    // Answers in another witness's name are rejected: otherwise one witness
    // could grant a claim on behalf of all of them.
    if (aAnswer && aAnswer->mWitness == aGrant.mTo) {
      Apply(mHolder.OnAnswer(*aAnswer, Now()));
    } else {
      Apply(mHolder.OnUnreachable(aGrant.mTo, aGrant.mRequest, Now()));
    }
  }

  void Execute(const notify_witness& aAction)
  {
    if (aAction.mTo == mSelf) {
      mWitness.OnRequest(aAction.mRequest, Now());
      mHolder.OnNotified(mSelf, aAction.mRequest);
      return;
    }
    mSendClaim(aAction.mTo,
               aAction.mRequest,
               [weak = weak_from_this(), notification = aAction](
                 const std::optional<claim_answer>& aAnswer) {
                 const auto self = weak.lock();
                 if (self && !self->mStopped && aAnswer &&
                     aAnswer->mWitness == notification.mTo) {
                   self->mHolder.OnNotified(notification.mTo,
                                            notification.mRequest);
                 }
               });
  }

  void Execute(const run_submission& aAction)
  {
    mListener.mRun(aAction.mSubmission);
  }

  void Execute(const refuse_submission& aAction)
  {
    mListener.mRefused(aAction.mSubmission, aAction.mKind);
  }

  instance_name mSelf;
  claim_sender mSendClaim;
  key_listener mListener;
  key_holder mHolder;
  key_witness mWitness;
  bool mStopped = false;
};

key_gate::key_gate(const key_claim_settings& aSettings,
                   const claim_holder& aSelf,
                   claim_sender aSendClaim,
                   key_listener aListener)
  : mCore(std::make_shared<core>(aSettings,
                                 aSelf,
                                 std::move(aSendClaim),
                                 std::move(aListener)))
{
}

key_gate::~key_gate()
{
  mCore->Stop();
}

void
key_gate::OnView(const claim_view& aView)
{
  mCore->Holder().OnView(aView, Now());
  mCore->Witness().OnView(aView, Now());
}

void
key_gate::Submit(submission_id aSubmission,
                 const team_name& aTeam,
                 std::string_view aIdempotencyKey,
                 std::uint64_t aFingerprint)
{
  mCore->Apply(mCore->Holder().Submit(
    aSubmission, ClaimKeyOf(aTeam, aIdempotencyKey), aFingerprint, Now()));
}

void
key_gate::BeforeSend(submission_id aSubmission)
{
  mCore->Apply(mCore->Holder().BeforeSend(aSubmission, Now()));
}

void
key_gate::OnEnded(submission_id aSubmission, ran aRan)
{
  mCore->Apply(mCore->Holder().OnEnded(aSubmission, aRan, Now()));
}

claim_answer
key_gate::OnPeerClaim(const claim_request& aRequest)
{
  return mCore->Witness().OnRequest(aRequest, Now());
}

void
key_gate::Tick()
{
  mCore->Apply(mCore->Holder().Tick(Now()));
  mCore->Witness().Tick(Now());
}

} // namespace thornhollow
