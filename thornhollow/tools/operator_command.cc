#include "thornhollow/tools/operator_command.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <variant>

#include <fmt/format.h>

#include "thornhollow/config/catalog.h"
#include "thornhollow/config/difference.h"

namespace thornhollow {
namespace {

// One line of the table of instances.
constexpr std::string_view kStatusRow =
  "{:<22} {:<20} {:<18} {:>8} {:>8} {:<6} {:<8} {:>8} {:>6}\n";

command_result
Refused(const faults& aFaults)
{
  command_result refused{ kExitRefused, "", "" };
  for (const fault& each : aFaults) {
    refused.mErr += Text(each) + '\n';
  }
  refused.mErr += fmt::format("refused: {} fault(s)\n", aFaults.size());
  return refused;
}

command_result
NotDeclared(std::string aSentence)
{
  return { kExitRefused, "", std::move(aSentence) + '\n' };
}

struct accepted_set
{
  declarations mDeclared;
  bundle mBundle;
};

// What a daemon would have in force after `aFiles` were published.
std::variant<accepted_set, faults>
Accept(std::span<const source_file> aFiles)
{
  read_verdict written = ReadDeclarations(aFiles);
  if (auto* found = std::get_if<faults>(&written)) {
    return std::move(*found);
  }
  bundle made = MakeBundle(std::get<declarations>(written));
  read_verdict read = ReadBundle(made);
  if (auto* found = std::get_if<faults>(&read)) {
    return std::move(*found);
  }
  return accepted_set{ std::get<declarations>(std::move(read)),
                       std::move(made) };
}

std::string
Summary(const declarations& aDeclared)
{
  return fmt::format("{} levels, {} classes, {} models, {} services, "
                     "{} teams, {} endpoints",
                     aDeclared.mLevels.size(),
                     aDeclared.mClasses.size(),
                     aDeclared.mModels.size(),
                     aDeclared.mServices.size(),
                     aDeclared.mTeams.size(),
                     aDeclared.mEndpoints.size());
}

// The endpoints of a pool, a line a failure domain.
std::string
Candidates(const declarations& aDeclared, const pool_name& aPool)
{
  // Both levels in the order of their names.
  std::map<std::string, std::map<std::string, const endpoint*>> byDomain;
  const std::set<domain_name> out = DomainsOutOfService(aDeclared);
  std::uint64_t slots = 0;
  std::uint64_t slotsOut = 0;
  for (const endpoint& each : aDeclared.mEndpoints) {
    if (std::ranges::find(each.mPools, aPool) != each.mPools.end()) {
      slots += each.mSlots;
      slotsOut += out.contains(each.mDomain) ? each.mSlots : 0;
      byDomain[each.mDomain.Text()].emplace(each.mName.Text(), &each);
    }
  }
  std::string text = fmt::format("    {} slots in all\n", slots);
  if (slotsOut > 0) {
    text += fmt::format("    {} of them out of service\n", slotsOut);
  }
  for (const auto& [domain, endpoints] : byDomain) {
    const bool isOut = out.contains(domain_name(domain));
    text +=
      fmt::format("    {}{}:\n", domain, isOut ? " (out of service)" : "");
    for (const auto& [name, each] : endpoints) {
      text += fmt::format(
        "      {} at {}, {} slots\n", name, each->mAddress, each->mSlots);
    }
  }
  return text;
}

// What callers would suffer from although it is accepted, a line each.
std::string
Warnings(const declarations& aDeclared)
{
  const std::set<domain_name> out = DomainsOutOfService(aDeclared);
  std::map<std::string, bool> isServed;
  for (const endpoint& each : aDeclared.mEndpoints) {
    for (const pool_name& pool : each.mPools) {
      isServed[pool.Text()] |= !out.contains(each.mDomain);
    }
  }
  std::string text;
  for (const domain_name& each : out) {
    text += fmt::format("domain {} is out of service\n", each.Text());
  }
  for (const auto& [pool, served] : isServed) {
    if (!served) {
      text += fmt::format("every endpoint of {} is out of service\n", pool);
    }
  }
  return text;
}

// What the model's engines take while they warm up; empty if as much as usual.
std::string
WarmUpLine(const declarations& aDeclared, const model_name& aModel)
{
  const auto found =
    std::ranges::find(aDeclared.mModels, aModel, &model::mName);
  if (found == aDeclared.mModels.end() || !found->mWarmUp.LimitsRequests()) {
    return "";
  }
  return fmt::format("    an engine takes {} requests a second for {} ms after "
                     "its start\n",
                     found->mWarmUp.mRequestsPerSecond,
                     ToMilliseconds(found->mWarmUp.mLength));
}

// The part of a class's capacity that a team gets while all teams that may use
// the class have requests waiting.
double
ShareOfTeam(const declarations& aDeclared,
            const team& aTeam,
            const class_name& aClass)
{
  double sum = 0;
  for (const team& each : aDeclared.mTeams) {
    if (std::ranges::find(each.mClasses, aClass) != each.mClasses.end()) {
      sum += each.mWeight;
    }
  }
  return aTeam.mWeight / sum;
}

std::string
ExplainTerms(const declarations& aDeclared,
             const team& aTeam,
             const class_terms& aTerms)
{
  const request_class& named = *aTerms.mClass;
  const service_level& level = *aTerms.mLevel;
  const auto time = [](duration aLength) {
    return aLength == duration::zero()
             ? std::string("no target")
             : fmt::format("{} ms", ToMilliseconds(aLength));
  };
  return ExplainLine("team", aTeam.mName.Text()) +
         ExplainLine("class", named.mName.Text()) +
         ExplainLine("level", level.mName.Text()) +
         ExplainLine("tier (1 goes first, 4 last)",
                     fmt::format("{}", level.mTier)) +
         ExplainLine("target for the first token",
                     time(level.mFirstTokenTarget)) +
         ExplainLine("target between tokens",
                     time(level.mBetweenTokensTarget)) +
         ExplainLine("deadline for the whole answer", time(level.mDeadline)) +
         ExplainLine(
           "minimum share of the class",
           fmt::format("{:.0f}% of each pool", 100 * named.mMinimumShare)) +
         ExplainLine(
           "team's part of the class, if full",
           fmt::format("{:.0f}% (weight {})",
                       100 * ShareOfTeam(aDeclared, aTeam, named.mName),
                       aTeam.mWeight)) +
         ExplainLine("in progress on one instance",
                     fmt::format("at most {}", aTeam.mMaxInFlight)) +
         ExplainLine("may be run again after a failure",
                     named.mIdempotent ? "yes" : "no, runs at most once");
}

std::string
HeldRow(const held_report& aHeld)
{
  const std::string age =
    aHeld.mAgeMs ? fmt::format("source answered {:.1f} s ago",
                               static_cast<double>(*aHeld.mAgeMs) / 1'000)
                 : std::string("told by peers only");
  return fmt::format("    {}: {} items at revision {}, {}{}\n",
                     aHeld.mWhat,
                     aHeld.mCount,
                     aHeld.mAt,
                     age,
                     aHeld.mFailing ? ", failing now" : "");
}

std::string
StatusRow(const asked_instance& aAsked)
{
  const auto& [address, status] = aAsked;
  if (!status) {
    return fmt::format("{:<22} no answer\n", address);
  }
  const auto version = [](const std::optional<std::uint64_t>& aVersion) {
    return aVersion ? fmt::format("{}", *aVersion) : std::string("-");
  };
  std::string row = fmt::format(kStatusRow,
                                address,
                                status->mName.Text(),
                                status->mDomain.Text(),
                                version(status->mRevision),
                                version(status->mRefusedRevision),
                                status->mReady ? "yes" : "no",
                                status->mDraining ? "yes" : "no",
                                status->mInProgress,
                                status->mPeersAlive);
  for (const std::string& each : status->mRefusedFaults) {
    row += "    refused: " + each + '\n';
  }
  for (const held_report& each : status->mHeld) {
    row += HeldRow(each);
  }
  return row;
}

} // namespace

std::string
ExplainLine(std::string_view aWhat, std::string_view aValue)
{
  return fmt::format("{:<34}{}\n", aWhat, aValue);
}

command_result
RunCheck(std::span<const source_file> aFiles)
{
  const auto verdict = Accept(aFiles);
  if (const auto* found = std::get_if<faults>(&verdict)) {
    return Refused(*found);
  }
  const declarations& declared = std::get<accepted_set>(verdict).mDeclared;
  return { kExitOk,
           "accepted: " + Summary(declared) + '\n' + Warnings(declared),
           "" };
}

std::pair<command_result, std::optional<bundle>>
RunBundle(std::span<const source_file> aFiles)
{
  auto verdict = Accept(aFiles);
  if (const auto* found = std::get_if<faults>(&verdict)) {
    return { Refused(*found), std::nullopt };
  }
  auto& accepted = std::get<accepted_set>(verdict);
  std::size_t bytes = accepted.mBundle.mManifest.size();
  for (const bundle_part& part : accepted.mBundle.mParts) {
    bytes += part.mText.size();
  }
  command_result done{ kExitOk, "", "" };
  done.mOut = fmt::format("accepted: {}\n{} parts and the manifest, {} bytes\n"
                          "publish the parts first, the manifest last\n",
                          Summary(accepted.mDeclared),
                          accepted.mBundle.mParts.size(),
                          bytes);
  return { std::move(done), std::move(accepted.mBundle) };
}

command_result
RunDiff(std::span<const source_file> aOld, std::span<const source_file> aNew)
{
  const auto before = Accept(aOld);
  if (const auto* found = std::get_if<faults>(&before)) {
    return Refused(*found);
  }
  const auto after = Accept(aNew);
  if (const auto* found = std::get_if<faults>(&after)) {
    return Refused(*found);
  }
  const auto lines = DescribeChanges(std::get<accepted_set>(before).mDeclared,
                                     std::get<accepted_set>(after).mDeclared);
  if (lines.empty()) {
    return { kExitOk, "Nothing changes for callers.\n", "" };
  }
  return { kExitOk, fmt::format("{}\n", fmt::join(lines, "\n")), "" };
}

command_result
RunExplain(std::span<const source_file> aFiles,
           const std::string& aTeam,
           const std::string& aClass)
{
  auto verdict = Accept(aFiles);
  if (const auto* found = std::get_if<faults>(&verdict)) {
    return Refused(*found);
  }
  const auto known =
    MakeCatalog(std::get<accepted_set>(std::move(verdict)).mDeclared);
  const team* caller = known->TeamByName(aTeam);
  if (caller == nullptr) {
    return NotDeclared(fmt::format("no team \"{}\" is declared", aTeam));
  }
  const class_terms terms = known->ClassForTeam(*caller, aClass);
  if (terms.mClass == nullptr) {
    return NotDeclared(
      fmt::format("team \"{}\" may not use class \"{}\"", aTeam, aClass));
  }
  const declarations& declared = known->Declared();
  command_result done{ kExitOk, ExplainTerms(declared, *caller, terms), "" };
  for (const model_name& each : terms.mClass->mModels) {
    done.mOut += fmt::format("\n  model {}\n", each.Text()) +
                 WarmUpLine(declared, each) +
                 Candidates(declared, PoolOf(each));
  }
  for (const plain_service& each : declared.mServices) {
    if (each.mClass == terms.mClass->mName) {
      done.mOut += fmt::format("\n  service {} ({} {}){}\n",
                               each.mName.Text(),
                               fmt::join(each.mMethods, ","),
                               each.mPath,
                               each.mIdempotent ? "" : ", runs at most once") +
                   Candidates(declared, PoolOf(each.mName));
    }
  }
  return done;
}

command_result
RunStatus(std::span<const asked_instance> aAsked)
{
  command_result done{ kExitOk, "", "" };
  done.mOut = fmt::format(kStatusRow,
                          "ADDRESS",
                          "INSTANCE",
                          "DOMAIN",
                          "IN-FORCE",
                          "REFUSED",
                          "READY",
                          "DRAINING",
                          "RUNNING",
                          "PEERS");
  for (const asked_instance& each : aAsked) {
    done.mOut += StatusRow(each);
    if (!each.second) {
      done.mExit = kExitUnreachable;
      done.mErr += each.first + " did not answer\n";
    }
  }
  return done;
}

} // namespace thornhollow
