// Instances in virtual time that begin streams and continue them for their
// callers, before endpoints of several versions. Test code.
//
//   stream_fleet fleet({ .mInstances = 8 }, seed);
//   fleet.List("i-1", kOld);
//   fleet.RunStreams(Seconds(20));
//   CHECK(fleet.Counts().mMixed == 0);
//
// Messages take a few milliseconds and some are lost. Each instance hears of a
// change of the list, and of other instances, with a delay of its own.
#ifndef THORNHOLLOW_STREAMS_TESTING_STREAM_FLEET_H_
#define THORNHOLLOW_STREAMS_TESTING_STREAM_FLEET_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "thornhollow/streams/stream_origins.h"

namespace thornhollow::testing {

struct stream_fleet_settings
{
  std::size_t mInstances = 8;
  std::size_t mDomains = 3;
  double mStreamsPerSecond = 100;
  // Streams whose connection to the caller breaks.
  double mBreakRate = 0.2;
  double mLossRate = 0.01;
  // Whether callers name the submission that began their stream.
  bool mNamed = true;
  // Timeout of the streams' route.
  duration mLongestStream = Seconds(15);
  // Whether instances ask endpoints which process serves, see
  // streams/process_confirmations.h; as if no connection were kept.
  bool mAsksProcesses = false;
};

struct stream_fleet_counts
{
  std::size_t mBegun = 0;
  // Submissions that continue a stream.
  std::size_t mTakenUp = 0;
  std::size_t mGoneOn = 0;
  // Not continued although two endpoints of the stream's version serve that are
  // listed as what they are.
  std::size_t mLost = 0;
  // Continued at another version than the one that began them.
  std::size_t mMixed = 0;
  // Take-ups by the ground of the verdict.
  std::map<std::string, std::size_t> mGrounds;
  std::size_t mMessages = 0;
  std::size_t mTold = 0;
};

class stream_fleet
{
public:
  stream_fleet(const stream_fleet_settings& aSettings, std::uint64_t aSeed);

  // An endpoint's process starts, under a new name or one that it had. Its
  // entry appears after `aEntryDelay`; until then an older entry stays.
  void Start(const std::string& aName,
             const std::string& aVersion,
             duration aEntryDelay = {});
  // The endpoint takes no new work, and its entry goes.
  void Stop(const std::string& aName);

  void Kill(std::size_t aInstance);
  // A killed instance starts again, knowing nothing.
  void StartAgain(std::size_t aInstance);
  // Nothing passes between the instance and the others until `Heal`, nor does
  // it hear of changes of the list.
  void CutOff(std::size_t aInstance);
  void Heal(std::size_t aInstance);

  // Runs without streams, and with streams that begin at a steady rate.
  void Run(duration aFor);
  void RunStreams(duration aFor);
  // Calls back at this time from now, during a run.
  void After(duration aDelay, std::function<void()> aThen);

  const stream_fleet_counts& Counts() const { return mCounts; }
  void ResetCounts() { mCounts = {}; }
  std::size_t Held(std::size_t aInstance) const;
  std::size_t Alive() const;
  time_point Now() const { return mNow; }
  std::mt19937_64& Random() { return mRandom; }

private:
  static constexpr duration kTick = Milliseconds(100);
  // A dead instance counts as alive for so long, a new one is known after less.
  static constexpr duration kForgottenAfter = Seconds(4);
  static constexpr duration kKnownWithin = Milliseconds(300);
  static constexpr duration kListDelay = Milliseconds(250);
  static constexpr duration kMinStream = Milliseconds(100);
  static constexpr duration kMaxStream = Seconds(4);
  // Until the caller is back.
  static constexpr duration kMinAway = Milliseconds(5);
  static constexpr duration kMaxAway = Milliseconds(500);
  static inline const pool_name kPool{ "engines" };
  static inline const team_name kTeam{ "office" };

  static endpoint_version_hash HashOf(const std::string& aVersion)
  {
    return EndpointVersionHash(kPool, software_version(aVersion));
  }

