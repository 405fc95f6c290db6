#include "thornhollow/net/caller_server.h"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "thornhollow/net/address.h"
#include "thornhollow/net/internal/awaitable.h"
#include "thornhollow/net/internal/caller_session.h"

namespace thornhollow {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using net_internal::caller_server_state;
using net_internal::caller_session;
using net_internal::Into;
using net_internal::ServeConnection;

asio::awaitable<void>
Accept(std::shared_ptr<caller_server_state> aState)
{
  while (aState->mAcceptor.is_open()) {
    tcp::socket socket(aState->mIo);
    error_code wrong;
    co_await aState->mAcceptor.async_accept(socket, Into(wrong));
    if (wrong == asio::error::operation_aborted) {
      co_return;
    }
    if (wrong) {
      // Out of descriptors, most likely; trying again at once would spin.
      asio::steady_timer pause(aState->mIo, Milliseconds(50));
      co_await pause.async_wait(Into(wrong));
      continue;
    }
    ServeConnection(aState, std::move(socket));
  }
}

// Connections inherit them from their listener.
void
SetSocketSizes(tcp::acceptor& aAcceptor, const server_limits& aLimits)
{
  error_code ignored;
  aAcceptor.set_option(
    asio::socket_base::receive_buffer_size(aLimits.mSocketReceiveBytes),
    ignored);
  aAcceptor.set_option(
    asio::socket_base::send_buffer_size(aLimits.mSocketSendBytes), ignored);
}

} // namespace

std::string_view
Name(server_event aEvent)
{
  constexpr std::array<std::string_view, 4> kNames = {
    "connection_gave_way", "connection_dropped", "body_gave_way", "socket_full"
  };
  return kNames.at(static_cast<std::size_t>(aEvent));
}

std::string_view
caller_request::Header(std::string_view aName) const
{
  return HeaderValue(mHeaders, aName);
}

std::shared_ptr<const std::string>
SharedBody(const caller_exchange_ptr& aExchange)
{
  const auto owner = std::make_shared<const caller_exchange_ptr>(aExchange);
  return { owner, &aExchange->Request().mBody };
}

caller_server::caller_server(asio::io_context& aIo,
                             const server_limits& aLimits,
                             exchange_handler aOnRequest,
                             refusal_handler aOnUnreadable)
  : mState(std::make_shared<caller_server_state>(aIo,
                                                 aLimits,
                                                 std::move(aOnRequest),
                                                 std::move(aOnUnreadable)))
{
}

caller_server::~caller_server()
{
  error_code ignored;
  mState->mAcceptor.close(ignored);
}

result<std::string>
caller_server::Listen(std::string_view aAddress)
{
  BOOST_LEAF_AUTO(address, ParseAddress(aAddress));
  const tcp::endpoint where(asio::ip::make_address(address.mHost),
                            address.mPort);
  auto& acceptor = mState->mAcceptor;
  error_code wrong;
  acceptor.open(where.protocol(), wrong);
  if (!wrong) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), wrong);
    SetSocketSizes(acceptor, mState->mLimits);
    acceptor.bind(where, wrong);
  }
  if (!wrong) {
    acceptor.listen(asio::socket_base::max_listen_connections, wrong);
  }
  if (wrong) {
    return Fail(error_kind::kInternal,
                "cannot listen on " + std::string(aAddress) + ": " +
                  wrong.message());
  }
  asio::co_spawn(mState->mIo, Accept(mState), asio::detached);
  const std::string host =
    where.address().is_v6() ? "[" + address.mHost + "]" : address.mHost;
  return host + ":" + std::to_string(acceptor.local_endpoint().port());
}

void
caller_server::SetLimits(const server_limits& aLimits)
{
  mState->mLimits = aLimits;
}

void
caller_server::SetMemory(memory_account_ptr aAccount)
{
  mState->mMemory = std::move(aAccount);
}

void
caller_server::OnFault(fault_handler aListener)
{
  mState->mOnFault = std::move(aListener);
}

void
caller_server::OnEvent(server_event_handler aListener)
{
  mState->mOnEvent = std::move(aListener);
}

void
caller_server::CloseAfterAnswers()
{
  mState->mDraining = true;
}

void
caller_server::BeginDrain()
{
  CloseAfterAnswers();
  const std::vector<caller_session*> sessions(mState->mSessions.begin(),
                                              mState->mSessions.end());
  for (caller_session* each : sessions) {
    each->EndIfIdle();
  }
}

void
caller_server::StopListening()
{
  auto& acceptor = mState->mAcceptor;
  error_code wrong;
  acceptor.non_blocking(true, wrong);
  while (!wrong) {
    tcp::socket socket(mState->mIo);
    acceptor.accept(socket, wrong);
    if (!wrong) {
      ServeConnection(mState, std::move(socket));
    }
  }
  acceptor.close(wrong);
}

bool
caller_server::Busy() const
{
  return std::any_of(mState->mSessions.begin(),
                     mState->mSessions.end(),
                     [](const caller_session* aOne) { return aOne->Busy(); });
}

} // namespace thornhollow
