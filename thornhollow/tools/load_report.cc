#include "thornhollow/tools/load_report.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

namespace thornhollow {

namespace json = boost::json;

namespace {

constexpr double kMillisecondsPerSecond = 1e3;

double
InMilliseconds(duration aLength)
{
  return ToSeconds(aLength) * kMillisecondsPerSecond;
}

double
Share(std::uint64_t aPart, std::uint64_t aWhole)
{
  return aWhole == 0 ? 0
                     : static_cast<double>(aPart) / static_cast<double>(aWhole);
}

double
PerSecond(std::uint64_t aCount, duration aElapsed)
{
  return aElapsed <= duration::zero()
           ? 0
           : static_cast<double>(aCount) / ToSeconds(aElapsed);
}

std::uint64_t
Wasted(std::uint64_t aComputed, std::uint64_t aReceived)
{
  return aComputed - std::min(aComputed, aReceived);
}

json::object
PercentilesJson(const std::vector<duration>& aSamples)
{
  const percentiles found = PercentilesOf(aSamples);
  return { { "p50", InMilliseconds(found.mHalf) },
           { "p95", InMilliseconds(found.mNinetyFive) },
           { "p99", InMilliseconds(found.mNinetyNine) } };
}

json::object
CountsJson(const std::map<std::string, std::uint64_t>& aCounts)
{
  json::object counts;
  for (const auto& [name, count] : aCounts) {
    counts[name] = count;
  }
  return counts;
}

std::string
CountsText(const std::map<std::string, std::uint64_t>& aCounts)
{
  std::string text;
  for (const auto& [name, count] : aCounts) {
    text += fmt::format("{}{} {}", text.empty() ? "" : ", ", name, count);
  }
  return text;
}

} // namespace

percentiles
PercentilesOf(std::vector<duration> aSamples)
{
  if (aSamples.empty()) {
    return {};
  }
  std::ranges::sort(aSamples);
  const auto at = [&aSamples](double aShare) {
    const double rank =
      std::ceil(aShare * static_cast<double>(aSamples.size()));
    return aSamples[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
  };
  return { at(0.50), at(0.95), at(0.99) };
}

load_report::load_report(const workload& aWorkload)
{
  for (const load_class& each : aWorkload.mClasses) {
    mSums.emplace_back().mClass = each;
  }
}

void
load_report::Add(std::size_t aClass,
                 time_point aPlanned,
                 std::uint32_t aSubmissions,
                 const load_result& aResult)
{
  class_sums& sums = mSums[aClass];
  ++sums.mSent;
  sums.mSubmissions += aSubmissions;
  ++sums.mOutcomes[static_cast<std::size_t>(aResult.mOutcome)];
  sums.mTokens += aResult.mTokens;
  if (aResult.mOutcome == load_outcome::kExplicitError) {
    ++sums.mErrors[aResult.mErrorKind + "/" + aResult.mRan];
  } else if (!aResult.mDetail.empty()) {
    ++sums.mMismatches[aResult.mDetail];
  }
  if (aResult.mFirstToken) {
    sums.mFirstToken.push_back(*aResult.mFirstToken - aPlanned);
  }
  sums.mBetweenTokens.insert(
    sums.mBetweenTokens.end(), aResult.mGaps.begin(), aResult.mGaps.end());
  if (aResult.mOutcome == load_outcome::kComplete) {
    sums.mUsefulTokens += aResult.mTokens;
    sums.mAttained += Attains(sums.mClass, aPlanned, aResult) ? 1 : 0;
  }
}

// A request attains its targets when its first token, the mean time between its
// tokens and its end are all in time, as far as its form of answer has them.
bool
load_report::Attains(const load_class& aClass,
                     time_point aPlanned,
                     const load_result& aResult)
{
  const auto within = [](duration aTime, duration aTarget) {
    return aTarget == duration::zero() || aTime <= aTarget;
  };
  const duration between =
    aResult.mGaps.empty() ? duration::zero()
                          : std::accumulate(aResult.mGaps.begin(),
                                            aResult.mGaps.end(),
                                            duration::zero()) /
                              static_cast<std::int64_t>(aResult.mGaps.size());
  const time_point first = aResult.mFirstToken.value_or(aPlanned);
  return within(first - aPlanned, aClass.mFirstTokenTarget) &&
         within(between, aClass.mBetweenTokensTarget) &&
         within(aResult.mEnd - aPlanned, aClass.mDeadline);
}

std::string
load_report::Table(duration aElapsed,
                   std::optional<std::uint64_t> aComputed) const
{
  std::string text = fmt::format("{:<26}{:>7}{:>7}{:>7}{:>9}{:>26}{:>24}\n",
                                 "class",
                                 "sent",
                                 "done",
                                 "bad",
                                 "attained",
                                 "first token p50/95/99 ms",
                                 "between p50/95/99 ms");
  const auto triple = [](const std::vector<duration>& aSamples) {
    const percentiles found = PercentilesOf(aSamples);
    return fmt::format("{:.0f}/{:.0f}/{:.0f}",
                       InMilliseconds(found.mHalf),
                       InMilliseconds(found.mNinetyFive),
                       InMilliseconds(found.mNinetyNine));
  };
  for (const class_sums& sums : mSums) {
    const auto done = Of(sums, load_outcome::kComplete);
    const auto refused = Of(sums, load_outcome::kExplicitError);
    text += fmt::format("{:<26}{:>7}{:>7}{:>7}{:>8.1f}%{:>26}{:>24}\n",
                        sums.mClass.mName,
                        sums.mSent,
                        done,
                        sums.mSent - done - refused,
                        100 * Share(sums.mAttained, sums.mSent),
                        triple(sums.mFirstToken),
                        triple(sums.mBetweenTokens));
    if (!sums.mErrors.empty()) {
      text += "  errors: " + CountsText(sums.mErrors) + "\n";
    }
    if (!sums.mMismatches.empty()) {
      text += "  wrong: " + CountsText(sums.mMismatches) + "\n";
    }
  }
  const totals all = Totals();
  text += fmt::format("goodput: {:.1f} requests/s, {:.0f} tokens/s\n",
                      PerSecond(all.mCompleted, aElapsed),
                      PerSecond(all.mUsefulTokens, aElapsed));
  if (aComputed) {
    const auto wasted = Wasted(*aComputed, all.mTokens);
    text += fmt::format("wasted work: {} of {} tokens ({:.2f}%)\n",
                        wasted,
                        *aComputed,
                        100 * Share(wasted, *aComputed));
  }
  return text;
}

std::string
load_report::Json(duration aElapsed,
                  std::optional<std::uint64_t> aComputed) const
{
  json::array classes;
  for (const class_sums& sums : mSums) {
    json::object outcomes;
    for (std::size_t at = 0; at < kLoadOutcomes; ++at) {
      outcomes[Name(static_cast<load_outcome>(at))] = sums.mOutcomes[at];
    }
    classes.push_back(json::object{
      { "class", sums.mClass.mName },
      { "sent", sums.mSent },
      { "submissions", sums.mSubmissions },
      { "completed", Of(sums, load_outcome::kComplete) },
      { "attained", sums.mAttained },
      { "attainment", Share(sums.mAttained, sums.mSent) },
      { "first_token_ms", PercentilesJson(sums.mFirstToken) },
      { "between_tokens_ms", PercentilesJson(sums.mBetweenTokens) },
      { "tokens", sums.mTokens },
      { "outcomes", outcomes },
      { "errors", CountsJson(sums.mErrors) },
      { "mismatches", CountsJson(sums.mMismatches) } });
  }
  const totals all = Totals();
  json::object whole{
    { "elapsed_s", ToSeconds(aElapsed) },
    { "goodput_requests_per_s", PerSecond(all.mCompleted, aElapsed) },
    { "goodput_tokens_per_s", PerSecond(all.mUsefulTokens, aElapsed) },
    { "tokens_received", all.mTokens },
    { "classes", classes },
  };
  if (aComputed) {
    whole["tokens_computed"] = *aComputed;
    whole["tokens_wasted"] = Wasted(*aComputed, all.mTokens);
  }
  return json::serialize(whole);
}

bool
load_report::Sound() const
{
  return std::ranges::all_of(mSums, [](const class_sums& aSums) {
    return Of(aSums, load_outcome::kSilentCut) == 0 &&
           Of(aSums, load_outcome::kMismatch) == 0 &&
           Of(aSums, load_outcome::kNoAnswer) == 0;
  });
}

load_report::totals
load_report::Totals() const
{
  totals all;
  for (const class_sums& sums : mSums) {
    all.mCompleted += Of(sums, load_outcome::kComplete);
    all.mTokens += sums.mTokens;
    all.mUsefulTokens += sums.mUsefulTokens;
  }
  return all;
}

std::uint64_t
load_report::Of(const class_sums& aSums, load_outcome aOutcome)
{
  return aSums.mOutcomes[static_cast<std::size_t>(aOutcome)];
}

} // namespace thornhollow
