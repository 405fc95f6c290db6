#include "thornhollow/daemon/configuration_keeper.h"

#include <random>
#include <unordered_map>
#include <utility>
#include <variant>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <fmt/format.h>

#include "thornhollow/config/bundle.h"
#include "thornhollow/net/clock.h"
#include "thornhollow/net/http_fetch.h"

namespace thornhollow {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kNotModified = 304;

manifest_answer
ToManifestAnswer(fetch_outcome aOutcome)
{
  if (!aOutcome) {
    return read_failed{};
  }
  if (aOutcome->mHttpStatus == kNotModified) {
    return manifest_unchanged{ aOutcome->mVersion };
  }
  // A part of a manifest may be a manifest as well.
  if (aOutcome->mHttpStatus != kOk || !aOutcome->mVersion ||
      aOutcome->mIsOpenEnded) {
    return read_failed{};
  }
  return manifest_text{ *aOutcome->mVersion, std::move(aOutcome->mBody) };
}

// Result of validating a bundle: the catalog for the request path, or the
// faults found.
struct bundle_validation
{
  catalog_ptr mCatalog;
  faults mFaults;
};

bundle_validation
ValidateBundle(const judge_bundle& aBundle)
{
  std::unordered_map<std::string_view, bytes_ptr> parts;
  for (std::size_t index = 0; index < aBundle.mParts.size(); ++index) {
    parts.emplace(aBundle.mManifest.mParts[index], aBundle.mParts[index]);
  }
  const part_lookup lookUp =
    [&](std::string_view aDigest) -> const std::string* {
    const auto found = parts.find(aDigest);
    return found == parts.end() ? nullptr : &found->second->mText;
  };
  read_verdict verdict = ReadBundle(aBundle.mManifest, lookUp);
  if (auto* foundFaults = std::get_if<faults>(&verdict)) {
    return { nullptr, std::move(*foundFaults) };
  }
  return { MakeCatalog(std::get<declarations>(std::move(verdict))), {} };
}

} // namespace

class configuration_keeper::core : public std::enable_shared_from_this<core>
{
public:
  core(boost::asio::io_context& aIo,
       keeper_settings aSettings,
       keeper_peers aPeers,
       keeper_listener aListener)
    : mIo(aIo)
    , mSettings(std::move(aSettings))
    , mPeers(std::move(aPeers))
    , mListener(std::move(aListener))
    , mFollower(mSettings.mFollower,
                mSettings.mName,
                mSettings.mDomain,
                std::random_device()())
    , mTimer(aIo)
    , mValidationThread(1)
  {
  }

  void Apply(follower_actions aActions)
  {
    for (follower_action& each : aActions) {
      std::visit([this](auto& aAction) { this->Execute(aAction); }, each);
    }
    ArmTimer();
  }

  // Stops the keeper: after `Stop`, no callback reaches the follower.
  void Stop()
  {
    mStopped = true;
    mTimer.cancel();
    mValidationThread.join();
  }

  config_follower& Follower() { return mFollower; }

private:
  // Wraps `aStep`, which calls the follower, so that it does nothing once the
  // keeper has been stopped or destroyed.
  template<class step>
  auto Guarded(step aStep)
  {
    return [weak = weak_from_this(), aStep](auto&&... aArguments) {
      if (const auto self = weak.lock(); self && !self->mStopped) {
        self->Apply(aStep(self->mFollower,
                          std::forward<decltype(aArguments)>(aArguments)...));
      }
    };
  }

  template<class step>
  void FetchCounted(const fetch_call& aCall, step aDone)
  {
    Fetch(mIo, aCall, [weak = weak_from_this(), aDone](fetch_outcome aOutcome) {
      if (const auto self = weak.lock(); self && aOutcome) {
        self->mListener.mPlatformBytes(aOutcome->mExchangedBytes);
      }
      aDone(std::move(aOutcome));
    });
  }

  void Execute(const read_manifest& aAction)
  {
    fetch_call call;
    call.mAddress = mSettings.mPlatformAddress;
    call.mTarget = fmt::format("/v1/values/{}?after={}&wait_ms={}",
                               kManifestKey,
                               aAction.mAfter,
                               ToMilliseconds(aAction.mWait));
    call.mTimeout = mSettings.mFollower.mReadTimeout;
    FetchCounted(call,
                 Guarded([callNumber = aAction.mCall](
                           config_follower& aFollower, fetch_outcome aOutcome) {
                   return aFollower.OnManifestRead(
                     callNumber, ToManifestAnswer(std::move(aOutcome)), Now());
                 }));
  }

