// What all instances together have placed on each endpoint, kept by one of them
// and told to whoever is about to choose among a few endpoints.
//
//   load_directory directory("10.0.0.1:7");
//   directory.SetInstances(others, now);
//   for (const outgoing_load& each : directory.SetOwn(load, now)) { Send(each);
//   } const load_inquiry inquiry = directory.Ask(endpoints, now); if (const
//   auto loads = directory.OnAnswer(from, message, now)) { ... }
//
// Load pattern: dozens of instances place work on endpoints of few slots, and
// each has next to nothing at any one endpoint itself. Reports that are spread
// by gossip are a second old and come from a part of the instances; placement
// by them leaves some endpoints idle while others are full.
//
// Each endpoint has a holder: the instance with the highest rendezvous hash of
// endpoint and instance. An instance tells the holder what it has at the
// endpoint whenever that changes, always the whole of it, so that a lost
// message is mended by the next one, and again now and then. A holder that
// doesn't answer is passed over for a while, for the next one in that order;
// each instance finds that out for itself. A holder that has just begun knows
// too little, and doesn't answer.
#ifndef THORNHOLLOW_FLEET_LOAD_DIRECTORY_H_
#define THORNHOLLOW_FLEET_LOAD_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "thornhollow/base/endpoint_hash.h"
#include "thornhollow/base/time.h"
#include "thornhollow/fleet/relay_peers.h"

namespace thornhollow {

struct load_directory_settings
{
  // A report counts for this long unless it is renewed.
  duration mReportLifetime = Milliseconds(2'500);
  duration mRenewInterval = Seconds(1);
  // From this long after its start on, an instance answers as a holder: by then
  // all others have renewed what they reported.
  duration mLearningTime = Milliseconds(1'500);
  // A holder that leaves this many questions in a row unanswered is passed over
  // for `mSilentFor`.
  std::uint32_t mMaxUnanswered = 2;
  duration mSilentFor = Seconds(5);

  friend bool operator==(const load_directory_settings&,
                         const load_directory_settings&) = default;
};

// A message to the instance at an address.
struct outgoing_load
{
  std::string mAddress;
  load_message mMessage;

  friend bool operator==(const outgoing_load&, const outgoing_load&) = default;
};

// A question to the holders of some endpoints.
struct load_inquiry
{
  std::uint32_t mNumber = 0;
  std::vector<outgoing_load> mQuestions;
  // Of endpoints that this instance holds itself.
  std::vector<reported_load> mKnown;

  friend bool operator==(const load_inquiry&, const load_inquiry&) = default;
};

class load_directory
{
public:
  load_directory(const load_directory_settings& aSettings,
                 std::string aOwnAddress);

  // Sets the addresses of the other live instances.
  void SetInstances(std::vector<std::string> aOthers, time_point aNow);

  // Sets what this instance has at an endpoint. Returns the report to the
  // endpoint's holder, if that is another instance.
  std::optional<outgoing_load> SetOwn(const reported_load& aLoad,
                                      time_point aNow);
  // Returns the reports that are due again.
  std::vector<outgoing_load> Renew(time_point aNow);

  // Begins a question about these endpoints. The caller sends it, waits for
  // `OnAnswer`, and calls `GiveUp` if that takes too long.
  load_inquiry Ask(const std::vector<endpoint_hash>& aEndpoints,
                   time_point aNow);
  // Ends the question: holders that haven't answered count as silent.
  void GiveUp(std::uint32_t aNumber, time_point aNow);

  // Takes a report or a question of another instance. Returns the answer to a
  // question, if there is one.
  std::optional<load_message> OnMessage(const std::string& aFrom,
                                        const load_message& aMessage,
                                        time_point aNow);
  // Takes an answer. Returns whether it was the last one that was missing.
  bool OnAnswer(const std::string& aFrom, const load_message& aMessage);

private:
  struct report
  {
    reported_load mLoad;
    time_point mAt{};
  };
  struct open_question
  {
    std::vector<std::string> mUnanswered;
  };
  struct silence
  {
    std::uint32_t mUnanswered = 0;
    time_point mPassedOverUntil{};
  };

  // The address of the endpoint's holder; this instance's own if it is the
  // only one.
  const std::string& HolderOf(endpoint_hash aEndpoint, time_point aNow) const;
  bool IsPassedOver(const std::string& aAddress, time_point aNow) const;
  // What all instances but `aAsker` have at the endpoint.
  reported_load Sum(endpoint_hash aEndpoint,
                    const std::string& aAsker,
                    time_point aNow) const;

  load_directory_settings mSettings;
  std::string mOwnAddress;
  std::vector<std::string> mInstances;
  std::vector<std::uint64_t> mInstanceHashes;
  std::optional<time_point> mStarted;
  time_point mNextRenewal{};
  std::map<endpoint_hash, reported_load> mOwn;
  // As a holder: what each instance reported of each endpoint.
  std::map<endpoint_hash, std::map<std::string, report>> mReports;
  std::uint32_t mLastNumber = 0;
  std::map<std::uint32_t, open_question> mQuestions;
  std::map<std::string, silence> mSilences;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_LOAD_DIRECTORY_H_
