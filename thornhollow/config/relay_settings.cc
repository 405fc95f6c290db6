#include "thornhollow/config/relay_settings.h"

#include <array>
#include <utility>

#include <fmt/format.h>

#include "thornhollow/config/internal/field_reader.h"
#include "thornhollow/config/internal/ip_address.h"
#include "thornhollow/config/internal/settings_fields.h"

namespace thornhollow {
namespace {

constexpr std::array<engine_placement, 3> kPlacements = {
  engine_placement::kApart,
  engine_placement::kLeast,
  engine_placement::kHash
};

using internal::field_reader;

void
ReadAddresses(field_reader& aFields, relay_settings& aRead)
{
  aRead.mCallerAddress = internal::ReadAddress(aFields, "caller_address");
  aRead.mReadinessAddress = internal::ReadAddress(aFields, "readiness_address");
  aRead.mOperatorAddress = internal::ReadAddress(aFields, "operator_address");
  aRead.mPeerAddress = internal::ReadAddress(aFields, "peer_address");
  aRead.mForwardAddress =
    internal::ReadOptionalAddress(aFields, "forward_address");
  aRead.mSourceAddress = internal::ReadAddress(aFields, "source_address");
  aRead.mPeerSeeds = internal::ReadSeeds(aFields, "peer_seeds");
}

void
ReadRetries(field_reader& aSection, shared_retry_settings& aRead)
{
  aRead.mRatio = aSection.Number(
    "ratio", { .mLeast = 0, .mMost = 10, .mDefault = aRead.mRatio });
  aRead.mExtra = aSection.Number(
    "extra", { .mLeast = 0, .mMost = 1e6, .mDefault = aRead.mExtra });
  aRead.mWindow = FromSeconds(aSection.Number(
    "window_s",
    { .mLeast = 0.1, .mMost = 3'600, .mDefault = ToSeconds(aRead.mWindow) }));
  aRead.mSpentBefore = aSection.Flag("spent_before", aRead.mSpentBefore);
}

void
ReadEngines(field_reader& aSection, engine_settings& aRead)
{
  aRead.mMissPenalty = aSection.Number(
    "miss_penalty",
    { .mLeast = 0, .mMost = 1'000, .mDefault = aRead.mMissPenalty });
  aRead.mCopyFromTokens = static_cast<std::uint32_t>(aSection.Number(
    "copy_from_tokens",
    { .mLeast = 0,
      .mMost = 1e9,
      .mDefault = static_cast<double>(aRead.mCopyFromTokens) }));
  aRead.mPlacement =
    internal::ReadChoice(aSection, "placement", kPlacements, aRead.mPlacement);
  aRead.mAdmission = aSection.Flag("admission", aRead.mAdmission);
}

} // namespace

std::string_view
Name(engine_placement aPlacement)
{
  constexpr std::array<std::string_view, 3> kNames = { "apart",
                                                       "least",
                                                       "hash" };
  return kNames[static_cast<std::size_t>(aPlacement)];
}

relay_settings_verdict
ReadRelaySettings(const source_file& aFile)
{
  faults found;
  const auto tree = internal::ParseSettings(aFile, found);
  if (!tree) {
    return found;
  }
  relay_settings read;
  field_reader fields(*tree, aFile.mName, "", found);
  read.mName = instance_name(fields.Name("name"));
  read.mDomain = domain_name(fields.Name("domain"));
  ReadAddresses(fields, read);
  internal::ReadSection(
    fields, aFile, "retries", found, [&](field_reader& aSection) {
      ReadRetries(aSection, read.mRetries);
    });
  read.mDrainGrace =
    FromSeconds(fields.Number("drain_grace_s",
                              { .mLeast = 0.1,
                                .mMost = 86'400,
                                .mDefault = ToSeconds(read.mDrainGrace) }));
  read.mSourceReaders = static_cast<std::uint32_t>(fields.Whole(
    "source_readers",
    { .mLeast = 0, .mMost = 64, .mDefault = read.mSourceReaders }));
  read.mLinkMegabits = fields.Number(
    "link_megabits",
    { .mLeast = 0.1, .mMost = 1e6, .mDefault = read.mLinkMegabits });
  read.mMaxConnections = static_cast<std::uint32_t>(fields.Whole(
    "max_connections",
    { .mLeast = 1, .mMost = 65'535, .mDefault = read.mMaxConnections }));
  read.mMemoryMegabytes = static_cast<std::uint32_t>(fields.Whole(
    "memory_mb",
    { .mLeast = 64, .mMost = 1'000'000, .mDefault = read.mMemoryMegabytes }));
  read.mFileDescriptors = static_cast<std::uint32_t>(fields.Whole(
    "file_descriptors",
    { .mLeast = 0, .mMost = 10'000'000, .mDefault = read.mFileDescriptors }));
  internal::ReadSection(
    fields, aFile, "engines", found, [&](field_reader& aSection) {
      ReadEngines(aSection, read.mEngines);
    });
  read.mLogLevel = internal::ReadLogLevel(fields, read.mLogLevel);
  fields.RefuseUnknown();
  if (found.empty()) {
    return read;
  }
  return found;
}

} // namespace thornhollow
