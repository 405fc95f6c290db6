#include "thornhollow/daemon/load_poller.h"

#include <algorithm>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include "thornhollow/net/clock.h"
#include "thornhollow/net/http_fetch.h"

namespace thornhollow {
namespace {

constexpr duration kInterval = Seconds(1) / kLoadPollsPerSecond;
// Timeout of one poll: a load report that takes longer than this is too old to
// be useful.
constexpr duration kPollTimeout = Seconds(1);
// A poll that times out is told of a little later.
constexpr duration kPauseMargin = Milliseconds(100);
constexpr std::size_t kMaxReportBytes = 4096;
constexpr unsigned kOk = 200;
// Maximum age that a load report may state, in milliseconds. A larger age is
// implausible and is reduced to this maximum.
constexpr double kMaxReportAgeMs = 3'600'000;
// The same for the rest of its warm-up: an endpoint that states more would get
// hardly anything for a long time.
constexpr double kMaxWarmUpMs = 3'600'000;

double
NumberField(const boost::json::object& aObject, std::string_view aName)
{
  const boost::json::value* found = aObject.if_contains(aName);
  if (found == nullptr || !found->is_number()) {
    return 0;
  }
  return found->to_number<double>();
}

std::uint32_t
CountField(const boost::json::object& aObject, std::string_view aName)
{
  constexpr double kMaxCount = 1e6;
  return static_cast<std::uint32_t>(
    std::clamp(NumberField(aObject, aName), 0.0, kMaxCount));
}

} // namespace

class load_poller::loop : public std::enable_shared_from_this<loop>
{
public:
  loop(boost::asio::io_context& aIo,
       listener aOnReport,
       answer_listener aOnAnswered,
       std::function<void(std::size_t)> aOnBytes)
    : mIo(aIo)
    , mOnReport(std::move(aOnReport))
    , mOnAnswered(std::move(aOnAnswered))
    , mOnBytes(std::move(aOnBytes))
    , mTimer(aIo)
  {
  }

  void SetEndpoints(std::vector<endpoint> aEndpoints)
  {
    mEndpoints = std::move(aEndpoints);
    mNextIndex = 0;
  }

  void PollNext()
  {
    if (!mEndpoints.empty()) {
      mNextIndex = (mNextIndex + 1) % mEndpoints.size();
      Poll(mEndpoints[mNextIndex]);
    }
    mTimer.expires_after(kInterval);
    mTimer.async_wait(
      [self = shared_from_this()](const boost::system::error_code& aError) {
        if (!aError) {
          self->PollNext();
        }
      });
  }

  void Stop()
  {
    mOnReport = nullptr;
    mTimer.cancel();
  }

private:
  void Poll(const endpoint& aEndpoint)
  {
    fetch_call call;
    call.mAddress = aEndpoint.mAddress;
    call.mTarget = std::string(kLoadPath);
    call.mTimeout = kPollTimeout;
    call.mMaxBytes = kMaxReportBytes;
    Fetch(mIo,
          call,
          [self = shared_from_this(), aEndpoint, sentAt = Now()](
            const fetch_outcome& aOutcome) {
            // A report that waited in the socket while this process was
            // paused would be dated by its arrival and appear fresh.
            if (Now() - sentAt <= kPollTimeout + kPauseMargin) {
              self->OnOutcome(aEndpoint, aOutcome);
            }
          });
  }

  void OnOutcome(const endpoint& aEndpoint, const fetch_outcome& aOutcome)
  {
    if (!mOnReport) {
      return;
    }
    mOnAnswered(aEndpoint, aOutcome.has_value());
    if (!aOutcome) {
      return;
    }
    mOnBytes(aOutcome->mExchangedBytes);
    if (aOutcome->mHttpStatus != kOk) {
      return;
    }
    if (const auto report = ReadLoadReport(aOutcome->mBody, Now())) {
      mOnReport(aEndpoint.mName, *report);
    }
  }

  boost::asio::io_context& mIo;
  listener mOnReport;
  answer_listener mOnAnswered;
  std::function<void(std::size_t)> mOnBytes;
  boost::asio::steady_timer mTimer;
  std::vector<endpoint> mEndpoints;
  std::size_t mNextIndex = 0;
};

load_poller::load_poller(boost::asio::io_context& aIo,
                         listener aOnReport,
                         answer_listener aOnAnswered,
                         std::function<void(std::size_t)> aOnBytes)
  : mLoop(std::make_shared<loop>(aIo,
                                 std::move(aOnReport),
                                 std::move(aOnAnswered),
                                 std::move(aOnBytes)))
{
}

load_poller::~load_poller()
{
  mLoop->Stop();
}

void
load_poller::SetEndpoints(std::vector<endpoint> aEndpoints)
{
  mLoop->SetEndpoints(std::move(aEndpoints));
}

void
load_poller::Start()
{
  mLoop->PollNext();
}

std::optional<load_report>
ReadLoadReport(std::string_view aJson, time_point aArrival)
{
  boost::system::error_code error;
  const boost::json::value parsed = boost::json::parse(aJson, error);
  const boost::json::object* object = parsed.if_object();
  if (error || object == nullptr || !object->contains("running")) {
    return std::nullopt;
  }
  load_report report;
  report.mRunning = CountField(*object, "running");
  report.mWaiting = CountField(*object, "waiting");
  report.mSlots = CountField(*object, "slots");
  report.mCacheUsed = std::clamp(NumberField(*object, "kv_used"), 0.0, 1.0);
  report.mStep = FromSeconds(
    std::clamp(NumberField(*object, "step_ms"), 0.0, 60'000.0) / 1000);
  const boost::json::value* leaving = object->if_contains("leaving");
  report.mLeaving =
    leaving != nullptr && leaving->is_bool() && leaving->get_bool();
  report.mWarmUpLeft = Milliseconds(static_cast<std::int64_t>(
    std::clamp(NumberField(*object, "warm_up_left_ms"), 0.0, kMaxWarmUpMs)));
  // Clamped first: the conversion of a number beyond 64 bits is undefined.
  const auto age = static_cast<std::int64_t>(
    std::clamp(NumberField(*object, "age_ms"), 0.0, kMaxReportAgeMs));
  report.mMeasuredAt = aArrival - Milliseconds(age);
  return report;
}

} // namespace thornhollow
