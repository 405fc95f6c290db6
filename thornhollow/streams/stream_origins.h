// Knows at which version of their endpoints streams began, together with the
// other instances, and finds it out for callers that continue a stream.
//
//   stream_origins origins(settings, ownAddress, ownDomain, seed);
//   origins.SetInstances(others);
//   origins.OnListed(endpoint, now);
//   origins.OnBegun(stream, now);
//   const auto found = origins.Find(key, pool, now);
//   for (const auto& each : origins.TakeMessages(now)) { Send(each); }
//
// Guards against streams with events of two versions of their endpoints'
// software. What two versions write doesn't fit together, and endpoints don't
// check it. A caller whose connection broke continues its stream at any
// instance, mostly because the instance that began it has ended.
//
// The instance that began a stream tells a few others when the first event goes
// out, so that they know it before anything breaks. The stream's key decides
// which ones, see origin_holders.h, so that whoever continues the stream knows
// whom to ask. While one version has been the only one for longer than any
// stream lives, all instances conclude it by themselves and nothing is told;
// when another version appears, the streams that are open are told at once.
//
// Takes events and returns messages; holds no socket and no clock.
#ifndef THORNHOLLOW_STREAMS_STREAM_ORIGINS_H_
#define THORNHOLLOW_STREAMS_STREAM_ORIGINS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "thornhollow/base/endpoint_hash.h"
#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/streams/origin_holders.h"
#include "thornhollow/streams/origin_memory.h"
#include "thornhollow/streams/origin_messages.h"
#include "thornhollow/streams/origin_search.h"
#include "thornhollow/streams/version_history.h"

namespace thornhollow {

struct stream_origins_settings
{
  // Streams begun within this time are told together.
  duration mGather = Milliseconds(5);
  // A question is sent again to those that have not answered after
  // `mResendAfter`, as datagrams may be lost, and closed after
  // `mAnswerTimeout`, which is far above a round trip within a region.
  duration mResendAfter = Milliseconds(40);
  duration mAnswerTimeout = Milliseconds(120);
  // For how long after its end a stream is likely to be continued. It is told
  // to others until then if a second version appears.
  duration mRecentlyEnded = Seconds(5);
  // How long after its start an endpoint's process may be listed.
  duration mListingDelay = Seconds(3);
  // For how long no instance must have joined, as seen from this one, until it
  // counts as knowing all. An instance that has just started learns of the
  // others one after the other.
  duration mSettlingTime = Seconds(1);
  // The same for an instance that knows no other one.
  duration mAloneSettlingTime = Seconds(5);
  // How often open streams are looked at whether they have to be told again.
  duration mReviewInterval = Seconds(1);

  friend bool operator==(const stream_origins_settings&,
                         const stream_origins_settings&) = default;
};

// An endpoint as the source lists it.
struct stream_endpoint
{
  endpoint_name mName;
  pool_name mPool;
  endpoint_version_hash mVersion = kUnknownVersion;

  friend bool operator==(const stream_endpoint&,
                         const stream_endpoint&) = default;
};

// A stream of which this instance sent the first event, or the first event
// after its caller continued it.
struct begun_stream
{
  stream_key mStream;
  pool_name mPool;
  endpoint_version_hash mVersion = kUnknownVersion;
  // The endpoint that wrote the stream's first event, if its version is only
  // known from the list; empty if the stream began elsewhere, or the endpoint's
  // process was asked.
  endpoint_name mEndpoint = {};

  friend bool operator==(const begun_stream&, const begun_stream&) = default;
};

// A message and the addresses to send it to.
struct outgoing_origin_message
{
  std::vector<std::string> mTo;
  origin_message mMessage;

  friend bool operator==(const outgoing_origin_message&,
                         const outgoing_origin_message&) = default;
};

struct finished_search
{
  question_number mNumber = 0;
  origin_verdict mVerdict;

  friend bool operator==(const finished_search&,
                         const finished_search&) = default;
};

class stream_origins
{
public:
  // `aSeed`: where question numbers begin, different for each process.
  stream_origins(const stream_origins_settings& aSettings,
                 domain_name aOwnDomain,
                 std::uint64_t aSeed);

  // The other instances that are alive. To be called every 100 ms.
  void SetInstances(const std::vector<known_instance>& aOthers,
                    time_point aNow);
  // The longest time that a stream may take, from which follows how long it may
  // be continued.
  void SetLongestStream(duration aLongest);
  // Whether the source has lately answered any instance, so that another
  // version would have been heard of.
  void SetListIsCurrent(bool aIsCurrent) { mListIsCurrent = aIsCurrent; }

