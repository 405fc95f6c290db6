// Reads the head of an endpoint's answer, and tells whether it is one.
//
//   co_await ReadAnswerHead(stream, buffer, parser, kMaxHeadBytes, wrong);
//   if (!wrong && !IsFinalStatus(parser.get().result_int())) { ... }
//
// Guards against an endpoint in trouble whose bytes look like an answer. The
// parser takes any three digits for a status, and a line that begins with a
// blank for more of the line before it. It shows as a caller that gets status
// 000, a field that holds another one, or a body that is cut where the wrong
// field says. Such an answer ends here, before anything of it is used.
#ifndef THORNHOLLOW_NET_INTERNAL_ANSWER_HEAD_H_
#define THORNHOLLOW_NET_INTERNAL_ANSWER_HEAD_H_

#include <cstddef>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/system/error_code.hpp>

#include "thornhollow/net/internal/awaitable.h"
#include "thornhollow/net/internal/header_text.h"

namespace thornhollow::net_internal {

// Whether an answer with this status is the last one to its request. Statuses
// outside of 100 to 599 don't exist (RFC 9110, section 15).
constexpr bool
IsFinalStatus(unsigned aStatus)
{
  return aStatus >= 200 && aStatus <= 599;
}

// Whether another answer follows one with this status. After 101, which answers
// a wish that is never sent, nothing in this protocol follows.
constexpr bool
IsInterimStatus(unsigned aStatus)
{
  return aStatus >= 100 && aStatus <= 199 && aStatus != 101;
}

// Reads until `aBuffer` holds a whole head; bytes of the body may follow it.
// The errors are those of the library's own reading.
template<class stream>
boost::asio::awaitable<void>
ReceiveHead(stream& aStream,
            boost::beast::flat_buffer& aBuffer,
            std::size_t aMaxBytes,
            boost::system::error_code& aWrong)
{
  namespace http = boost::beast::http;
  constexpr std::size_t kMaxReadBytes = 65'536;
  header_scanner scanner;
  while (!aWrong) {
    const auto data = aBuffer.cdata();
    const std::string_view text(static_cast<const char*>(data.data()),
                                data.size());
    const header_text found = scanner.Scan(text);
    if (found == header_text::kWhole) {
      co_return;
    }
    if (found == header_text::kAmbiguous) {
      aWrong = http::error::bad_field;
      co_return;
    }
    if (text.size() >= aMaxBytes) {
      aWrong = http::error::header_limit;
      co_return;
    }
    const std::size_t bytes = co_await aStream.async_read_some(
      aBuffer.prepare(boost::beast::read_size(aBuffer, kMaxReadBytes)),
      Into(aWrong));
    aBuffer.commit(bytes);
    if (aWrong == boost::asio::error::eof) {
      aWrong = text.empty() ? http::error::end_of_stream
                            : http::error::partial_message;
    }
  }
}

// Reads the next head on the stream into the parser, and no more of the buffer.
// `aMaxBytes` is no more than what the buffer can hold. Returns the head's
// bytes.
template<class stream, class parser>
boost::asio::awaitable<std::size_t>
ReadAnswerHead(stream& aStream,
               boost::beast::flat_buffer& aBuffer,
               parser& aParser,
               std::size_t aMaxBytes,
               boost::system::error_code& aWrong)
{
  co_await ReceiveHead(aStream, aBuffer, aMaxBytes, aWrong);
  if (aWrong) {
    co_return 0;
  }
  aParser.eager(false);
  const std::size_t bytes = aParser.put(aBuffer.data(), aWrong);
  aBuffer.consume(bytes);
  co_return bytes;
}

} // namespace thornhollow::net_internal

#endif // THORNHOLLOW_NET_INTERNAL_ANSWER_HEAD_H_
