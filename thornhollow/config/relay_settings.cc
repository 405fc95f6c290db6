#include "thornhollow/config/relay_settings.h"

#include <utility>

#include <fmt/format.h>

#include "thornhollow/config/internal/field_reader.h"
#include "thornhollow/config/internal/ip_address.h"
#include "thornhollow/config/internal/settings_fields.h"

namespace thornhollow {
namespace {

using internal::field_reader;
using internal::yaml_node;

void
ReadAddresses(field_reader& aFields, relay_settings& aRead)
{
  aRead.mCallerAddress = internal::ReadAddress(aFields, "caller_address");
  aRead.mReadinessAddress = internal::ReadAddress(aFields, "readiness_address");
  aRead.mOperatorAddress = internal::ReadAddress(aFields, "operator_address");
  aRead.mPeerAddress = internal::ReadAddress(aFields, "peer_address");
  aRead.mSourceAddress = internal::ReadAddress(aFields, "source_address");
  aRead.mPeerSeeds = internal::ReadSeeds(aFields, "peer_seeds");
}

void
ReadRetries(field_reader& aFields,
            const source_file& aFile,
            shared_retry_settings& aRead,
            faults& aFaults)
{
  const yaml_node* node = aFields.Node("retries");
  if (node == nullptr) {
    return;
  }
  field_reader fields(*node, aFile.mName, "retries", aFaults);
  aRead.mRatio = fields.Number(
    "ratio", { .mLeast = 0, .mMost = 10, .mDefault = aRead.mRatio });
  aRead.mExtra = fields.Number(
    "extra", { .mLeast = 0, .mMost = 1e6, .mDefault = aRead.mExtra });
  aRead.mWindow = FromSeconds(fields.Number(
    "window_s",
    { .mLeast = 0.1, .mMost = 3'600, .mDefault = ToSeconds(aRead.mWindow) }));
  fields.RefuseUnknown();
}

void
ReadEngines(field_reader& aFields,
            const source_file& aFile,
            engine_settings& aRead,
            faults& aFaults)
{
  const yaml_node* node = aFields.Node("engines");
  if (node == nullptr) {
    return;
  }
  field_reader fields(*node, aFile.mName, "engines", aFaults);
  aRead.mReadPerSecond = fields.Number(
    "prompt_tokens_per_s",
    { .mLeast = 1, .mMost = 1e9, .mDefault = aRead.mReadPerSecond });
  aRead.mMissPenalty = fields.Number(
    "miss_penalty",
    { .mLeast = 0, .mMost = 1'000, .mDefault = aRead.mMissPenalty });
  aRead.mUrgentMissPenalty = fields.Number(
    "urgent_miss_penalty",
    { .mLeast = 0, .mMost = 1'000, .mDefault = aRead.mUrgentMissPenalty });
  aRead.mCopyFromTokens = static_cast<std::uint32_t>(
    fields.Number("copy_from_tokens",
                  { .mLeast = 0,
                    .mMost = 1e9,
                    .mDefault = static_cast<double>(aRead.mCopyFromTokens) }));
  aRead.mPatientBusy = fields.Number(
    "patient_busy",
    { .mLeast = 0.01, .mMost = 1, .mDefault = aRead.mPatientBusy });
  aRead.mUrgentBusy = fields.Number(
    "urgent_busy",
    { .mLeast = 0.01, .mMost = 1, .mDefault = aRead.mUrgentBusy });
  fields.RefuseUnknown();
}

} // namespace

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
  ReadRetries(fields, aFile, read.mRetries, found);
  read.mDrainGrace =
    FromSeconds(fields.Number("drain_grace_s",
                              { .mLeast = 0.1,
                                .mMost = 86'400,
                                .mDefault = ToSeconds(read.mDrainGrace) }));
  read.mSourceReaders = static_cast<std::uint32_t>(fields.Whole(
    "source_readers",
    { .mLeast = 0, .mMost = 64, .mDefault = read.mSourceReaders }));
  read.mMaxConnections = static_cast<std::uint32_t>(fields.Whole(
    "max_connections",
    { .mLeast = 1, .mMost = 65'535, .mDefault = read.mMaxConnections }));
  ReadEngines(fields, aFile, read.mEngines, found);
  read.mLogLevel = internal::ReadLogLevel(fields, read.mLogLevel);
  fields.RefuseUnknown();
  if (found.empty()) {
    return read;
  }
  return found;
}

} // namespace thornhollow
