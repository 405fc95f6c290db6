#include "thornhollow/wire/internal/origin_codec.h"

#include <string>
#include <variant>

#include "thornhollow/wire/internal/fixed_bytes.h"

namespace thornhollow::wire_internal {
namespace {

constexpr std::size_t kOriginBytes = 2 * kFixedBytes;
// Longer names of pools are not read.
constexpr std::size_t kMaxPoolBytes = 128;

wire::origin_word
ToWire(const origin_word& aWord)
{
  wire::origin_word out;
  out.__set_known(aWord.mKnown);
  out.__set_version(static_cast<std::int64_t>(aWord.mVersion));
  out.__set_listed(static_cast<std::int32_t>(aWord.mListed.mCount));
  out.__set_listed_version(static_cast<std::int64_t>(aWord.mListed.mVersion));
  return out;
}

// A count that is not known here makes nothing certain.
version_count
CountFromWire(std::int32_t aCount)
{
  const bool isKnown =
    aCount >= static_cast<std::int32_t>(version_count::kNone) &&
    aCount <= static_cast<std::int32_t>(version_count::kSeveral);
  return isKnown ? static_cast<version_count>(aCount) : version_count::kSeveral;
}

origin_word
FromWire(const wire::origin_word& aWord)
{
  return { aWord.known,
           static_cast<endpoint_version_hash>(aWord.version),
           { CountFromWire(aWord.listed),
             static_cast<endpoint_version_hash>(aWord.listed_version) } };
}

struct message_writer
{
  wire::origin_message mOut;

  void operator()(const told_origins& aTold)
  {
    std::string bytes;
    for (const stream_origin& each : aTold.mOrigins) {
      AppendFixed(bytes, each.mStream.mValue);
      AppendFixed(bytes, each.mVersion);
    }
    mOut.__set_told(bytes);
  }
  void operator()(const origin_question& aQuestion)
  {
    wire::origin_question out;
    out.__set_number(static_cast<std::int64_t>(aQuestion.mNumber));
    out.__set_stream(static_cast<std::int64_t>(aQuestion.mStream.mValue));
    out.__set_pool(aQuestion.mPool.Text());
    mOut.__set_question(out);
  }
  void operator()(const origin_answer& aAnswer)
  {
    wire::origin_answer out;
    out.__set_number(static_cast<std::int64_t>(aAnswer.mNumber));
    out.__set_word(ToWire(aAnswer.mWord));
    mOut.__set_answer(out);
  }
};

told_origins
ReadTold(const std::string& aBytes)
{
  told_origins told;
  for (std::size_t at = 0; at + kOriginBytes <= aBytes.size();
       at += kOriginBytes) {
    told.mOrigins.push_back(
      { { ReadFixed(aBytes, at) }, ReadFixed(aBytes, at + kFixedBytes) });
  }
  return told;
}

} // namespace

wire::origin_message
ToWire(const origin_message& aMessage)
{
  message_writer writer;
  std::visit(writer, aMessage);
  return writer.mOut;
}

std::optional<origin_message>
FromWire(const wire::origin_message& aMessage)
{
  if (aMessage.__isset.told) {
    return ReadTold(aMessage.told);
  }
  if (aMessage.__isset.question &&
      aMessage.question.pool.size() <= kMaxPoolBytes) {
    return origin_question{
      static_cast<question_number>(aMessage.question.number),
      { static_cast<std::uint64_t>(aMessage.question.stream) },
      pool_name(aMessage.question.pool)
    };
  }
  if (aMessage.__isset.answer) {
    return origin_answer{ static_cast<question_number>(aMessage.answer.number),
                          FromWire(aMessage.answer.word) };
  }
  return std::nullopt;
}

} // namespace thornhollow::wire_internal
