// One request's answer, part by part, from whoever makes it to the connection
// that writes it.
//
//   one->Send(whole_reply{ ... });               // by the handler
//   while (const auto part = co_await one->Next()) { ... }
//
#ifndef THORNHOLLOW_NET_INTERNAL_QUEUED_EXCHANGE_H_
#define THORNHOLLOW_NET_INTERNAL_QUEUED_EXCHANGE_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "thornhollow/net/caller_server.h"

namespace thornhollow::net_internal {

// No part comes after it.
bool
IsLast(const reply_part& aPart);

// Parts wait here until they are written.
class queued_exchange final : public caller_exchange
{
public:
  // `aMaxUnsentBytes` may wait; beyond it the caller counts as gone.
  // `aCharge` is that of the request's body, which lives as long as this.
  queued_exchange(const boost::asio::any_io_executor& aExecutor,
                  caller_request aRequest,
                  std::size_t aMaxUnsentBytes,
                  memory_charge aCharge,
                  time_point aArrival);

  const caller_request& Request() const override { return mRequest; }
  time_point Arrival() const override { return mArrival; }
  void Send(reply_part aPart) override;
  void OnLeft(std::function<void()> aListener) override;

  // The caller is gone; tells the listener unless the answer is complete.
  void Leave();
  bool Gone() const { return mGone; }
  bool Complete() const { return mLastQueued; }

  // The next part to write; nothing when the caller is gone.
  boost::asio::awaitable<std::optional<reply_part>> Next();

private:
  // Declared first, so that the body is freed before its charge.
  memory_charge mCharge;
  caller_request mRequest;
  time_point mArrival;
  std::size_t mMaxUnsentBytes;
  std::size_t mUnsentBytes = 0;
  std::deque<reply_part> mParts;
  std::function<void()> mOnLeft;
  bool mGone = false;
  bool mLastQueued = false;
  boost::asio::steady_timer mSignal;
};

} // namespace thornhollow::net_internal

#endif // THORNHOLLOW_NET_INTERNAL_QUEUED_EXCHANGE_H_
