// What an event_loop holds. Includes Asio: for source files that open sockets.
#ifndef THORNHOLLOW_TESTING_EVENT_LOOP_STATE_H_
#define THORNHOLLOW_TESTING_EVENT_LOOP_STATE_H_

#include <boost/asio/io_context.hpp>

#include "thornhollow/testing/http_server.h"

namespace thornhollow::testing {

struct event_loop::state
{
  // One thread only: no locking inside.
  boost::asio::io_context mContext{ 1 };
};

} // namespace thornhollow::testing

#endif // THORNHOLLOW_TESTING_EVENT_LOOP_STATE_H_
