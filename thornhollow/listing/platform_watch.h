// Watches one path of the platform with long polls and reports each new
// version.
//
//   platform_watch watch(io, address, "/v1/instances", listener);
//   watch.Start();
//
// Reports only versions above the last one reported, since a lagging replica of
// the platform's service may return an older version.
#ifndef THORNHOLLOW_LISTING_PLATFORM_WATCH_H_
#define THORNHOLLOW_LISTING_PLATFORM_WATCH_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace thornhollow {

struct platform_value
{
  std::uint64_t mVersion = 0;
  std::string mBytes;
};

struct watch_listener
{
  std::function<void(const platform_value&)> mOnValue;
  // Called when the platform confirmed that the last value is still current.
  std::function<void()> mOnUnchanged;
  // Called when a call to the platform failed or returned an older value.
  std::function<void()> mOnFailure;
  // Receives the number of bytes exchanged by each answered call, request
  // included.
  std::function<void(std::size_t)> mOnBytes;
};

class platform_watch
{
public:
  platform_watch(boost::asio::io_context& aIo,
                 std::string aAddress,
                 std::string aPath,
                 watch_listener aListener);
  platform_watch(const platform_watch&) = delete;
  platform_watch& operator=(const platform_watch&) = delete;
  ~platform_watch();

  void Start();

private:
  class loop;
  std::shared_ptr<loop> mLoop;
};

} // namespace thornhollow

#endif // THORNHOLLOW_LISTING_PLATFORM_WATCH_H_
