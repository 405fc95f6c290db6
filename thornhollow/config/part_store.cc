#include "thornhollow/config/part_store.h"

#include <utility>

#include "thornhollow/config/sha256.h"

namespace thornhollow {

bool
part_store::Put(const std::string& aDigest, std::string aText)
{
  if (Sha256Hex(aText) != aDigest) {
    return false;
  }
  mHeld.insert_or_assign(aDigest, new held_bytes(std::move(aText)));
  return true;
}

bytes_ptr
part_store::Find(std::string_view aDigest) const
{
  const auto found = mHeld.find(std::string(aDigest));
  return found == mHeld.end() ? nullptr : found->second;
}

void
part_store::Retain(const std::unordered_set<std::string_view>& aDigests)
{
  std::erase_if(mHeld, [&](const auto& aEntry) {
    return !aDigests.contains(aEntry.first);
  });
}

} // namespace thornhollow
