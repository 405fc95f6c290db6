#include "thornhollow/testing/fake_platform.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "thornhollow/testing/json_fields.h"

namespace thornhollow::testing {
namespace {

constexpr std::string_view kValuePath = "/v1/values/";
constexpr std::string_view kTestValuePath = "/test/values/";
// The instance list is kept as a value; no key of a caller has this name.
const std::string kListKey = "/instances";
constexpr std::int64_t kLongestWaitMs = 600'000;

const http_header kJson{ "Content-Type", "application/json" };

template<class number>
number
NumberFrom(const std::string& aText)
{
  number value = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), value);
  return value;
}

} // namespace

result<platform_mode>
ReadPlatformMode(std::string_view aJson)
{
  static const json_fields<platform_mode> kFields{
    { "down", Field(&platform_mode::mDown) },
    { "freeze", Field(&platform_mode::mFreeze) },
    { "list_frozen", Field(&platform_mode::mListFrozen) },
    { "slow_ms", Field(&platform_mode::mSlowMs) },
    { "stale_version", Field(&platform_mode::mStaleVersion) },
  };
  return ReadFields(kFields, aJson);
}

std::uint64_t
versioned_value::Put(std::string aBytes)
{
  const std::uint64_t number =
    mVersions.empty() ? 1 : mVersions.back().mNumber + 1;
  mVersions.push_back({ number, std::move(aBytes) });
  return number;
}

const versioned_value::version*
versioned_value::Read(std::optional<std::uint64_t> aLimit) const
{
  const auto found = std::find_if(
    mVersions.rbegin(), mVersions.rend(), [aLimit](const version& aVersion) {
      return !aLimit || aVersion.mNumber <= *aLimit;
    });
  return found == mVersions.rend() ? nullptr : &*found;
}

fake_platform::fake_platform(event_loop& aLoop, duration aListLag)
  : mLoop(aLoop)
  , mListLag(aListLag)
{
}

void
fake_platform::SetValue(const std::string& aKey, std::string aBytes)
{
  mValues[aKey].Put(std::move(aBytes));
  WakeWatches();
}

void
fake_platform::SetInstances(std::string aJson)
{
  SetValue(kListKey, std::move(aJson));
}

http_handler
fake_platform::Handler()
{
  return [this](const http_request& aRequest, const exchange_ptr& aExchange) {
    if (!HandleControl(aRequest, aExchange)) {
      Handle(aRequest, aExchange);
    }
  };
}

void
fake_platform::OnRefuse(std::function<void(bool)> aCallback)
{
  mOnRefuse = std::move(aCallback);
}

bool
fake_platform::HandleControl(const http_request& aRequest,
                             const exchange_ptr& aExchange)
{
  const std::string& path = aRequest.mPath;
  if (path == "/test/mode") {
    SetMode(aRequest, aExchange);
  } else if (path == "/test/calls") {
    aExchange->Answer(200, { kJson }, CallsJson());
  } else if (path == "/test/instances") {
    mLoop.After(mListLag,
                [this, list = aRequest.mBody] { SetInstances(list); });
    aExchange->Answer(200, { kJson }, "{}");
  } else if (path.starts_with(kTestValuePath)) {
    const std::string key = path.substr(kTestValuePath.size());
    SetValue(key, aRequest.mBody);
    const auto number = mValues[key].Read({})->mNumber;
    aExchange->Answer(200, { { "X-Version", std::to_string(number) } }, "{}");
  } else {
    return false;
  }
  return true;
}

void
fake_platform::Handle(const http_request& aRequest,
                      const exchange_ptr& aExchange)
{
  ++mCalls;
  if (mMode.mDown) {
    aExchange->Cut();
  } else if (mMode.mFreeze) {
    return;
  } else if (aRequest.mMethod != "GET") {
    Reply(aExchange, 405, {}, {});
  } else if (aRequest.mPath == "/v1/instances") {
    Read(kListKey, aRequest, aExchange);
  } else if (aRequest.mPath.starts_with(kValuePath)) {
    Read(aRequest.mPath.substr(kValuePath.size()), aRequest, aExchange);
  } else {
    Reply(aExchange, 404, {}, {});
  }
}

