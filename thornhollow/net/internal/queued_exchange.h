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

// Room that a request has taken: the charges of its header and its body.
struct request_charges
{
  memory_charge mHeader;
  memory_charge mBody;
};

// Bounds on the parts of an answer that wait.
struct unsent_limits
{
  std::size_t mMaxBytes = 0;
  // Where parts are charged that aren't yet; null: nowhere.
  memory_account_ptr mMemory = nullptr;
};

// No part comes after it.
bool
IsLast(const reply_part& aPart);

// Parts wait here until they are written.
class queued_exchange final : public caller_exchange
{
public:
  // Beyond the limits the caller counts as gone. The request and its charges
  // live as long as this.
  queued_exchange(const boost::asio::any_io_executor& aExecutor,
                  caller_request aRequest,
                  unsent_limits aLimits,
                  request_charges aCharges,
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
  // Whether the parts that wait have room.
  bool ChargeUnsent();

  // Declared first, so that the request is freed before its charges.
  request_charges mCharges;
  caller_request mRequest;
  time_point mArrival;
  unsent_limits mLimits;
  std::size_t mUnsentBytes = 0;
  // Of these, bytes that came without a charge, and their charge.
  std::size_t mUncharged = 0;
  memory_charge mUnsentCharge;
  std::deque<reply_part> mParts;
  std::function<void()> mOnLeft;
  bool mGone = false;
  bool mLastQueued = false;
  boost::asio::steady_timer mSignal;
};

} // namespace thornhollow::net_internal

#endif // THORNHOLLOW_NET_INTERNAL_QUEUED_EXCHANGE_H_
