#include "thornhollow/policy/scenario/report.h"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

#include <boost/json.hpp>
#include <fmt/format.h>

namespace thornhollow::scenario {
namespace {

template<class figure>
median_range
Summarize(const std::vector<outcome>& aOutcomes, figure aFigure)
{
  std::vector<double> values;
  std::ranges::transform(aOutcomes, std::back_inserter(values), aFigure);
  return MedianRangeOf(std::move(values));
}

class_row
MakeClassRow(const std::vector<outcome>& aOutcomes, std::size_t aClass)
{
  const auto of = [aClass](const outcome& aEach) -> const class_outcome& {
    return aEach.mClasses[aClass];
  };
  return {
    of(aOutcomes.front()).mClass,
    of(aOutcomes.front()).mTier,
    Summarize(aOutcomes,
              [&](const auto& aEach) { return of(aEach).Attainment(); }),
    Summarize(aOutcomes,
              [&](const auto& aEach) { return of(aEach).Completion(); }),
    Summarize(
      aOutcomes,
      [&](const auto& aEach) { return of(aEach).FirstTokenQuantile(0.95); }),
    Summarize(aOutcomes,
              [&](const auto& aEach) { return of(aEach).mTokensPerSecond; }),
  };
}

std::string
Percent(const median_range& aFigure)
{
  return fmt::format("{:5.1f} ({:.1f}..{:.1f})",
                     100 * aFigure.mMedian,
                     100 * aFigure.mMin,
                     100 * aFigure.mMax);
}

boost::json::object
Json(const median_range& aFigure)
{
  return { { "median", aFigure.mMedian },
           { "min", aFigure.mMin },
           { "max", aFigure.mMax } };
}

boost::json::object
Json(const report_row& aRow)
{
  boost::json::object classes;
  for (const class_row& each : aRow.mClasses) {
    classes[each.mClass.Text()] =
      boost::json::object{ { "tier", each.mTier },
                           { "attainment", Json(each.mAttainment) },
                           { "completion", Json(each.mCompletion) },
                           { "first_token_p95_s", Json(each.mFirstToken95) },
                           { "tokens_per_s", Json(each.mTokensPerSecond) } };
  }
  boost::json::object errors;
  for (const auto& [kind, count] : aRow.mErrors) {
    errors[Name(kind)] = count;
  }
  return { { "deployment", aRow.mDeployment },
           { "scenario", aRow.mScenario },
           { "policy", aRow.mPolicy },
           { "classes", std::move(classes) },
           { "other_teams_attainment", Json(aRow.mOtherTeams) },
           { "tokens_per_s", Json(aRow.mTokensPerSecond) },
           { "requests_per_s", Json(aRow.mRequestsPerSecond) },
           { "wasted", Json(aRow.mWastedFraction) },
           { "recovery_s", Json(aRow.mRecoverySeconds) },
           { "come_back_peak", Json(aRow.mRetryPeak) },
           { "refusals", std::move(errors) } };
}

} // namespace

median_range
MedianRangeOf(std::vector<double> aValues)
{
  std::ranges::sort(aValues);
  return { aValues[aValues.size() / 2], aValues.front(), aValues.back() };
}

report_row
RunRow(const deployment& aDeployment,
       const scenario_spec& aScenario,
       const named_policy& aPolicy,
       std::uint64_t aSeeds)
{
  std::vector<outcome> outcomes;
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    outcomes.push_back(Run(aDeployment, aScenario, aPolicy.mPolicy, seed));
  }
  report_row row;
  row.mDeployment = aDeployment.mName;
  row.mScenario = aScenario.mName;
  row.mPolicy = aPolicy.mName;
  for (std::size_t index = 0; index < outcomes[0].mClasses.size(); ++index) {
    row.mClasses.push_back(MakeClassRow(outcomes, index));
  }
  row.mOtherTeams = Summarize(outcomes, &outcome::mOtherTeamsAttainment);
  row.mTokensPerSecond = Summarize(outcomes, &outcome::mTokensPerSecond);
  row.mRequestsPerSecond = Summarize(outcomes, &outcome::mRequestsPerSecond);
  row.mWastedFraction = Summarize(outcomes, &outcome::mWastedFraction);
  row.mRecoverySeconds = Summarize(outcomes, &outcome::mRecoverySeconds);
  row.mRetryPeak = Summarize(outcomes, &outcome::mRetryPeak);
  for (const error_kind kind : AllErrorKinds()) {
    const median_range count =
      Summarize(outcomes, [kind](const outcome& aEach) {
        return aEach.mErrors[static_cast<std::size_t>(kind)];
      });
    if (count.mMax > 0) {
      row.mErrors.emplace_back(kind, count.mMedian);
    }
  }
  return row;
}

