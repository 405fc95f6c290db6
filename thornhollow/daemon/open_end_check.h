// Finds out whether somebody vouches for the end of an answer that ended with
// its connection; request/open_end.h tells what counts.
//
//   CheckOpenEnd(io, { signs, ask }, [](open_end_ground aGround) { ... });
//
// Serves both interfaces.
#ifndef THORNHOLLOW_DAEMON_OPEN_END_CHECK_H_
#define THORNHOLLOW_DAEMON_OPEN_END_CHECK_H_

#include <functional>

#include "thornhollow/request/open_end.h"
#include "thornhollow/streams/process_confirmations.h"

namespace boost::asio {
class io_context;
}

namespace thornhollow {

struct open_end_question
{
  // What is known without asking.
  std::function<open_end_signs()> mSigns;
  // Asks the endpoint whether the process still runs.
  std::function<void(process_confirmations::handler aDone)> mAsk;
};

// To be called as soon as the end was seen. Calls `aDone` once, never from
// within this function.
void
CheckOpenEnd(boost::asio::io_context& aIo,
             open_end_question aQuestion,
             std::function<void(open_end_ground)> aDone);

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_OPEN_END_CHECK_H_
