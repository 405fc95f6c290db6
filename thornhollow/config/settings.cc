#include "thornhollow/config/settings.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include <fmt/format.h>

#include "thornhollow/config/internal/field_reader.h"
#include "thornhollow/config/internal/ip_address.h"
#include "thornhollow/config/internal/settings_fields.h"

namespace thornhollow {
namespace {

using internal::field_reader;

constexpr std::size_t kMaxPeerKeyBytes = 128;
constexpr int kHexBase = 16;
constexpr std::array<std::string_view, 4> kLogLevels = { "error",
                                                         "warning",
                                                         "info",
                                                         "debug" };

std::string
PeerKeyForm()
{
  return fmt::format(
    "{} to {} bytes in hex digits", kMinPeerKeyBytes, kMaxPeerKeyBytes);
}

// The bytes that `aHex` stands for, where it has the length of a peer key.
std::optional<std::string>
ParsePeerKey(std::string_view aHex)
{
  if (aHex.size() % 2 != 0 || aHex.size() < 2 * kMinPeerKeyBytes ||
      aHex.size() > 2 * kMaxPeerKeyBytes) {
    return std::nullopt;
  }
  std::string bytes;
  bytes.reserve(aHex.size() / 2);
  for (std::size_t at = 0; at < aHex.size(); at += 2) {
    std::uint8_t byte = 0;
    const char* from = aHex.data() + at;
    if (const auto [end, error] =
          std::from_chars(from, from + 2, byte, kHexBase);
        error != std::errc() || end != from + 2) {
      return std::nullopt;
    }
    bytes.push_back(static_cast<char>(byte));
  }
  return bytes;
}

duration
ReadMilliseconds(field_reader& aFields,
                 std::string_view aField,
                 std::int64_t aLeast,
                 std::int64_t aMost,
                 duration aDefault)
{
  return Milliseconds(aFields.Whole(aField,
                                    { .mLeast = aLeast,
                                      .mMost = aMost,
                                      .mDefault = ToMilliseconds(aDefault) }));
}

std::uint32_t
ReadCount(field_reader& aFields,
          std::string_view aField,
          std::int64_t aLeast,
          std::int64_t aMost,
          std::uint32_t aDefault)
{
  return static_cast<std::uint32_t>(aFields.Whole(
    aField, { .mLeast = aLeast, .mMost = aMost, .mDefault = aDefault }));
}

class settings_reader
{
public:
  settings_reader(const source_file& aFile,
                  const settings_overrides& aOverrides)
    : mFile(aFile)
    , mOverrides(aOverrides)
  {
  }

  settings_verdict Run() &&;

private:
  void ReadIdentity(field_reader& aFields);
  void ReadAddresses(field_reader& aFields);
  void ReadPeerKeyFields(field_reader& aFields);
  void ReadLimits(field_reader& aSection);
  void ReadTimeouts(field_reader& aSection);
  void ReadKeyTimes(field_reader& aSection);
  void CheckAddressesDiffer();

  std::string Named(field_reader& aFields,
                    std::string_view aField,
                    const std::string& aOverride);
  std::string Address(field_reader& aFields,
                      std::string_view aField,
                      const std::string& aOverride);

