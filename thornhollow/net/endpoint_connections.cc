#include "thornhollow/net/endpoint_connections.h"

#include <algorithm>
#include <cerrno>
#include <utility>

#include <sys/socket.h>

#include "thornhollow/net/clock.h"

namespace thornhollow {
namespace {

enum class idle_state : std::uint8_t
{
  kFit,
  kClosed,
  kUnasked,
};

// Looks without taking anything: an idle connection has nothing to read.
idle_state
LookAt(endpoint_connection& aConnection)
{
  if (aConnection.mBuffer.size() > 0) {
    return idle_state::kUnasked;
  }
  char byte = 0;
  const ssize_t got = ::recv(aConnection.mStream.socket().native_handle(),
                             &byte,
                             1,
                             MSG_PEEK | MSG_DONTWAIT);
  if (got > 0) {
    return idle_state::kUnasked;
  }
  const bool quiet = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return quiet ? idle_state::kFit : idle_state::kClosed;
}

} // namespace

endpoint_connections::endpoint_connections(
  boost::asio::io_context& aIo,
  const endpoint_connection_settings& aSettings)
  : mIo(aIo)
  , mSettings(aSettings)
  , mMaxIdle(aSettings.mMaxIdle)
{
}

endpoint_connection_ptr
endpoint_connections::TakeIdle(const endpoint_process& aWhere,
                               duration aMaxIdle)
{
  const auto found = mKept.find(aWhere);
  if (found == mKept.end()) {
    return nullptr;
  }
  const time_point now = Now();
  std::deque<kept>& kept = found->second;
  while (!kept.empty()) {
    if (now >= kept.back().mUntil || now - kept.back().mSince > aMaxIdle) {
      return nullptr;
    }
    endpoint_connection_ptr one = std::move(kept.back().mConnection);
    kept.pop_back();
    --mIdle;
    switch (LookAt(*one)) {
      case idle_state::kFit:
        ++mCounters.mTaken;
        return one;
      case idle_state::kClosed:
        ++mCounters.mClosed;
        if (mOnClosedEarly) {
          mOnClosedEarly(aWhere);
        }
        break;
      case idle_state::kUnasked:
        ++mCounters.mUnasked;
        break;
    }
  }
  return nullptr;
}

void
endpoint_connections::GiveBack(const endpoint_process& aWhere,
                               endpoint_connection_ptr aConnection,
                               std::optional<duration> aIdleLimit)
{
  const auto limit =
    FromSeconds(ToSeconds(aIdleLimit.value_or(mSettings.mDefaultIdleLimit)) *
                mSettings.mPartOfIdleLimit);
  std::deque<kept>& kept = mKept[aWhere];
  if (mIdle >= mMaxIdle || limit <= duration::zero()) {
    return;
  }
  if (kept.size() >= mSettings.mMaxIdlePerEndpoint) {
    kept.pop_front();
    --mIdle;
  }
  const time_point now = Now();
  kept.push_back({ std::move(aConnection), now, now + limit });
  ++mIdle;
}

kept_state
endpoint_connections::LookAtKept(const endpoint_process& aWhere)
{
  kept_state state = kept_state::kNone;
  const auto found = mKept.find(aWhere);
  if (found == mKept.end()) {
    return state;
  }
  const time_point now = Now();
  for (const kept& each : found->second) {
    if (LookAt(*each.mConnection) == idle_state::kFit) {
      return kept_state::kOpen;
    }
    if (now < each.mUntil) {
      state = kept_state::kAllClosed;
    }
  }
  return state;
}

void
endpoint_connections::SetMaxIdle(std::size_t aCount)
{
  mMaxIdle = std::min(aCount, mSettings.mMaxIdle);
  for (auto at = mKept.begin(); at != mKept.end() && mIdle > mMaxIdle;) {
    std::deque<kept>& kept = at->second;
    while (!kept.empty() && mIdle > mMaxIdle) {
      kept.pop_front();
      --mIdle;
    }
    at = kept.empty() ? mKept.erase(at) : std::next(at);
  }
}

void
endpoint_connections::Forget(const endpoint_process& aWhere)
{
  if (const auto found = mKept.find(aWhere); found != mKept.end()) {
    mIdle -= found->second.size();
    mKept.erase(found);
  }
}

void
endpoint_connections::ForgetAll()
{
  mKept.clear();
  mIdle = 0;
}

void
endpoint_connections::Tick(time_point aNow)
{
  for (auto at = mKept.begin(); at != mKept.end();) {
    std::deque<kept>& kept = at->second;
    const auto expired = std::erase_if(
      kept, [aNow](const auto& aOne) { return aNow >= aOne.mUntil; });
    mIdle -= expired;
    mCounters.mExpired += expired;
    at = kept.empty() ? mKept.erase(at) : std::next(at);
  }
}

} // namespace thornhollow
