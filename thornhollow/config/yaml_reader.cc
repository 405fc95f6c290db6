#include "thornhollow/config/yaml_reader.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include <fmt/format.h>

#include "thornhollow/config/check.h"
#include "thornhollow/config/internal/field_reader.h"
#include "thornhollow/config/internal/ip_address.h"
#include "thornhollow/config/sha256.h"

namespace thornhollow {
namespace {

using internal::field_reader;
using internal::yaml_kind;
using internal::yaml_node;

constexpr std::int64_t kMaxTargetMs = 600'000;
constexpr std::int64_t kMaxBetweenTokensMs = 60'000;
constexpr std::int64_t kMaxDeadlineMs = 86'400'000;
constexpr std::int64_t kMaxInFlight = 100'000;
constexpr std::int64_t kDefaultInFlight = 64;
constexpr std::int64_t kMaxSlots = 4096;
constexpr std::int64_t kMaxWarmUpMs = 3'600'000;
constexpr double kMaxWarmUpRate = 1e6;
constexpr double kLeastWeight = 0.01;
constexpr double kMostWeight = 1000;
constexpr std::size_t kMaxTokensOfTeam = 8;
constexpr std::size_t kMaxNamesOfItem = 64;
constexpr std::size_t kMaxPathBytes = 256;
constexpr std::string_view kChatPath = "/v1/chat/completions";

template<class name>
std::vector<name>
AsNames(std::vector<std::string> aTexts)
{
  std::vector<name> names;
  names.reserve(aTexts.size());
  for (std::string& text : aTexts) {
    names.emplace_back(std::move(text));
  }
  return names;
}

service_level
ReadLevel(field_reader& aFields)
{
  service_level read;
  read.mName = level_name(aFields.Name("name"));
  read.mTier = static_cast<int>(
    aFields.Whole("tier", { .mLeast = kHighestTier, .mMost = kLowestTier }));
  read.mFirstTokenTarget = Milliseconds(
    aFields.Whole("first_token_ms", { .mLeast = 1, .mMost = kMaxTargetMs }));
  read.mBetweenTokensTarget = Milliseconds(aFields.Whole(
    "between_tokens_ms",
    { .mLeast = 0, .mMost = kMaxBetweenTokensMs, .mDefault = 0 }));
  read.mDeadline = Milliseconds(
    aFields.Whole("deadline_ms", { .mLeast = 1, .mMost = kMaxDeadlineMs }));
  return read;
}

request_class
ReadClass(field_reader& aFields)
{
  request_class read;
  read.mName = class_name(aFields.Name("name"));
  read.mLevel = level_name(aFields.Name("level"));
  read.mMinimumShare =
    aFields.Number("minimum_share", { .mLeast = 0, .mMost = 1, .mDefault = 0 });
  read.mIdempotent = aFields.Flag("idempotent", false);
  read.mModels =
    AsNames<model_name>(aFields.Names("models", { 0, kMaxNamesOfItem }));
  return read;
}

team
ReadTeam(field_reader& aFields)
{
  team read;
  read.mName = team_name(aFields.Name("name"));
  read.mTokenDigests =
    aFields.Texts("token_digests", { 1, kMaxTokensOfTeam, true });
  for (std::size_t each = 0; each < read.mTokenDigests.size(); ++each) {
    // The text itself is not repeated: it may be a token put there by mistake.
    if (!IsSha256Hex(read.mTokenDigests[each])) {
      aFields.Refuse("token_digests",
                     fmt::format("something else as item {}", each),
                     "SHA-256 digests of tokens, 64 lower-case hex digits");
    }
  }
  read.mClasses =
    AsNames<class_name>(aFields.Names("classes", { 1, kMaxNamesOfItem }));
  read.mWeight = aFields.Number(
    "weight", { .mLeast = kLeastWeight, .mMost = kMostWeight, .mDefault = 1 });
  read.mMaxInFlight = static_cast<std::uint32_t>(aFields.Whole(
    "max_in_flight",
    { .mLeast = 1, .mMost = kMaxInFlight, .mDefault = kDefaultInFlight }));
  return read;
}

model
ReadModel(field_reader& aFields)
{
  model read;
  read.mName = model_name(aFields.Name("name"));
  read.mWarmUp.mLength = Milliseconds(aFields.Whole(
    "warm_up_ms", { .mLeast = 0, .mMost = kMaxWarmUpMs, .mDefault = 0 }));
  read.mWarmUp.mRequestsPerSecond =
    aFields.Number("warm_up_requests_per_s",
                   { .mLeast = 0, .mMost = kMaxWarmUpRate, .mDefault = 0 });
  return read;
}

endpoint
ReadEndpoint(field_reader& aFields)
{
  endpoint read;
  read.mName = endpoint_name(aFields.Name("name"));
  read.mDomain = domain_name(aFields.Name("domain"));
  read.mAddress = aFields.Text("address");
  if (!read.mAddress.empty() && (!internal::IsAddressWithPort(read.mAddress) ||
                                 internal::IsAnyAddress(read.mAddress))) {
    aFields.Refuse("address",
                   internal::Quote(read.mAddress),
                   std::string(internal::kAddressForm));
  }
  read.mPools =
    AsNames<pool_name>(aFields.Names("pools", { 1, kMaxNamesOfItem }));
  read.mSlots = static_cast<std::uint32_t>(
    aFields.Whole("slots", { .mLeast = 1, .mMost = kMaxSlots }));
  return read;
}

failure_domain
ReadDomain(field_reader& aFields)
{
  failure_domain read;
  read.mName = domain_name(aFields.Name("name"));
  read.mOutOfService = aFields.Flag("out_of_service", false);
  return read;
}

bool
IsServicePath(std::string_view aPath)
{
  return aPath.size() > 1 && aPath.size() <= kMaxPathBytes &&
         aPath.front() == '/' && aPath != kChatPath &&
         aPath.find("//") == std::string_view::npos &&
         std::ranges::all_of(aPath, [](unsigned char aChar) {
           return std::isalnum(aChar) != 0 || aChar == '/' || aChar == '-' ||
                  aChar == '_' || aChar == '.' || aChar == '~';
         });
}

bool
IsMethod(std::string_view aMethod)
{
  return aMethod == "GET" || aMethod == "POST" || aMethod == "PUT" ||
         aMethod == "PATCH" || aMethod == "DELETE";
}

plain_service
ReadService(field_reader& aFields)
{
  plain_service read;
  read.mName = service_name(aFields.Name("name"));
  read.mPath = aFields.Text("path");
  if (!IsServicePath(read.mPath)) {
    aFields.Refuse("path",
                   internal::Quote(read.mPath),
                   fmt::format("'/' and letters, digits, '-', '_', '.', '~', "
                               "'/' up to {} bytes; not {}",
                               kMaxPathBytes,
                               kChatPath));
  }
  read.mMethods = aFields.Texts("methods", { 1, 5 });
  for (const std::string& method : read.mMethods) {
    if (!IsMethod(method)) {
      aFields.Refuse(
        "methods", internal::Quote(method), "GET, POST, PUT, PATCH, DELETE");
    }
  }
  read.mClass = class_name(aFields.Name("class"));
  read.mIdempotent = aFields.Flag("idempotent", false);
  return read;
}

class set_reader
{
public:
  void Add(const source_file& aFile);
  read_verdict Finish() &&;

private:
  template<class item>
  void ReadList(field_reader& aRoot,
                const source_file& aFile,
                std::string_view aList,
                item (*aRead)(field_reader&),
                std::vector<item>& aItems,
                std::vector<item_source>& aSources);
  void CheckNotEmpty();

