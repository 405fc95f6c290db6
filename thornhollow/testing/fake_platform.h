// A stand-in for the platform: configuration values with versions, a lagging
// list of instances, long polls for both; see
// docs/design/external_protocols.md. Control paths under /test/:
//
//   PUT /test/values/KEY     sets a value, its version grows by one
//   PUT /test/instances      sets the list, readable after the lag
//   POST /test/mode          {"down","freeze","list_frozen","slow_ms",
//                             "stale_version"}; replaces what was on before
//   GET /test/calls          calls counted so far
#ifndef THORNHOLLOW_TESTING_FAKE_PLATFORM_H_
#define THORNHOLLOW_TESTING_FAKE_PLATFORM_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "thornhollow/base/result.h"
#include "thornhollow/base/time.h"
#include "thornhollow/testing/http_server.h"

namespace thornhollow::testing {

struct platform_mode
{
  // Refuses connections and breaks those that call or wait.
  bool mDown = false;
  // Answers nothing.
  bool mFreeze = false;
  // Answers the instance list as it is now, whatever is put later.
  bool mListFrozen = false;
  // Delay of each answer.
  std::uint32_t mSlowMs = 0;
  // Answers every value as it stood at this version.
  std::optional<std::uint64_t> mStaleVersion;

  friend bool operator==(const platform_mode&, const platform_mode&) = default;
};

// Every version of one value, oldest first.
class versioned_value
{
public:
  struct version
  {
    std::uint64_t mNumber = 0;
    std::string mBytes;
  };

  // Adds the next version and returns its number, from 1.
  std::uint64_t Put(std::string aBytes);
  // The newest version, or the newest that is at most `aLimit`; null where
  // there is none.
  const version* Read(std::optional<std::uint64_t> aLimit) const;

private:
  std::vector<version> mVersions;
};

class fake_platform
{
public:
  fake_platform(event_loop& aLoop, duration aListLag);

  // Sets a value or the list at start, without any lag.
  void SetValue(const std::string& aKey, std::string aBytes);
  void SetInstances(std::string aJson);

  http_handler Handler();
  // Called when the mode `down` is switched, with its new value.
  void OnRefuse(std::function<void(bool)> aCallback);

private:
  // A read that waits for a newer version.
  struct watch
  {
    std::uint64_t mNumber = 0;
    exchange_ptr mExchange;
    std::string mKey;
    std::uint64_t mAfter = 0;
  };

  void Handle(const http_request& aRequest, const exchange_ptr& aExchange);
  bool HandleControl(const http_request& aRequest,
                     const exchange_ptr& aExchange);
  void Read(const std::string& aKey,
            const http_request& aRequest,
            const exchange_ptr& aExchange);
  const versioned_value::version* Visible(const std::string& aKey) const;
  void Wait(const std::string& aKey,
            std::uint64_t aAfter,
            duration aLimit,
            const exchange_ptr& aExchange);
  void WakeWatches();
  void AnswerVersion(const std::string& aKey,
                     const versioned_value::version& aVersion,
                     const exchange_ptr& aExchange);
  void Reply(const exchange_ptr& aExchange,
             unsigned aStatus,
             std::vector<http_header> aHeaders,
             std::string aBody);
  void SetMode(const http_request& aRequest, const exchange_ptr& aExchange);
  std::string CallsJson() const;

  event_loop& mLoop;
  duration mListLag;
  platform_mode mMode;
  std::map<std::string, versioned_value> mValues;
  std::list<watch> mWatches;
  std::uint64_t mLastWatch = 0;
  std::uint64_t mFrozenListVersion = 0;
  std::uint64_t mCalls = 0;
  std::map<std::string, std::uint64_t> mCallsOfKey;
  std::function<void(bool)> mOnRefuse;
};

// Reads the JSON of POST /test/mode. Fails with kMalformedRequest on anything
// but an object with known fields of the right type.
result<platform_mode>
ReadPlatformMode(std::string_view aJson);

} // namespace thornhollow::testing

#endif // THORNHOLLOW_TESTING_FAKE_PLATFORM_H_