std::vector<report_row>
RunTable(const table_options& aOptions)
{
  std::vector<report_row> rows;
  const auto contains = [](const std::string& aText,
                           const std::string& aSubstring) {
    return aText.find(aSubstring) != std::string::npos;
  };
  for (const deployment& site : { GraniteRelay(), FerreiraNetos() }) {
    for (const scenario_spec& each : AllScenarios(site)) {
      if (!contains(site.mName, aOptions.mDeployment) ||
          !contains(each.mName, aOptions.mScenario)) {
        continue;
      }
      for (const named_policy& policy : AllPolicies()) {
        if (contains(policy.mName, aOptions.mPolicy)) {
          rows.push_back(RunRow(site, each, policy, aOptions.mSeeds));
        }
      }
    }
  }
  return rows;
}

std::string
ToText(const std::vector<report_row>& aRows)
{
  std::string text;
  auto out = std::back_inserter(text);
  std::string title;
  for (const report_row& row : aRows) {
    if (const std::string next = row.mDeployment + " / " + row.mScenario;
        next != title) {
      title = next;
      fmt::format_to(out, "\n{}\n", title);
    }
    fmt::format_to(out, "  {:<20}", row.mPolicy);
    for (const class_row& each : row.mClasses) {
      fmt::format_to(out,
                     " | {} {} done {:.0f} p95 {:.1f}s {:.0f}/s",
                     each.mClass.Text(),
                     Percent(each.mAttainment),
                     100 * each.mCompletion.mMedian,
                     each.mFirstToken95.mMedian,
                     each.mTokensPerSecond.mMedian);
    }
    fmt::format_to(out,
                   "\n  {:<20} | {:.0f} tok/s ({:.0f}..{:.0f}) {:.1f} req/s | "
                   "wasted {} | others {}",
                   "",
                   row.mTokensPerSecond.mMedian,
                   row.mTokensPerSecond.mMin,
                   row.mTokensPerSecond.mMax,
                   row.mRequestsPerSecond.mMedian,
                   Percent(row.mWastedFraction),
                   Percent(row.mOtherTeams));
    if (row.mRecoverySeconds.mMax > 0) {
      fmt::format_to(out,
                     " | recovery {:.0f} s ({:.0f}..{:.0f})",
                     row.mRecoverySeconds.mMedian,
                     row.mRecoverySeconds.mMin,
                     row.mRecoverySeconds.mMax);
    }
    if (row.mRetryPeak.mMax > 0) {
      fmt::format_to(out, " | peak {}", Percent(row.mRetryPeak));
    }
    fmt::format_to(out, "\n  {:<20} |", "");
    for (const auto& [kind, count] : row.mErrors) {
      fmt::format_to(out, " {} {:.0f}", Name(kind), count);
    }
    text += '\n';
  }
  return text;
}

std::string
ToJson(const std::vector<report_row>& aRows)
{
  boost::json::array rows;
  for (const report_row& each : aRows) {
    rows.push_back(Json(each));
  }
  return boost::json::serialize(rows);
}

} // namespace thornhollow::scenario
