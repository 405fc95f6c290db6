#include "thornhollow/tools/document_command.h"

#include <map>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "thornhollow/routing/routing_table.h"

namespace thornhollow {
namespace {

std::string_view
KindText(request_kind aKind)
{
  switch (aKind) {
    case request_kind::kIdempotent:
      return "may be repeated";
    case request_kind::kAtMostOnce:
      return "at most once";
    case request_kind::kStream:
      return "stream, at most once";
    case request_kind::kResumableStream:
      return "stream, may be continued elsewhere";
  }
  return "unknown";
}

std::string
Ms(duration aLength)
{
  return fmt::format("{} ms", ToMilliseconds(aLength));
}

void
NoteRoutes(const routing_document& aDocument, std::vector<std::string>& aNotes)
{
  std::set<pool_name> declared;
  for (const routed_pool& each : aDocument.mPools) {
    declared.insert(each.mName);
  }
  std::map<std::pair<std::string, std::string>, std::string> seen;
  for (const route& each : aDocument.mRoutes) {
    const auto [before, isNew] =
      seen.emplace(std::pair(each.mHost, each.mPathPrefix), each.mName);
    if (!isNew) {
      aNotes.push_back(fmt::format("routes {} and {} have the same host and "
                                   "prefix; only one is ever found",
                                   before->second,
                                   each.mName));
    }
    std::uint64_t weight = 0;
    for (const pool_weight& part : each.mPools) {
      weight += part.mWeight;
      if (!declared.contains(part.mPool)) {
        aNotes.push_back(fmt::format("route {} leads to pool {}, which is not "
                                     "declared",
                                     each.mName,
                                     part.mPool.Text()));
      }
    }
    if (weight == 0) {
      aNotes.push_back(
        fmt::format("route {} has no pool with a weight", each.mName));
    }
  }
}

void
NoteTokens(const routing_document& aDocument, std::vector<std::string>& aNotes)
{
  std::map<std::string, team_name> owners;
  for (const routed_team& each : aDocument.mTeams) {
    for (const std::string& token : each.mTokens) {
      const auto [before, isNew] = owners.emplace(token, each.mName);
      if (!isNew && before->second != each.mName) {
        aNotes.push_back(fmt::format("teams {} and {} have a token in common",
                                     before->second.Text(),
                                     each.mName.Text()));
      }
    }
  }
}

std::string
PoolLines(const routing_table& aTable, const route& aRoute)
{
  std::string lines;
  for (const pool_weight& each : aRoute.mPools) {
    const routed_pool* pool = aTable.Pool(each.mPool);
    std::string text =
      fmt::format("{}, weight {}", each.mPool.Text(), each.mWeight);
    if (pool == nullptr) {
      text += ", not declared";
    } else if (pool->mEngine) {
      text += fmt::format(", engines with {} slots", pool->mEngine->mSlots);
    } else {
      text += ", a plain service";
    }
    lines += ExplainLine("pool", text);
  }
  return lines;
}

std::string
RouteLines(const route& aRoute)
{
  std::string lines = ExplainLine("route", aRoute.mName);
  lines += ExplainLine("kind", std::string(KindText(aRoute.mKind)));
  lines +=
    ExplainLine("endpoints tried at most", std::to_string(aRoute.mMaxAttempts));
  lines += ExplainLine(IsStream(aRoute.mKind) ? "target for the first event"
                                              : "target for the answer",
                       Ms(aRoute.mTarget));
  if (aRoute.mEventGapTarget > duration::zero()) {
    lines +=
      ExplainLine("longest pause between events", Ms(aRoute.mEventGapTarget));
  }
  lines += ExplainLine("time limit", Ms(aRoute.mTimeout));
  return lines;
}

std::string
CallerLines(const caller_connection_limits& aBounds)
{
  std::string lines = ExplainLine("header at most",
                                  fmt::format("{} bytes in {}",
                                              aBounds.mMaxHeaderBytes,
                                              Ms(aBounds.mHeaderTimeout)));
  lines +=
    ExplainLine("body at most", fmt::format("{} bytes", aBounds.mMaxBodyBytes));
  lines +=
    ExplainLine("idle connections are closed after", Ms(aBounds.mIdleTimeout));
  return lines;
}

command_result
RefusedWith(int aStatus, std::string_view aWhy)
{
  return { kExitRefused,
           "",
           fmt::format("refused with {}: {}\n", aStatus, aWhy) };
}

} // namespace

command_result
RunCheckDocument(const routing_document& aDocument)
{
  std::vector<std::string> notes;
  NoteRoutes(aDocument, notes);
  NoteTokens(aDocument, notes);
  command_result done;
  done.mOut = fmt::format(
    "accepted: version {}, {} route(s), {} pool(s), {} team(s), callers need "
    "{} token\n",
    aDocument.mVersion,
    aDocument.mRoutes.size(),
    aDocument.mPools.size(),
    aDocument.mTeams.size(),
    aDocument.mTokensRequired ? "a" : "no");
  for (const std::string& each : notes) {
    done.mOut += "note: " + each + '\n';
  }
  return done;
}

command_result
RunExplainDocument(const routing_document& aDocument,
                   const std::string& aHost,
                   const std::string& aPath,
                   const std::string& aToken)
{
  const routing_table_ptr table = MakeRoutingTable(aDocument);
  const route* found = table->Match(aHost, aPath);
  if (found == nullptr) {
    return RefusedWith(404, "no route has this host and begins this path");
  }
  const routed_team* team = table->TeamForToken(aToken);
  const bool tokenNeeded = aDocument.mTokensRequired && !found->mAnonymous;
  if (tokenNeeded && team == nullptr) {
    return RefusedWith(401, "route " + found->mName + " needs a team's token");
  }
  const tier_number tier = EffectiveTier(*found, team);
  command_result done;
  done.mOut = RouteLines(*found);
  done.mOut +=
    ExplainLine("team", team == nullptr ? "none" : team->mName.Text());
  done.mOut += ExplainLine(
    "tier (0 goes first)",
    fmt::format(
      "{}, the {}'s", tier, team != nullptr && team->mTier ? "team" : "route"));
  done.mOut += ExplainLine("rank at engines (0 to 9)",
                           std::to_string(EnginePriority(*found, tier)));
  done.mOut += PoolLines(*table, *found);
  done.mOut += CallerLines(aDocument.mCallers);
  return done;
}

} // namespace thornhollow