  struct process
  {
    std::string mVersion;
    // Different for each process.
    std::uint64_t mNumber = 0;
  };
  struct stream
  {
    stream_key mKey;
    std::string mVersion;
    std::size_t mAt = 0;
    std::uint64_t mLife = 0;
    time_point mEndsAt{};
  };
  struct instance
  {
    std::string mAddress;
    domain_name mDomain;
    std::unique_ptr<stream_origins> mOrigins;
    // Counts the processes that ran under this number.
    std::uint64_t mLife = 0;
    bool mCutOff = false;
    // The listed endpoints as this instance knows them.
    std::map<std::string, process> mList;
    // Others that this instance holds for alive.
    std::vector<known_instance> mKnown;
    std::map<question_number, std::function<void(const origin_verdict&)>>
      mWaiting;
  };
  struct event
  {
    time_point mAt{};
    std::uint64_t mOrder = 0;
    std::function<void()> mThen;
    bool operator<(const event& aOther) const
    {
      return std::pair(mAt, mOrder) > std::pair(aOther.mAt, aOther.mOrder);
    }
  };

  duration Draw(duration aFrom, duration aTo);
  bool Chance(double aRate);
  void BeginInstance(std::size_t aInstance);
  void TickAll();
  void Apply(std::size_t aInstance,
             const std::string& aName,
             std::optional<process> aEntry);
  void Spread(const std::string& aName, const std::optional<process>& aEntry);
  void BeginStream();
  void TellBegun(const stream& aStream,
                 const std::string& aEndpoint,
                 const process& aListed);
  // Whether the process that serves there is the listed one.
  bool IsListed(const std::string& aEndpoint, const process& aListed) const
  {
    return mRunning.at(aEndpoint).mNumber == aListed.mNumber;
  }
  // The process at which the instance continues a stream of that version; none
  // if it knows no endpoint of it that it may use.
  std::optional<process> ChooseProcess(const instance& aAt,
                                       endpoint_version_hash aVersion);
  void Serve(const stream& aStream);
  void Watch(const stream& aStream, time_point aEnd, bool aBreaks);
  void Break(const stream& aStream);
  void TakeUp(stream aStream);
  void OnVerdict(stream aStream, const origin_verdict& aVerdict);
  void Flush(std::size_t aInstance);
  void Deliver(std::size_t aFrom,
               const std::string& aTo,
               const origin_message& aMessage);
  std::optional<std::size_t> DrawInstance();
  bool IsLive(std::size_t aInstance, std::uint64_t aLife) const;