  void Execute(const fetch_bytes& aAction)
  {
    if (aAction.mPeer) {
      mPeers.mFetchPart(
        *aAction.mPeer,
        aAction.mDigest,
        Guarded(
          [callNumber = aAction.mCall](config_follower& aFollower,
                                       std::optional<std::string> aBytes) {
            return aFollower.OnFetched(callNumber, std::move(aBytes), Now());
          }));
      return;
    }
    fetch_call call;
    call.mAddress = mSettings.mPlatformAddress;
    call.mTarget = "/v1/values/" + PartKey(aAction.mDigest);
    call.mTimeout = mSettings.mFollower.mFetchTimeout;
    FetchCounted(
      call,
      Guarded([callNumber = aAction.mCall](config_follower& aFollower,
                                           fetch_outcome aOutcome) {
        std::optional<std::string> bytes;
        if (aOutcome && aOutcome->mHttpStatus == kOk) {
          bytes = std::move(aOutcome->mBody);
        }
        return aFollower.OnFetched(callNumber, std::move(bytes), Now());
      }));
  }

  void Execute(const ask_peer& aAction)
  {
    mPeers.mQueryStatus(
      aAction.mPeer,
      Guarded([callNumber =
                 aAction.mCall](config_follower& aFollower,
                                const std::optional<config_word>& aStatus) {
        return aFollower.OnPeerAnswered(callNumber, aStatus, Now());
      }));
  }

  void Execute(const announce_version& aAction)
  {
    mPeers.mAnnounce(aAction.mVersion);
  }

  void Execute(judge_bundle& aAction)
  {
    boost::asio::post(
      mValidationThread,
      [weak = weak_from_this(), &io = mIo, bundle = std::move(aAction)] {
        bundle_validation verdict = ValidateBundle(bundle);
        boost::asio::post(io,
                          [weak,
                           which = bundle.mRevision,
                           verdict = std::move(verdict)]() mutable {
                            const auto self = weak.lock();
                            if (self && !self->mStopped) {
                              self->OnValidated(which, std::move(verdict));
                            }
                          });
      });
  }

  void OnValidated(const revision& aRevision, bundle_validation aVerdict)
  {
    mValidatedCatalog = std::move(aVerdict.mCatalog);
    Apply(mFollower.OnVerdict(aRevision, aVerdict.mFaults, Now()));
    mValidatedCatalog = nullptr;
  }

  void Execute(const put_in_force& aAction)
  {
    if (mValidatedCatalog != nullptr) {
      mListener.mInForce(mValidatedCatalog, aAction.mRevision);
    }
  }

  void Execute(const report_refused& aAction)
  {
    mListener.mRefused(aAction.mRevision, aAction.mFaults);
  }

  void Execute(const report_lower& aAction)
  {
    mListener.mLowerVersion(aAction.mVersion, aAction.mInForce);
  }

  void ArmTimer()
  {
    const auto due = mFollower.NextDue();
    if (!due || mStopped) {
      mTimer.cancel();
      return;
    }
    mTimer.expires_at(*due);
    mTimer.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& aError) {
        const auto self = weak.lock();
        if (!aError && self && !self->mStopped) {
          self->Apply(self->mFollower.Advance(Now()));
        }
      });
  }

  boost::asio::io_context& mIo;
  keeper_settings mSettings;
  keeper_peers mPeers;
  keeper_listener mListener;
  config_follower mFollower;
  boost::asio::steady_timer mTimer;
  boost::asio::thread_pool mValidationThread;
  // Catalog of the verdict being processed; `put_in_force` refers to it.
  catalog_ptr mValidatedCatalog;
  bool mStopped = false;
};

configuration_keeper::configuration_keeper(boost::asio::io_context& aIo,
                                           keeper_settings aSettings,
                                           keeper_peers aPeers,
                                           keeper_listener aListener)
  : mCore(std::make_shared<core>(aIo,
                                 std::move(aSettings),
                                 std::move(aPeers),
                                 std::move(aListener)))
{
}

configuration_keeper::~configuration_keeper()
{
  mCore->Stop();
}

void
configuration_keeper::Start(const std::vector<instance_name>& aPeers)
{
  mCore->Apply(mCore->Follower().Start(aPeers, Now()));
}

void
configuration_keeper::SetMembers(std::vector<follower_member> aMembers)
{
  mCore->Apply(mCore->Follower().SetMembers(std::move(aMembers), Now()));
}

void
configuration_keeper::OnHint(const instance_name& aPeer,
                             const config_hint& aHint)
{
  mCore->Apply(mCore->Follower().OnHint(aPeer, aHint, Now()));
}

config_hint
configuration_keeper::Hint() const
{
  return mCore->Follower().Hint(Now());
}

config_word
configuration_keeper::Status() const
{
  return mCore->Follower().Word(Now());
}

bytes_ptr
configuration_keeper::Held(std::string_view aDigest) const
{
  return mCore->Follower().Held(aDigest);
}

std::optional<revision>
configuration_keeper::InForce() const
{
  return mCore->Follower().InForce();
}

const std::optional<refused_state>&
configuration_keeper::Refused() const
{
  return mCore->Follower().Refused();
}

const follower_counts&
configuration_keeper::Counts() const
{
  return mCore->Follower().Counts();
}

} // namespace thornhollow