  const source_file& mFile;
  const settings_overrides& mOverrides;
  daemon_settings mRead;
  faults mFaults;
};

settings_verdict
settings_reader::Run() &&
{
  const auto tree = internal::ParseSettings(mFile, mFaults);
  if (!tree) {
    return std::move(mFaults);
  }
  field_reader fields(*tree, mFile.mName, "", mFaults);
  ReadIdentity(fields);
  ReadAddresses(fields);
  ReadPeerKeyFields(fields);
  internal::ReadSection(
    fields, mFile, "limits", mFaults, [this](field_reader& aSection) {
      ReadLimits(aSection);
    });
  internal::ReadSection(
    fields, mFile, "timeouts", mFaults, [this](field_reader& aSection) {
      ReadTimeouts(aSection);
    });
  internal::ReadSection(
    fields, mFile, "idempotency_keys", mFaults, [this](field_reader& aSection) {
      ReadKeyTimes(aSection);
    });
  mRead.mMemoryMegabytes =
    ReadCount(fields, "memory_mb", 64, 1'000'000, mRead.mMemoryMegabytes);
  mRead.mFileDescriptors = ReadCount(
    fields, "file_descriptors", 0, 10'000'000, mRead.mFileDescriptors);
  mRead.mDrainGrace = ReadMilliseconds(
    fields, "drain_grace_ms", 1'000, 86'400'000, mRead.mDrainGrace);
  mRead.mLogLevel = internal::ReadLogLevel(fields, mRead.mLogLevel);
  fields.RefuseUnknown();
  CheckAddressesDiffer();
  if (mFaults.empty()) {
    return std::move(mRead);
  }
  return std::move(mFaults);
}

std::string
settings_reader::Named(field_reader& aFields,
                       std::string_view aField,
                       const std::string& aOverride)
{
  if (aOverride.empty()) {
    return aFields.Name(aField);
  }
  aFields.Node(aField);
  if (!internal::IsName(aOverride)) {
    AddFault(mFaults,
             { fmt::format("--{}", aField),
               0,
               "",
               internal::Quote(aOverride),
               std::string(internal::kNameForm) });
  }
  return aOverride;
}

std::string
settings_reader::Address(field_reader& aFields,
                         std::string_view aField,
                         const std::string& aOverride)
{
  if (!aOverride.empty()) {
    aFields.Node(aField);
    if (!internal::IsAddressWithPort(aOverride)) {
      AddFault(mFaults,
               { fmt::format("--{}", aField),
                 0,
                 "",
                 internal::Quote(aOverride),
                 std::string(internal::kAddressForm) });
    }
    return aOverride;
  }
  return internal::ReadAddress(aFields, aField);
}

void
settings_reader::ReadIdentity(field_reader& aFields)
{
  mRead.mName = instance_name(Named(aFields, "name", mOverrides.mName));
  mRead.mDomain = domain_name(Named(aFields, "domain", mOverrides.mDomain));
}

void
settings_reader::ReadAddresses(field_reader& aFields)
{
  mRead.mCallerAddress =
    Address(aFields, "caller_address", mOverrides.mCallerAddress);
  mRead.mOperatorAddress =
    Address(aFields, "operator_address", mOverrides.mOperatorAddress);
  mRead.mPeerAddress =
    Address(aFields, "peer_address", mOverrides.mPeerAddress);
  mRead.mPlatformAddress =
    Address(aFields, "platform_address", mOverrides.mPlatformAddress);
  mRead.mPeerSeeds = internal::ReadSeeds(aFields, "peer_seeds");
}

// Exactly one of the two fields: with both, nobody could say which key is in
// use; with none, anybody on the network could speak as an instance.
void
settings_reader::ReadPeerKeyFields(field_reader& aFields)
{
  const std::string hex = aFields.Text("peer_key", "");
  mRead.mPeerKeyFile = aFields.Text("peer_key_file", "");
  if (hex.empty() == mRead.mPeerKeyFile.empty()) {
    aFields.Refuse("peer_key",
                   hex.empty() ? "neither peer_key nor peer_key_file"
                               : "both peer_key and peer_key_file",
                   "exactly one of the two");
    return;
  }
  if (hex.empty()) {
    return;
  }
  if (auto key = ParsePeerKey(hex)) {
    mRead.mPeerKey = std::move(*key);
  } else {
    aFields.Refuse("peer_key", "something else", PeerKeyForm());
  }
}

void
settings_reader::ReadLimits(field_reader& aSection)
{
  caller_limits& read = mRead.mLimits;
  read.mMaxHeaderBytes = ReadCount(
    aSection, "max_header_bytes", 1'024, 1'048'576, read.mMaxHeaderBytes);
  read.mMaxBodyBytes = ReadCount(
    aSection, "max_body_bytes", 1'024, 67'108'864, read.mMaxBodyBytes);
  read.mMaxConnections =
    ReadCount(aSection, "max_connections", 1, 65'535, read.mMaxConnections);
  read.mSendTimeout = ReadMilliseconds(
    aSection, "caller_send_timeout_ms", 100, 600'000, read.mSendTimeout);
}

void
settings_reader::ReadTimeouts(field_reader& aSection)
{
  stage_timeouts& read = mRead.mTimeouts;
  read.mConnect =
    ReadMilliseconds(aSection, "connect_ms", 1, 60'000, read.mConnect);
  read.mFirstByte =
    ReadMilliseconds(aSection, "first_byte_ms", 10, 600'000, read.mFirstByte);
  read.mBetweenTokens = ReadMilliseconds(
    aSection, "between_tokens_ms", 10, 600'000, read.mBetweenTokens);
  read.mIdleConnection = ReadMilliseconds(
    aSection, "idle_connection_ms", 10, 600'000, read.mIdleConnection);
}

void
settings_reader::ReadKeyTimes(field_reader& aSection)
{
  key_times& read = mRead.mKeys;
  read.mLifetime = ReadMilliseconds(
    aSection, "lifetime_ms", 1'000, 86'400'000, read.mLifetime);
  read.mViewLag =
    ReadMilliseconds(aSection, "view_lag_ms", 100, 600'000, read.mViewLag);
}

// Two listeners on one address would fail only when the second one is opened.
void
settings_reader::CheckAddressesDiffer()
{
  const std::array<std::pair<std::string_view, const std::string*>, 3> own = {
    { { "caller_address", &mRead.mCallerAddress },
      { "operator_address", &mRead.mOperatorAddress },
      { "peer_address", &mRead.mPeerAddress } }
  };
  for (std::size_t first = 0; first < own.size(); ++first) {
    for (std::size_t second = first + 1; second < own.size(); ++second) {
      if (!own[first].second->empty() &&
          *own[first].second == *own[second].second) {
        AddFault(mFaults,
                 { mFile.mName,
                   0,
                   std::string(own[second].first),
                   fmt::format("\"{}\", the same as {}",
                               *own[second].second,
                               own[first].first),
                   "an address of its own" });
      }
    }
  }
}

} // namespace

std::string_view
Name(log_level aLevel)
{
  return kLogLevels[static_cast<std::size_t>(aLevel)];
}

settings_verdict
ReadSettings(const source_file& aFile, const settings_overrides& aOverrides)
{
  return settings_reader(aFile, aOverrides).Run();
}

std::variant<std::string, fault>
ReadPeerKey(const source_file& aFile)
{
  constexpr std::string_view kSpace = " \t\r\n";
  std::string_view text = aFile.mText;
  text.remove_prefix(std::min(text.find_first_not_of(kSpace), text.size()));
  text = text.substr(0, text.find_last_not_of(kSpace) + 1);
  if (auto key = ParsePeerKey(text)) {
    return std::move(*key);
  }
  return fault{ aFile.mName, 0, "", "something else", PeerKeyForm() };
}

} // namespace thornhollow