  stream_fleet_settings mSettings;
  std::mt19937_64 mRandom;
  time_point mNow{ Seconds(1'000) };
  std::uint64_t mOrder = 0;
  std::uint64_t mLastStream = 0;
  std::uint64_t mLastProcess = 0;
  std::priority_queue<event> mEvents;
  std::vector<instance> mInstances;
  std::map<std::string, std::size_t> mByAddress;
  // Endpoints' processes as they are, and as the source lists them.
  std::map<std::string, process> mRunning;
  std::map<std::string, process> mListed;
  stream_fleet_counts mCounts;
};

inline stream_fleet::stream_fleet(const stream_fleet_settings& aSettings,
                                  std::uint64_t aSeed)
  : mSettings(aSettings)
  , mRandom(aSeed)
  , mInstances(aSettings.mInstances)
{
  for (std::size_t each = 0; each < mInstances.size(); ++each) {
    instance& made = mInstances[each];
    made.mAddress = "10.0." + std::to_string(each) + ".1:7";
    made.mDomain = domain_name("d" + std::to_string(each % aSettings.mDomains));
    mByAddress[made.mAddress] = each;
  }
  for (std::size_t each = 0; each < mInstances.size(); ++each) {
    BeginInstance(each);
  }
  After(kTick, [this] { TickAll(); });
}

inline duration
stream_fleet::Draw(duration aFrom, duration aTo)
{
  return FromSeconds(std::uniform_real_distribution<double>(
    ToSeconds(aFrom), ToSeconds(aTo))(mRandom));
}

inline bool
stream_fleet::Chance(double aRate)
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom) < aRate;
}

inline void
stream_fleet::After(duration aDelay, std::function<void()> aThen)
{
  mEvents.push({ mNow + aDelay, mOrder++, std::move(aThen) });
}

inline void
stream_fleet::BeginInstance(std::size_t aInstance)
{
  instance& begun = mInstances[aInstance];
  ++begun.mLife;
  begun.mOrigins = std::make_unique<stream_origins>(
    stream_origins_settings{}, begun.mDomain, mRandom());
  begun.mOrigins->SetLongestStream(mSettings.mLongestStream);
  begun.mOrigins->SetListIsCurrent(true);
  begun.mList.clear();
  begun.mKnown.clear();
  begun.mWaiting.clear();
  for (const auto& [name, entry] : mListed) {
    Apply(aInstance, name, entry);
  }
  for (instance& other : mInstances) {
    if (&other == &begun || !other.mOrigins) {
      continue;
    }
    const std::size_t at = mByAddress[other.mAddress];
    for (const auto& [knower, known] :
         { std::pair(aInstance, at), std::pair(at, aInstance) }) {
      After(Draw({}, kKnownWithin), [this, knower = knower, known = known] {
        instance& one = mInstances[knower];
        if (one.mOrigins && mInstances[known].mOrigins) {
          one.mKnown.push_back(
            { mInstances[known].mAddress, mInstances[known].mDomain });
        }
      });
    }
  }
}

inline void
stream_fleet::Kill(std::size_t aInstance)
{
  instance& killed = mInstances[aInstance];
  killed.mOrigins.reset();
  ++killed.mLife;
  for (std::size_t each = 0; each < mInstances.size(); ++each) {
    After(kForgottenAfter, [this, each, aInstance] {
      if (!mInstances[aInstance].mOrigins) {
        std::erase_if(mInstances[each].mKnown, [&](const auto& aOther) {
          return aOther.mAddress == mInstances[aInstance].mAddress;
        });
      }
    });
  }
}

inline void
stream_fleet::StartAgain(std::size_t aInstance)
{
  if (!mInstances[aInstance].mOrigins) {
    BeginInstance(aInstance);
  }
}

inline void
stream_fleet::CutOff(std::size_t aInstance)
{
  mInstances[aInstance].mCutOff = true;
}

inline void
stream_fleet::Heal(std::size_t aInstance)
{
  mInstances[aInstance].mCutOff = false;
  if (!mInstances[aInstance].mOrigins) {
    return;
  }
  const auto known = mInstances[aInstance].mList;
  for (const auto& [name, entry] : known) {
    if (!mListed.contains(name)) {
      Apply(aInstance, name, std::nullopt);
    }
  }
  for (const auto& [name, entry] : mListed) {
    Apply(aInstance, name, entry);
  }
}

inline void
stream_fleet::Start(const std::string& aName,
                    const std::string& aVersion,
                    duration aEntryDelay)
{
  const process started{ aVersion, ++mLastProcess };
  mRunning[aName] = started;
  const auto enter = [this, aName, started] {
    mListed[aName] = started;
    Spread(aName, started);
  };
  if (aEntryDelay == duration::zero()) {
    enter();
  } else {
    After(aEntryDelay, enter);
  }
}

inline void
stream_fleet::Stop(const std::string& aName)
{
  mListed.erase(aName);
  Spread(aName, std::nullopt);
}

inline void
stream_fleet::Spread(const std::string& aName,
                     const std::optional<process>& aEntry)
{
  for (std::size_t each = 0; each < mInstances.size(); ++each) {
    After(Draw({}, kListDelay),
          [this, each, life = mInstances[each].mLife, aName, aEntry] {
            if (IsLive(each, life) && !mInstances[each].mCutOff) {
              Apply(each, aName, aEntry);
            }
          });
  }
}

inline void
stream_fleet::Apply(std::size_t aInstance,
                    const std::string& aName,
                    std::optional<process> aEntry)
{
  instance& at = mInstances[aInstance];
  if (!aEntry) {
    at.mList.erase(aName);
    at.mOrigins->OnRemoved(endpoint_name(aName), mNow);
    return;
  }
  at.mList[aName] = *aEntry;
  at.mOrigins->OnListed(
    { endpoint_name(aName), kPool, HashOf(aEntry->mVersion) }, mNow);
  Flush(aInstance);
}

inline void
stream_fleet::TickAll()
{
  for (std::size_t each = 0; each < mInstances.size(); ++each) {
    instance& one = mInstances[each];
    if (!one.mOrigins) {
      continue;
    }
    one.mOrigins->SetInstances(one.mKnown, mNow);
    one.mOrigins->Tick(mNow);
    Flush(each);
  }
  After(kTick, [this] { TickAll(); });
}

inline bool
stream_fleet::IsLive(std::size_t aInstance, std::uint64_t aLife) const
{
  return mInstances[aInstance].mOrigins && mInstances[aInstance].mLife == aLife;
}

inline std::optional<std::size_t>
stream_fleet::DrawInstance()
{
  std::vector<std::size_t> live;
  for (std::size_t each = 0; each < mInstances.size(); ++each) {
    if (mInstances[each].mOrigins && !mInstances[each].mList.empty()) {
      live.push_back(each);
    }
  }
  return live.empty() ? std::nullopt
                      : std::optional(live[mRandom() % live.size()]);
}

inline void
stream_fleet::BeginStream()
{
  const auto at = DrawInstance();
  if (!at) {
    return;
  }
  instance& beginner = mInstances[*at];
  auto endpoint = beginner.mList.begin();
  std::advance(endpoint, mRandom() % beginner.mList.size());
  // The process that runs there now wrote the events.
  stream begun;
  begun.mVersion = mRunning.at(endpoint->first).mVersion;
  begun.mAt = *at;
  begun.mLife = beginner.mLife;
  begun.mEndsAt = mNow + Draw(kMinStream, kMaxStream);
  begun.mKey =
    StreamKeyOf(kTeam, request_id("r" + std::to_string(++mLastStream)));
  ++mCounts.mBegun;
  if (mSettings.mAsksProcesses) {
    After(Draw(Milliseconds(1), Milliseconds(3)),
          [this, begun, name = endpoint->first, listed = endpoint->second] {
            TellBegun(begun, name, listed);
          });
  } else {
    TellBegun(begun, endpoint->first, endpoint->second);
  }
  Serve(begun);
}

inline void
stream_fleet::TellBegun(const stream& aStream,
                        const std::string& aEndpoint,
                        const process& aListed)
{
  if (!IsLive(aStream.mAt, aStream.mLife)) {
    return;
  }
  const bool isOther =
    mSettings.mAsksProcesses && !IsListed(aEndpoint, aListed);
  mInstances[aStream.mAt].mOrigins->OnBegun(
    { aStream.mKey,
      kPool,
      isOther ? kUnknownVersion : HashOf(aListed.mVersion),
      endpoint_name(mSettings.mAsksProcesses ? std::string() : aEndpoint) },
    mNow);
  Flush(aStream.mAt);
}

inline std::optional<stream_fleet::process>
stream_fleet::ChooseProcess(const instance& aAt, endpoint_version_hash aVersion)
{
  std::vector<process> fit;
  for (const auto& [name, listed] : aAt.mList) {
    const bool isFit = HashOf(listed.mVersion) == aVersion &&
                       (!mSettings.mAsksProcesses || IsListed(name, listed));
    if (isFit) {
      fit.push_back(mRunning.at(name));
    }
  }
  return fit.empty() ? std::nullopt
                     : std::optional(fit[mRandom() % fit.size()]);
}

// Until the stream ends, its connection breaks, or the instance does.
inline void
stream_fleet::Serve(const stream& aStream)
{
  const bool breaks = Chance(mSettings.mBreakRate);
  const duration left = aStream.mEndsAt - mNow;
  Watch(aStream, mNow + (breaks ? Draw({}, left) : left), breaks);
}

inline void
stream_fleet::Watch(const stream& aStream, time_point aEnd, bool aBreaks)
{
  // The caller notices the end of the instance within this time.
  constexpr duration kNoticed = Milliseconds(10);
  if (!IsLive(aStream.mAt, aStream.mLife)) {
    Break(aStream);
    return;
  }
  if (mNow < aEnd) {
    After(std::min<duration>(aEnd - mNow, kNoticed),
          [this, aStream, aEnd, aBreaks] { Watch(aStream, aEnd, aBreaks); });
    return;
  }
  mInstances[aStream.mAt].mOrigins->OnEnded(aStream.mKey, mNow);
  if (aBreaks) {
    Break(aStream);
  }
}

inline void
stream_fleet::Break(const stream& aStream)
{
  After(Draw(kMinAway, kMaxAway), [this, aStream] { TakeUp(aStream); });
}

inline void
stream_fleet::TakeUp(stream aStream)
{
  const auto at = DrawInstance();
  if (!at || mNow >= aStream.mEndsAt) {
    return;
  }
  ++mCounts.mTakenUp;
  instance& asked = mInstances[*at];
  aStream.mAt = *at;
  aStream.mLife = asked.mLife;
  const stream_key named = mSettings.mNamed ? aStream.mKey : kUnnamedStream;
  const auto found = asked.mOrigins->Find(named, kPool, mNow);
  if (const auto* verdict = std::get_if<origin_verdict>(&found)) {
    OnVerdict(aStream, *verdict);
    return;
  }
  asked.mWaiting[std::get<question_number>(found)] =
    [this, aStream](const origin_verdict& aVerdict) {
      OnVerdict(aStream, aVerdict);
    };
  Flush(*at);
}

inline void
stream_fleet::OnVerdict(stream aStream, const origin_verdict& aVerdict)
{
  ++mCounts.mGrounds[std::string(Name(aVerdict.mGround))];
  instance& at = mInstances[aStream.mAt];
  const auto serving = std::ranges::count_if(at.mList, [&](const auto& aEntry) {
    return aEntry.second.mVersion == aStream.mVersion &&
           IsListed(aEntry.first, aEntry.second);
  });
  const auto chosen = ChooseProcess(at, aVerdict.mVersion);
  if (!chosen) {
    mCounts.mLost += serving >= 2 ? 1 : 0;
    return;
  }
  if (chosen->mVersion != aStream.mVersion) {
    ++mCounts.mMixed;
    return;
  }
  ++mCounts.mGoneOn;
  at.mOrigins->OnBegun({ aStream.mKey, kPool, aVerdict.mVersion }, mNow);
  Flush(aStream.mAt);
  Serve(aStream);
}

inline void
stream_fleet::Flush(std::size_t aInstance)
{
  instance& one = mInstances[aInstance];
  for (const outgoing_origin_message& each : one.mOrigins->TakeMessages(mNow)) {
    for (const std::string& to : each.mTo) {
      Deliver(aInstance, to, each.mMessage);
    }
  }
  for (const finished_search& each : one.mOrigins->TakeFinished(mNow)) {
    if (const auto waiting = one.mWaiting.extract(each.mNumber)) {
      waiting.mapped()(each.mVerdict);
    }
  }
  if (const auto next = one.mOrigins->NextDue()) {
    After(std::max<duration>(*next - mNow, Milliseconds(1)),
          [this, aInstance, life = one.mLife] {
            if (IsLive(aInstance, life)) {
              Flush(aInstance);
            }
          });
  }
}

inline void
stream_fleet::Deliver(std::size_t aFrom,
                      const std::string& aTo,
                      const origin_message& aMessage)
{
  ++mCounts.mMessages;
  if (const auto* told = std::get_if<told_origins>(&aMessage)) {
    mCounts.mTold += told->mOrigins.size();
  }
  const std::size_t to = mByAddress.at(aTo);
  if (Chance(mSettings.mLossRate) || mInstances[aFrom].mCutOff) {
    return;
  }
  After(Draw(Milliseconds(1), Milliseconds(3)),
        [this, from = mInstances[aFrom].mAddress, to, aMessage] {
          if (mInstances[to].mOrigins && !mInstances[to].mCutOff) {
            mInstances[to].mOrigins->OnMessage(from, aMessage, mNow);
            Flush(to);
          }
        });
}

inline void
stream_fleet::Run(duration aFor)
{
  const time_point end = mNow + aFor;
  while (!mEvents.empty() && mEvents.top().mAt <= end) {
    const event next = mEvents.top();
    mEvents.pop();
    mNow = next.mAt;
    next.mThen();
  }
  mNow = end;
}

inline void
stream_fleet::RunStreams(duration aFor)
{
  const auto count =
    static_cast<int>(ToSeconds(aFor) * mSettings.mStreamsPerSecond);
  for (int each = 0; each < count; ++each) {
    After(Draw({}, aFor), [this] { BeginStream(); });
  }
  Run(aFor);
}

inline std::size_t
stream_fleet::Held(std::size_t aInstance) const
{
  return mInstances[aInstance].mOrigins->Held();
}

inline std::size_t
stream_fleet::Alive() const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    mInstances, [](const instance& aOne) { return aOne.mOrigins != nullptr; }));
}

} // namespace thornhollow::testing

#endif // THORNHOLLOW_STREAMS_TESTING_STREAM_FLEET_H_