  declarations mDeclared;
  declaration_sources mSources;
  faults mFaults;
  // Whether each file could be read as lists; if not, references between items
  // can't be judged.
  bool mWhole = true;
};

template<class item>
void
set_reader::ReadList(field_reader& aRoot,
                     const source_file& aFile,
                     std::string_view aList,
                     item (*aRead)(field_reader&),
                     std::vector<item>& aItems,
                     std::vector<item_source>& aSources)
{
  const yaml_node* list = aRoot.Node(aList);
  if (list == nullptr) {
    return;
  }
  if (list->mKind != yaml_kind::kSequence) {
    aRoot.Refuse(aList, internal::Describe(*list), "a list");
    mWhole = false;
    return;
  }
  for (std::size_t each = 0; each < list->mItems.size(); ++each) {
    const yaml_node& node = list->mItems[each];
    field_reader fields(
      node, aFile.mName, fmt::format("{}[{}]", aList, each), mFaults);
    if (node.mKind != yaml_kind::kMapping) {
      mWhole = false;
      continue;
    }
    aItems.push_back(aRead(fields));
    fields.RefuseUnknown();
    aSources.push_back(
      { aFile.mName, node.mLine, fields.Path(), fields.TakeLines() });
  }
}

void
set_reader::Add(const source_file& aFile)
{
  const auto tree = internal::ParseYaml(aFile.mName, aFile.mText, mFaults);
  if (!tree) {
    mWhole = false;
    return;
  }
  field_reader root(*tree, aFile.mName, "", mFaults);
  if (tree->mKind != yaml_kind::kMapping) {
    mWhole = false;
    return;
  }
  declarations& to = mDeclared;
  declaration_sources& at = mSources;
  ReadList(root, aFile, "levels", ReadLevel, to.mLevels, at.mLevels);
  ReadList(root, aFile, "classes", ReadClass, to.mClasses, at.mClasses);
  ReadList(root, aFile, "models", ReadModel, to.mModels, at.mModels);
  ReadList(root, aFile, "teams", ReadTeam, to.mTeams, at.mTeams);
  ReadList(
    root, aFile, "endpoints", ReadEndpoint, to.mEndpoints, at.mEndpoints);
  ReadList(root, aFile, "services", ReadService, to.mServices, at.mServices);
  ReadList(root, aFile, "domains", ReadDomain, to.mDomains, at.mDomains);
  root.RefuseUnknown();
}

// An empty list of teams would refuse every caller: far more likely a file that
// was forgotten on the command line than a wish.
void
set_reader::CheckNotEmpty()
{
  const auto need = [&](bool aEmpty, std::string_view aList) {
    if (aEmpty) {
      AddFault(mFaults,
               { "(all files)",
                 0,
                 std::string(aList),
                 "none",
                 "at least one over all files" });
    }
  };
  need(mDeclared.mLevels.empty(), "levels");
  need(mDeclared.mClasses.empty(), "classes");
  need(mDeclared.mTeams.empty(), "teams");
  need(mDeclared.mEndpoints.empty(), "endpoints");
}

read_verdict
set_reader::Finish() &&
{
  if (mWhole) {
    CheckNotEmpty();
    faults found = CheckDeclarations(mDeclared, mSources);
    for (fault& each : found) {
      AddFault(mFaults, std::move(each));
    }
  }
  if (mFaults.empty()) {
    return std::move(mDeclared);
  }
  return std::move(mFaults);
}

// Refuses by size alone, before any parsing, so that a huge file costs neither
// memory nor time.
faults
CheckSizes(std::span<const source_file> aFiles)
{
  faults found;
  std::size_t sum = 0;
  for (const source_file& file : aFiles) {
    sum += file.mText.size();
    if (file.mText.size() > kMaxFileBytes) {
      found.push_back({ file.mName,
                        0,
                        "",
                        fmt::format("{} bytes", file.mText.size()),
                        fmt::format("at most {} bytes", kMaxFileBytes) });
    }
  }
  if (found.empty() && sum > kMaxSetBytes) {
    found.push_back({ "(all files)",
                      0,
                      "",
                      fmt::format("{} bytes", sum),
                      fmt::format("at most {} bytes", kMaxSetBytes) });
  }
  return found;
}

} // namespace

read_verdict
ReadDeclarations(std::span<const source_file> aFiles)
{
  if (faults oversized = CheckSizes(aFiles); !oversized.empty()) {
    return oversized;
  }
  set_reader reader;
  for (const source_file& file : aFiles) {
    reader.Add(file);
  }
  return std::move(reader).Finish();
}

} // namespace thornhollow
