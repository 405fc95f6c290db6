#include "thornhollow/wire/seal.h"

#include <algorithm>
#include <array>
#include <utility>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <thornhollow_types.h>

#include "thornhollow/wire/internal/compact.h"

namespace thornhollow {
namespace {

// A forger has to guess 128 bits; the rest of the digest would cost a datagram
// the room of a member.
constexpr std::size_t kCodeBytes = 16;

std::string
Code(const std::string& aKey,
     const instance_name& aRecipient,
     std::string_view aEnvelope)
{
  // The length keeps a name that ends like an envelope begins apart.
  std::string covered =
    std::to_string(aRecipient.Text().size()) + ":" + aRecipient.Text();
  covered.append(aEnvelope);
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(covered.data()),
       covered.size(),
       digest.data(),
       &size);
  return { digest.begin(), digest.begin() + kCodeBytes };
}

} // namespace

sealer::sealer(std::string aKey, instance_name aSelf, std::uint64_t aEpoch)
  : mKey(std::move(aKey))
  , mSelf(std::move(aSelf))
  , mEpoch(aEpoch)
{
}

std::string
sealer::Seal(const instance_name& aRecipient, std::string_view aPayload)
{
  wire::envelope out;
  out.__set_sender(mSelf.Text());
  out.__set_epoch(static_cast<std::int64_t>(mEpoch));
  out.__set_sequence(static_cast<std::int64_t>(++mSequence));
  out.__set_payload(std::string(aPayload));
  std::string bytes = wire_internal::Write(out);
  bytes += Code(mKey, aRecipient, bytes);
  return bytes;
}

opener::opener(std::string aKey, instance_name aSelf)
  : mKey(std::move(aKey))
  , mSelf(std::move(aSelf))
{
}

result<opened_message>
opener::Open(std::string_view aBytes)
{
  if (aBytes.size() <= kCodeBytes) {
    return Fail(error_kind::kMalformedRequest, "seal: too short");
  }
  const std::string_view covered = aBytes.substr(0, aBytes.size() - kCodeBytes);
  const std::string_view code = aBytes.substr(covered.size());
  // Nothing is parsed before its origin is proved, in time that doesn't depend
  // on how much of the code was guessed.
  if (CRYPTO_memcmp(
        Code(mKey, mSelf, covered).data(), code.data(), kCodeBytes) != 0) {
    return Fail(error_kind::kUnauthenticated, "seal: wrong code");
  }
  auto read = wire_internal::Read<wire::envelope>(covered, 0);
  if (!read || read->sender.empty()) {
    return Fail(error_kind::kMalformedRequest, "seal: no envelope");
  }
  instance_name sender(read->sender);
  const auto epoch = static_cast<std::uint64_t>(read->epoch);
  if (!IsFresh(sender, epoch, static_cast<std::uint64_t>(read->sequence))) {
    return Fail(error_kind::kUnauthenticated, "seal: replay");
  }
  return opened_message{ std::move(sender), epoch, std::move(read->payload) };
}

bool
opener::IsFresh(const instance_name& aSender,
                std::uint64_t aEpoch,
                std::uint64_t aSequence)
{
  window& seen = WindowOf(aSender);
  if (aEpoch < seen.mEpoch) {
    return false;
  }
  if (aEpoch > seen.mEpoch) {
    seen.mEpoch = aEpoch;
    seen.mHighest = 0;
    seen.mSeen.reset();
  }
  if (aSequence > seen.mHighest) {
    const std::uint64_t ahead = aSequence - seen.mHighest;
    seen.mSeen = ahead < kWindow ? seen.mSeen << ahead : 0;
    seen.mHighest = aSequence;
  }
  const std::uint64_t behind = seen.mHighest - aSequence;
  if (behind >= kWindow || seen.mSeen.test(behind)) {
    return false;
  }
  seen.mSeen.set(behind);
  return true;
}

opener::window&
opener::WindowOf(const instance_name& aSender)
{
  if (mWindows.size() >= kMaxSenders && !mWindows.contains(aSender)) {
    mWindows.erase(std::ranges::min_element(
      mWindows, {}, [](const auto& aOne) { return aOne.second.mLastUse; }));
  }
  window& found = mWindows[aSender];
  found.mLastUse = ++mUses;
  return found;
}

} // namespace thornhollow