void
fake_platform::Read(const std::string& aKey,
                    const http_request& aRequest,
                    const exchange_ptr& aExchange)
{
  ++mCallsOfKey[aKey];
  const std::string after = aRequest.Parameter("after");
  const auto limit = std::clamp<std::int64_t>(
    NumberFrom<std::int64_t>(aRequest.Parameter("wait_ms")), 0, kLongestWaitMs);
  const auto known = NumberFrom<std::uint64_t>(after);
  const versioned_value::version* visible = Visible(aKey);
  if (visible != nullptr && (after.empty() || visible->mNumber > known)) {
    AnswerVersion(aKey, *visible, aExchange);
  } else if (!after.empty()) {
    Wait(aKey, known, Milliseconds(limit), aExchange);
  } else {
    Reply(aExchange, 404, {}, {});
  }
}

const versioned_value::version*
fake_platform::Visible(const std::string& aKey) const
{
  const auto found = mValues.find(aKey);
  if (found == mValues.end()) {
    return nullptr;
  }
  if (aKey == kListKey) {
    return found->second.Read(
      mMode.mListFrozen ? std::optional(mFrozenListVersion) : std::nullopt);
  }
  return found->second.Read(mMode.mStaleVersion);
}

void
fake_platform::Wait(const std::string& aKey,
                    std::uint64_t aAfter,
                    duration aLimit,
                    const exchange_ptr& aExchange)
{
  const std::uint64_t number = ++mLastWatch;
  mWatches.push_back({ number, aExchange, aKey, aAfter });
  const auto forget = [this, number] {
    return std::erase_if(mWatches, [number](const watch& aWatch) {
             return aWatch.mNumber == number;
           }) > 0;
  };
  aExchange->OnClosed([forget] { forget(); });
  mLoop.After(aLimit, [this, forget, aExchange, aAfter] {
    if (forget() && !mMode.mFreeze) {
      Reply(aExchange, 304, { { "X-Version", std::to_string(aAfter) } }, {});
    }
  });
}

void
fake_platform::WakeWatches()
{
  if (mMode.mDown || mMode.mFreeze) {
    return;
  }
  for (auto at = mWatches.begin(); at != mWatches.end();) {
    const auto* visible = Visible(at->mKey);
    if (visible == nullptr || visible->mNumber <= at->mAfter) {
      ++at;
      continue;
    }
    AnswerVersion(at->mKey, *visible, at->mExchange);
    at = mWatches.erase(at);
  }
}

void
fake_platform::AnswerVersion(const std::string& aKey,
                             const versioned_value::version& aVersion,
                             const exchange_ptr& aExchange)
{
  const std::string type =
    aKey == kListKey ? "application/json" : "application/octet-stream";
  Reply(aExchange,
        200,
        { { "Content-Type", type },
          { "X-Version", std::to_string(aVersion.mNumber) } },
        aVersion.mBytes);
}

void
fake_platform::Reply(const exchange_ptr& aExchange,
                     unsigned aStatus,
                     std::vector<http_header> aHeaders,
                     std::string aBody)
{
  if (mMode.mSlowMs == 0) {
    aExchange->Answer(aStatus, std::move(aHeaders), std::move(aBody));
    return;
  }
  mLoop.After(Milliseconds(mMode.mSlowMs),
              [aExchange, aStatus, aHeaders, aBody] {
                aExchange->Answer(aStatus, aHeaders, aBody);
              });
}

void
fake_platform::SetMode(const http_request& aRequest,
                       const exchange_ptr& aExchange)
{
  const result<platform_mode> mode = ReadPlatformMode(aRequest.mBody);
  if (!mode) {
    aExchange->Answer(400, {}, "unknown or wrong field\n");
    return;
  }
  const auto* list = Visible(kListKey);
  mFrozenListVersion = list == nullptr ? 0 : list->mNumber;
  mMode = *mode;
  if (mOnRefuse) {
    mOnRefuse(mMode.mDown);
  }
  if (mMode.mDown) {
    for (const watch& each : std::exchange(mWatches, {})) {
      each.mExchange->OnClosed(nullptr);
      each.mExchange->Cut();
    }
  }
  WakeWatches();
  aExchange->Answer(200, { kJson }, "{}");
}

std::string
fake_platform::CallsJson() const
{
  boost::json::object keys;
  for (const auto& [key, count] : mCallsOfKey) {
    keys[key] = count;
  }
  return boost::json::serialize(boost::json::object{
    { "calls", mCalls },
    { "waiting", mWatches.size() },
    { "keys", keys },
  });
}

} // namespace thornhollow::testing