  void OnListed(const stream_endpoint& aEndpoint, time_point aNow);
  void OnRemoved(const endpoint_name& aEndpoint, time_point aNow);
  // The process was paused, or routes lead to other pools than before: what the
  // list tells about the past doesn't hold.
  void OnHistoryBroken(time_point aNow);

  void OnBegun(const begun_stream& aStream, time_point aNow);
  void OnEnded(stream_key aStream, time_point aNow);

  // Finds out at which version the stream began. Returns the verdict if it is
  // known here, otherwise a number under which `TakeFinished` returns it later.
  std::variant<origin_verdict, question_number> Find(stream_key aStream,
                                                     const pool_name& aPool,
                                                     time_point aNow);
  void Cancel(question_number aNumber) { mSearches.erase(aNumber); }
  std::vector<finished_search> TakeFinished(time_point aNow);

  // A message of the instance at this address.
  void OnMessage(const std::string& aFrom,
                 const origin_message& aMessage,
                 time_point aNow);

  // To be called every 100 ms.
  void Tick(time_point aNow);
  // Messages to be sent now. To be called after each event and at `NextDue`.
  std::vector<outgoing_origin_message> TakeMessages(time_point aNow);
  // When `TakeMessages` or `TakeFinished` has something next; nothing if only a
  // further event brings it.
  std::optional<time_point> NextDue() const;

  // Origins held here, of own streams and of others.
  std::size_t Held() const { return mBegun.size() + mHeld.size(); }

private:
  struct listed_version
  {
    endpoint_version_hash mVersion = kUnknownVersion;
    std::optional<time_point> mRemovedAt;
  };
  // A stream that this instance serves, or has served until lately.
  struct own_stream
  {
    begun_stream mStream;
    time_point mBegunAt{};
    std::optional<time_point> mEndedAt;
    std::optional<time_point> mToldAt;
  };
  struct search
  {
    origin_search mSearch;
    origin_question mQuestion;
    // When the question is sent next, and when it is closed.
    std::optional<time_point> mSendAt;
    time_point mCloseAt{};
    int mSent = 0;
  };

  origin_word WordOn(stream_key aStream,
                     const pool_name& aPool,
                     time_point aNow) const;
  origin_verdict Judged(origin_verdict aVerdict, time_point aNow) const;
  listed_versions Listed(const pool_name& aPool, time_point aNow) const;
  bool MustTell(const begun_stream& aStream, time_point aNow) const;
  void OnReplaced(const endpoint_name& aEndpoint, time_point aNow);
  void Handle(const std::string& aFrom,
              const told_origins& aTold,
              time_point aNow);
  void Handle(const std::string& aFrom,
              const origin_question& aQuestion,
              time_point aNow);
  void Handle(const std::string& aFrom,
              const origin_answer& aAnswer,
              time_point aNow);
  bool IsSettled(time_point aNow) const;
  std::vector<std::string> ToTell(stream_key aStream, time_point aNow) const;
  std::vector<std::string> ToAsk(stream_key aStream, time_point aNow) const;
  void TellNewStreams(time_point aNow);
  void TellAllStreams(time_point aNow);
  void TellIfDue(own_stream& aOwn, time_point aNow);
  void SendTold();
  void SendQuestions(time_point aNow);

  stream_origins_settings mSettings;
  domain_name mOwnDomain;
  std::vector<known_instance> mInstances;
  origin_holders mHolders;
  // When an instance joined last.
  std::optional<time_point> mJoinedAt;
  // Whether all instances were known when streams were last told.
  bool mWasSettled = false;
  version_history mHistory;
  bool mListIsCurrent = false;
  // Listed endpoints, and those that were until lately.
  std::map<endpoint_name, listed_version> mListed;

  std::unordered_map<stream_key, own_stream> mBegun;
  // Of other instances' streams, and of own ones that ended some time ago.
  origin_memory mHeld;
  // Begun since streams were told last, and when they are.
  std::vector<stream_key> mNew;
  std::optional<time_point> mTellNewAt;
  // When all own streams are looked at whether they must be told.
  time_point mTellAllAt{};
  // Origins to be sent, by the address of the holder.
  std::map<std::string, std::vector<stream_origin>> mToTell;

  std::map<question_number, search> mSearches;
  question_number mNextNumber;
  std::vector<outgoing_origin_message> mOut;
};

} // namespace thornhollow

#endif // THORNHOLLOW_STREAMS_STREAM_ORIGINS_H_
