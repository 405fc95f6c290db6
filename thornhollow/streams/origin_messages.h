// What instances tell and ask each other about where streams began.
//
//   const origin_message message = origin_question{ 7, key, pool };
//
#ifndef THORNHOLLOW_STREAMS_ORIGIN_MESSAGES_H_
#define THORNHOLLOW_STREAMS_ORIGIN_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

#include "thornhollow/base/ids.h"
#include "thornhollow/streams/origin_search.h"
#include "thornhollow/streams/stream_origin.h"

namespace thornhollow {

// Origins in one message at most, which fits a datagram.
inline constexpr std::size_t kMaxToldOrigins = 60;

struct told_origins
{
  std::vector<stream_origin> mOrigins;

  friend bool operator==(const told_origins&, const told_origins&) = default;
};

// Identifies a question of one instance, and its answers.
using question_number = std::uint64_t;

struct origin_question
{
  question_number mNumber = 0;
  stream_key mStream;
  // Whose versions the answer tells.
  pool_name mPool;

  friend bool operator==(const origin_question&,
                         const origin_question&) = default;
};

struct origin_answer
{
  question_number mNumber = 0;
  origin_word mWord;

  friend bool operator==(const origin_answer&, const origin_answer&) = default;
};

using origin_message =
  std::variant<told_origins, origin_question, origin_answer>;

} // namespace thornhollow

#endif // THORNHOLLOW_STREAMS_ORIGIN_MESSAGES_H_
