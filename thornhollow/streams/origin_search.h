// Finds out at which version a stream began, for a caller that continues it:
// from what this instance knows and what others answer.
//
//   origin_search search(OwnWord(), addresses);
//   search.OnWord("10.0.0.7:7001", { .mKnown = true, .mVersion = version });
//   if (const auto verdict = search.Verdict()) { ... }
//   const origin_verdict last = search.Close();
//
// The stream's version is what one instance was told. If none was, it follows
// from the pool's history: if one version was the only one for longer than any
// stream lives, at an instance that others confirm, the stream began at it,
// since instances tell each other where streams begin whenever that can't be
// concluded. Anything else leaves the version unknown: a stream that is
// continued at the wrong version is worse than one that isn't continued.
//
// The same holds for a caller that names no submission, which can't be looked
// up. After all instances have started again, nobody has seen the versions that
// served before.
#ifndef THORNHOLLOW_STREAMS_ORIGIN_SEARCH_H_
#define THORNHOLLOW_STREAMS_ORIGIN_SEARCH_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "thornhollow/streams/stream_origin.h"
#include "thornhollow/streams/version_history.h"

namespace thornhollow {

// What one instance knows of a stream.
struct origin_word
{
  // Whether the instance was told where the stream began.
  bool mKnown = false;
  // Of a known stream; `kUnknownVersion` if it can't be told.
  endpoint_version_hash mVersion = kUnknownVersion;
  // What the instance knows of the pool.
  listed_versions mListed;

  friend bool operator==(const origin_word&, const origin_word&) = default;
};

// Why a version is held to be the one at which a stream began, or is unknown.
enum class origin_ground : std::uint8_t
{
  // This instance was told, or began the stream itself.
  kHeld,
  // Another instance was told.
  kPeer,
  // No other version was listed for longer than any stream lives.
  kOnlyVersion,
  // Unknown: two versions were told, or the endpoint started again meanwhile.
  kAmbiguous,
  // Unknown: nobody was told, and several versions were listed.
  kSeveralVersions,
  // Unknown: nobody was told, and nobody knows the list for long enough.
  kListTooYoung,
  // Unknown: those that would know it did not answer, or this instance doesn't
  // know yet whom to ask.
  kNoAnswer,
};

// "held" and so on, for logs.
std::string_view
Name(origin_ground aGround);

struct origin_verdict
{
  // `kUnknownVersion` if it isn't known.
  endpoint_version_hash mVersion = kUnknownVersion;
  origin_ground mGround = origin_ground::kNoAnswer;
  // The instance that was told, for `kPeer` and `kAmbiguous`.
  std::string mFrom = {};
  std::size_t mAsked = 0;
  std::size_t mAnswered = 0;

  friend bool operator==(const origin_verdict&,
                         const origin_verdict&) = default;
};

class origin_search
{
public:
  // `aAsked`: the addresses of the instances that are asked. If there are none,
  // this instance decides alone.
  origin_search(const origin_word& aOwn, std::vector<std::string> aAsked);

  // The instance at this address answered. One that was not asked, or has
  // answered before, is ignored.
  void OnWord(const std::string& aFrom, const origin_word& aWord);

  // The result, once nothing that is still to come could change it.
  std::optional<origin_verdict> Verdict() const;
  // The result if no more answers come.
  origin_verdict Close() const;

  // Those that have not answered yet.
  const std::vector<std::string>& Unanswered() const { return mUnanswered; }

private:
  origin_verdict Make(endpoint_version_hash aVersion,
                      origin_ground aGround) const;
  origin_verdict Conclude() const;

  origin_word mOwn;
  std::size_t mAsked;
  std::vector<std::string> mUnanswered;
  std::vector<origin_word> mWords;
  // The first answer of an instance that was told.
  std::optional<origin_word> mTold;
  std::string mToldBy;
};

} // namespace thornhollow

#endif // THORNHOLLOW_STREAMS_ORIGIN_SEARCH_H_
