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
       ask_claim aAsk,
       key_listener aListener)
    : mSelf(aSelf.mName)
    , mAsk(std::move(aAsk))
    , mListener(std::move(aListener))
    , mHolder(aSettings, aSelf)
    , mWitness(aSettings, aSelf.mName, Now())
  {
  }

  void Apply(const key_actions& aActions)
  {
    for (const key_action& each : aActions) {
      std::visit([this](const auto& aOne) { this->Carry(aOne); }, each);
    }
  }

  key_holder& Holder() { return mHolder; }
  key_witness& Witness() { return mWitness; }

  void Stop() { mStopped = true; }

private:
  void Carry(const request_grant& aAction)
  {
    if (aAction.mTo == mSelf) {
      Apply(
        mHolder.OnAnswer(mWitness.OnRequest(aAction.mRequest, Now()), Now()));
      return;
    }
    mAsk(aAction.mTo,
         aAction.mRequest,
         [weak = weak_from_this(),
          asked = aAction](const std::optional<claim_answer>& aAnswer) {
           if (const auto self = weak.lock(); self && !self->mStopped) {
             self->OnOutcome(asked, aAnswer);
           }
         });
  }

  void OnOutcome(const request_grant& aAsked,
                 const std::optional<claim_answer>& aAnswer)
  {
    // Answers in another witness's name are rejected: otherwise one witness
    // could grant a claim on behalf of all of them.
    if (aAnswer && aAnswer->mWitness == aAsked.mTo) {
      Apply(mHolder.OnAnswer(*aAnswer, Now()));
    } else {
      Apply(mHolder.OnUnreachable(aAsked.mTo, aAsked.mRequest, Now()));
    }
  }

  void Carry(const notify_witness& aAction)
  {
    if (aAction.mTo == mSelf) {
      mWitness.OnRequest(aAction.mRequest, Now());
      mHolder.OnNotified(mSelf, aAction.mRequest);
      return;
    }
    mAsk(aAction.mTo,
         aAction.mRequest,
         [weak = weak_from_this(),
          told = aAction](const std::optional<claim_answer>& aAnswer) {
           const auto self = weak.lock();
           if (self && !self->mStopped && aAnswer &&
               aAnswer->mWitness == told.mTo) {
             self->mHolder.OnNotified(told.mTo, told.mRequest);
           }
         });
  }

  void Carry(const run_submission& aAction)
  {
    mListener.mRun(aAction.mSubmission);
  }

  void Carry(const refuse_submission& aAction)
  {
    mListener.mRefused(aAction.mSubmission, aAction.mKind);
  }

  instance_name mSelf;
  ask_claim mAsk;
  key_listener mListener;
  key_holder mHolder;
  key_witness mWitness;
  bool mStopped = false;
};

key_gate::key_gate(const key_claim_settings& aSettings,
                   const claim_holder& aSelf,
                   ask_claim aAsk,
                   key_listener aListener)
  : mCore(std::make_shared<core>(aSettings,
                                 aSelf,
                                 std::move(aAsk),
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
