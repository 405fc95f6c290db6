#include "thornhollow/daemon/load_exchange.h"

#include <utility>

#include <boost/asio/io_context.hpp>

#include "thornhollow/net/clock.h"

namespace thornhollow {

load_exchange::load_exchange(boost::asio::io_context& aIo,
                             std::string aOwnAddress,
                             metrics& aMetrics)
  : mIo(aIo)
  , mMetrics(aMetrics)
  , mDirectory(load_directory_settings{}, std::move(aOwnAddress))
{
}

void
load_exchange::Tick(std::vector<std::string> aOthers, time_point aNow)
{
  mDirectory.SetInstances(std::move(aOthers), aNow);
  for (const outgoing_load& each : mDirectory.Renew(aNow)) {
    mSend(each.mAddress, each.mMessage);
  }
}

void
load_exchange::SetOwn(const reported_load& aLoad, time_point aNow)
{
  if (const auto report = mDirectory.SetOwn(aLoad, aNow)) {
    mSend(report->mAddress, report->mMessage);
  }
}

void
load_exchange::Ask(const std::vector<endpoint_hash>& aEndpoints,
                   time_point aNow,
                   listener aDone)
{
  load_inquiry inquiry = mDirectory.Ask(aEndpoints, aNow);
  if (inquiry.mQuestions.empty()) {
    aDone(inquiry.mKnown);
    return;
  }
  mMetrics.OnEvent("load_asked");
  auto timer = std::make_unique<boost::asio::steady_timer>(mIo, kMaxWait);
  timer->async_wait(
    [this, number = inquiry.mNumber](const boost::system::error_code& aError) {
      if (!aError && mPending.contains(number)) {
        mMetrics.OnEvent("load_unanswered");
        mDirectory.GiveUp(number, Now());
        Finish(number);
      }
    });
  mPending.emplace(
    inquiry.mNumber,
    pending{ std::move(inquiry.mKnown), std::move(aDone), std::move(timer) });
  for (const outgoing_load& each : inquiry.mQuestions) {
    mSend(each.mAddress, each.mMessage);
  }
}

void
load_exchange::OnMessage(const std::string& aFrom,
                         const load_message& aMessage,
                         time_point aNow)
{
  if (aMessage.mKind == load_message_kind::kAnswer) {
    OnAnswer(aFrom, aMessage);
    return;
  }
  if (const auto answer = mDirectory.OnMessage(aFrom, aMessage, aNow)) {
    mSend(aFrom, *answer);
  }
}

void
load_exchange::OnAnswer(const std::string& aFrom, const load_message& aMessage)
{
  const bool last = mDirectory.OnAnswer(aFrom, aMessage);
  const auto found = mPending.find(aMessage.mNumber);
  if (found == mPending.end()) {
    return;
  }
  std::vector<reported_load>& loads = found->second.mLoads;
  loads.insert(loads.end(), aMessage.mLoads.begin(), aMessage.mLoads.end());
  if (last) {
    Finish(aMessage.mNumber);
  }
}

void
load_exchange::Finish(std::uint32_t aNumber)
{
  const auto node = mPending.extract(aNumber);
  node.mapped().mTimer->cancel();
  node.mapped().mDone(node.mapped().mLoads);
}

} // namespace thornhollow
