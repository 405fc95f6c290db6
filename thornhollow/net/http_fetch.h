// One HTTP call with a time limit, for the platform and for load reports.
//
//   Fetch(io, { .mAddress = "127.0.0.1:9000", .mTarget = "/v1/load" },
//         [](fetch_outcome aOutcome) { ... });
//
#ifndef THORNHOLLOW_NET_HTTP_FETCH_H_
#define THORNHOLLOW_NET_HTTP_FETCH_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "thornhollow/base/header_field.h"
#include "thornhollow/base/time.h"

namespace boost::asio {
class io_context;
}

namespace thornhollow {

struct fetch_call
{
  // IP number and port.
  std::string mAddress;
  std::string mTarget;
  std::vector<header_field> mHeaders = {};
  // Over the whole exchange, connecting included. A peer that accepts and then
  // says nothing costs at most this.
  duration mTimeout = Seconds(2);
  // Of that, the part in which the connection must stand.
  duration mConnectTimeout = Seconds(2);
  // The answer may take long, as that of a long poll: a connection that went
  // silent meanwhile is found by probes, within about three seconds.
  bool mLongPoll = false;
  // Where above zero, `mTimeout` holds up to the answer's first bytes; then no
  // pause between two parts is longer than this, and all of them come within
  // `mLongest`.
  duration mMostPause{};
  duration mLongest = Seconds(20);
  // Called with the bytes that have come, while more of the answer is to.
  std::function<void(std::size_t aBytes)> mOnBytes = nullptr;
  // Called before the outcome if the peer's system refused the connection, as
  // nothing listens there.
  std::function<void()> mOnRefused = nullptr;
  // Bytes of the answer's body at most.
  std::size_t mMaxBytes = std::size_t{ 2 } << 20U;
};

struct fetch_answer
{
  unsigned mHttpStatus = 0;
  // The `X-Version` header, where there is one.
  std::optional<std::uint64_t> mVersion;
  std::string mBody;
  // Only the end of the connection told the body's end: nobody vouches that
  // nothing is missing.
  bool mIsOpenEnded = false;
  // Bytes of the request and the answer, without the transport's own.
  std::size_t mExchangedBytes = 0;
};

// Nothing when no whole answer came in time.
using fetch_outcome = std::optional<fetch_answer>;

// GETs; `aDone` is called exactly once, from the io_context's thread.
void
Fetch(boost::asio::io_context& aIo,
      fetch_call aCall,
      std::function<void(fetch_outcome)> aDone);

} // namespace thornhollow

#endif // THORNHOLLOW_NET_HTTP_FETCH_H_
