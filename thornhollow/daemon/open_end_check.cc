#include "thornhollow/daemon/open_end_check.h"

#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "thornhollow/base/time.h"

namespace thornhollow {
namespace {

// The system closes the connections and the listener of a process that ends one
// after the other, within a few milliseconds.
constexpr duration kSettleTime = Milliseconds(10);

} // namespace

void
CheckOpenEnd(boost::asio::io_context& aIo,
             open_end_question aQuestion,
             std::function<void(open_end_ground)> aDone)
{
  const auto settled =
    std::make_shared<boost::asio::steady_timer>(aIo, kSettleTime);
  settled->async_wait(
    [settled, question = std::move(aQuestion), done = std::move(aDone)](
      const boost::system::error_code& aError) {
      if (aError) {
        return;
      }
      if (const auto ground = JudgeWithoutAsking(question.mSigns())) {
        done(*ground);
        return;
      }
      question.mAsk(
        [done](process_verdict aVerdict) { done(JudgeAnswer(aVerdict)); });
    });
}

} // namespace thornhollow
