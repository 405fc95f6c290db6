// Asks the holders of endpoints' loads what others have there, before this
// instance chooses among a few endpoints, and answers as a holder.
//
//   load_exchange loads(io, ownAddress, metrics);
//   loads.SetSender([&](const std::string& aTo, const load_message& aMessage) {
//     link.SendLoad(aTo, aMessage);
//   });
//   loads.Ask(endpoints, [](const std::vector<reported_load>& aLoads) { ... });
//
// fleet/load_directory.h decides; this module sends and waits.
#ifndef THORNHOLLOW_DAEMON_LOAD_EXCHANGE_H_
#define THORNHOLLOW_DAEMON_LOAD_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "thornhollow/base/endpoint_hash.h"
#include "thornhollow/base/time.h"
#include "thornhollow/daemon/metrics.h"
#include "thornhollow/fleet/load_directory.h"

namespace boost::asio {
class io_context;
}

namespace thornhollow {

class load_exchange
{
public:
  // Endpoints that are asked about for one request.
  static constexpr std::size_t kAskedEndpoints = 4;
  // Longest wait for answers: a few times as long as a message takes to the
  // farthest failure domain and back.
  static constexpr duration kMaxWait = Milliseconds(10);

  using sender =
    std::function<void(const std::string& aTo, const load_message& aMessage)>;
  using listener = std::function<void(const std::vector<reported_load>&)>;

  // `aMetrics` must outlive this object.
  load_exchange(boost::asio::io_context& aIo,
                std::string aOwnAddress,
                metrics& aMetrics);

  void SetSender(sender aSend) { mSend = std::move(aSend); }
  // Sets the addresses of the other live instances, and sends reports that are
  // due again. To be called every 100 ms.
  void Tick(std::vector<std::string> aOthers, time_point aNow);

  // Tells the endpoint's holder what this instance has there now.
  void SetOwn(const reported_load& aLoad, time_point aNow);
  // Calls `aDone` with what others have at the endpoints, as far as the holders
  // answered in time: at once if all is known here.
  void Ask(const std::vector<endpoint_hash>& aEndpoints,
           time_point aNow,
           listener aDone);
  void OnMessage(const std::string& aFrom,
                 const load_message& aMessage,
                 time_point aNow);

private:
  struct pending
  {
    std::vector<reported_load> mLoads;
    listener mDone;
    std::unique_ptr<boost::asio::steady_timer> mTimer;
  };

  void OnAnswer(const std::string& aFrom, const load_message& aMessage);
  void Finish(std::uint32_t aNumber);

  boost::asio::io_context& mIo;
  metrics& mMetrics;
  sender mSend;
  load_directory mDirectory;
  std::map<std::uint32_t, pending> mPending;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_LOAD_EXCHANGE_H_
