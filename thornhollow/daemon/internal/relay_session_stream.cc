#include <utility>

#include "thornhollow/daemon/internal/relay_session.h"

namespace thornhollow {

bool
relay_session::ContinuesUnknownStream() const
{
  return IsStream(mRoute->mKind) && !mRelayRequest.mResumeAfter.empty() &&
         !mOrigin;
}

void
relay_session::FindOrigin()
{
  mDispatcher.Metrics().OnEvent("stream_taken_up");
  // If nobody knows the stream, it is the pool of the submission that began it
  // that tells its version.
  if (!mRelayRequest.mBegunAs.empty()) {
    mPool =
      routing_table::SelectPool(*mRoute, Hash64(mRelayRequest.mBegunAs.Text()));
  }
  mDispatcher.Streams().Find(ContinuedKey(),
                             *mPool,
                             [self = boost::intrusive_ptr<relay_session>(this)](
                               const origin_verdict& aVerdict) {
                               if (!self->mDone) {
                                 self->OnOrigin(aVerdict);
                               }
                             });
}

void
relay_session::OnOrigin(const origin_verdict& aVerdict)
{
  if (aVerdict.mVersion == kUnknownVersion) {
    RefuseToContinue(aVerdict.mGround == origin_ground::kNoAnswer
                       ? error_kind::kStreamOriginUnreachable
                       : error_kind::kStreamOriginUnknown,
                     aVerdict);
    return;
  }
  mOrigin = aVerdict.mVersion;
  mProfile.mVersion = mOrigin;
  const pool_name* pool = mDispatcher.PoolOfVersion(*mRoute, *mOrigin);
  if (pool == nullptr || !mDispatcher.Pool(*pool)->HasOther(mProfile, {})) {
    RefuseToContinue(error_kind::kStreamVersionGone, aVerdict);
    return;
  }
  mPool = pool;
  Admit();
}

void
relay_session::RefuseToContinue(error_kind aKind,
                                const origin_verdict& aVerdict)
{
  LogNotContinued(aKind, aVerdict);
  Refuse(aKind);
}

endpoint_version_hash
relay_session::AttemptVersion() const
{
  return IsAtPeer() ? mPeerVersion : mDispatcher.VersionOf(mPick);
}

void
relay_session::RecordOrigin()
{
  if (mStreamReported || !mAnswer.Begun()) {
    return;
  }
  mStreamReported = true;
  mOriginName = mPick.mVersion;
  if (mOrigin || IsAtPeer()) {
    TakeOrigin(mOrigin.value_or(AttemptVersion()), endpoint_name());
    return;
  }
  if (mRoute->mKind != request_kind::kResumableStream) {
    TakeOrigin(AttemptVersion(), endpoint_name());
    return;
  }
  const time_point madeAt = mAttempt->ConnectionMadeAt();
  switch (mDispatcher.Evidence(mPick, madeAt)) {
    case process_evidence::kCannotAsk:
      TakeOrigin(AttemptVersion(), mPick.mEndpoint);
      return;
    case process_evidence::kConfirmed:
      TakeOrigin(mPick.mVersionHash, endpoint_name());
      return;
    case process_evidence::kMustAsk:
      break;
  }
  ConfirmOrigin(madeAt);
}

// The stream's events don't wait for the answer, but its continuation does.
void
relay_session::ConfirmOrigin(time_point aConnectionMadeAt)
{
  mOrigin = kUnknownVersion;
  mProfile.mVersion = mOrigin;
  mOriginIsAsked = true;
  mDispatcher.Confirm(
    mPick,
    aConnectionMadeAt,
    [self = boost::intrusive_ptr<relay_session>(this),
     version = mPick.mVersionHash](bool aIsListed) {
      self->mOriginIsAsked = false;
      self->TakeOrigin(aIsListed ? version : kUnknownVersion, endpoint_name());
      if (std::exchange(self->mAwaitsOrigin, false) && !self->mDone) {
        self->StartNextAttempt();
      }
    });
}

void
relay_session::TakeOrigin(endpoint_version_hash aVersion,
                          const endpoint_name& aEndpoint)
{
  mOrigin = aVersion;
  mProfile.mVersion = mOrigin;
  ReportStreamBegun(aEndpoint);
  if (mDone) {
    ReportStreamEnded();
  }
}

bool
relay_session::MustConfirmFirst() const
{
  // The instance that forwards a stream is told its version before the events.
  return mRoute->mKind == request_kind::kResumableStream &&
         (mOrigin.has_value() || mIsForwarded);
}

void
relay_session::ReportStreamBegun(const endpoint_name& aEndpoint)
{
  // The forwarding instance reports it.
  if (mIsForwarded || mRoute->mKind != request_kind::kResumableStream) {
    return;
  }
  stream_guard& streams = mDispatcher.Streams();
  streams.OnBegun({ OwnKey(), *mPool, *mOrigin, aEndpoint });
  if (ContinuedKey() != kUnnamedStream) {
    streams.OnBegun({ ContinuedKey(), *mPool, *mOrigin, aEndpoint });
  }
}

void
relay_session::ReportStreamEnded()
{
  if (!mStreamReported) {
    return;
  }
  mDispatcher.Streams().OnEnded(OwnKey());
  mDispatcher.Streams().OnEnded(ContinuedKey());
}

stream_key
relay_session::OwnKey() const
{
  return StreamKeyOf(mProfile.mTeam, mRelayRequest.mId);
}

stream_key
relay_session::ContinuedKey() const
{
  return StreamKeyOf(
    mProfile.mTeam,
    mRelayRequest.mResumeAfter.empty() ? request_id() : mRelayRequest.mBegunAs);
}

} // namespace thornhollow
