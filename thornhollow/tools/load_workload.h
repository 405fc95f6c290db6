// What the load tool sends: classes of requests with rates and targets, read
// from YAML, and the arrivals drawn from them.
//
//   const workload_verdict verdict = ReadWorkload({ "workload.yaml", text });
//   if (const auto* read = std::get_if<workload>(&verdict)) {
//     for (const arrival& each : DrawArrivals(*read)) { ... }
//   }
#ifndef THORNHOLLOW_TOOLS_LOAD_WORKLOAD_H_
#define THORNHOLLOW_TOOLS_LOAD_WORKLOAD_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "thornhollow/base/time.h"
#include "thornhollow/config/fault.h"
#include "thornhollow/config/source_file.h"

namespace thornhollow {

// A time in which a class's rate is multiplied.
struct load_burst
{
  duration mFrom{};
  duration mLength{};
  double mFactor = 1;

  friend bool operator==(const load_burst&, const load_burst&) = default;
};

// Requests of one kind from one team.
struct load_class
{
  // Name in the report.
  std::string mName;
  std::string mToken;
  // Sent as X-Request-Class; empty leaves the choice to the daemon.
  std::string mRequestClass;
  std::string mMethod = "POST";
  std::string mPath;
  // Asked for in chat completions; empty for a plain service.
  std::string mModel;
  // Arrivals a second outside of bursts.
  double mRate = 0;
  std::vector<load_burst> mBursts;
  // Mean length of a prompt in words; lengths are drawn from an exponential.
  std::uint32_t mPromptWords = 1;
  // Words at a prompt's start that all requests of the class share.
  std::uint32_t mSharedWords = 0;
  std::uint32_t mMaxTokens = 256;
  bool mStream = true;
  bool mIdempotencyKey = false;
  // Submissions of one request at most; further ones are made only when an
  // answer says that it was not run and when to come back.
  std::uint32_t mTries = 1;
  // Targets; zero where there is none.
  duration mFirstTokenTarget{};
  duration mBetweenTokensTarget{};
  duration mDeadline{};

  friend bool operator==(const load_class&, const load_class&) = default;
};

struct workload
{
  std::uint64_t mSeed = 1;
  duration mLength{};
  std::vector<load_class> mClasses;

  friend bool operator==(const workload&, const workload&) = default;
};

using workload_verdict = std::variant<workload, faults>;

// Reads a workload; every fault is reported at once.
workload_verdict
ReadWorkload(const source_file& aFile);

// One request's place in time.
struct arrival
{
  // From the start of the run.
  duration mAt{};
  // Index into `workload::mClasses`.
  std::size_t mClass = 0;
  // Number within the class, from 0.
  std::uint32_t mNumber = 0;
  std::uint32_t mPromptWords = 0;

  friend bool operator==(const arrival&, const arrival&) = default;
};

// All arrivals in order of time: a Poisson process for each class, the same for
// the same seed. `aRateFactor` multiplies every rate.
std::vector<arrival>
DrawArrivals(const workload& aWorkload, double aRateFactor = 1);

// Body of the request at `aArrival`.
std::string
BodyFor(const load_class& aClass, const arrival& aArrival);

} // namespace thornhollow

#endif // THORNHOLLOW_TOOLS_LOAD_WORKLOAD_H_
