#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/streams/process_confirmations.h"

namespace thornhollow {
namespace {

constexpr process_number kProcess = 7;
constexpr time_point kAsked{ Seconds(100) };
constexpr duration kRoundTrip = Milliseconds(2);

struct endpoint_being_asked
{
  process_confirmations mConfirmations;
  std::vector<process_verdict> mVerdicts;

  endpoint_being_asked() { CHECK(Await(kAsked)); }

  bool Await(time_point aMadeAt)
  {
    return mConfirmations.Await(
      kProcess,
      aMadeAt,
      [this](process_verdict aVerdict) { mVerdicts.push_back(aVerdict); },
      aMadeAt);
  }

  // Returns whether the endpoint is to be asked again.
  bool Answer(process_verdict aVerdict)
  {
    const auto answered =
      mConfirmations.OnAnswer(kProcess, aVerdict, kAsked + kRoundTrip);
    for (const auto& each : answered.mHandlers) {
      each(aVerdict);
    }
    return answered.mAskAgain;
  }
};

TEST_CASE_FIXTURE(
  endpoint_being_asked,
  "process_confirmations/listed_process_answers/earlier_connections_covered")
{
  CHECK_FALSE(mConfirmations.Covers(kProcess, kAsked));
  CHECK_FALSE(Answer(process_verdict::kListed));
  CHECK(mVerdicts == std::vector{ process_verdict::kListed });
  CHECK(mConfirmations.Covers(kProcess, kAsked - Seconds(9)));
  CHECK(mConfirmations.Covers(kProcess, kAsked));
}

// A stream on a connection to a new process would count as one of the listed
// process.
TEST_CASE_FIXTURE(
  endpoint_being_asked,
  "process_confirmations/connection_made_after_question/not_covered")
{
  CHECK_FALSE(Answer(process_verdict::kListed));
  CHECK_FALSE(mConfirmations.Covers(kProcess, kAsked + Milliseconds(1)));
  CHECK_FALSE(mConfirmations.Covers(kProcess, time_point::max()));
  CHECK_FALSE(mConfirmations.Covers(kProcess + 1, kAsked));
}

TEST_CASE_FIXTURE(
  endpoint_being_asked,
  "process_confirmations/waiter_came_after_question/asked_again_for_it")
{
  CHECK_FALSE(Await(kAsked + Milliseconds(1)));
  CHECK(Answer(process_verdict::kListed));
  CHECK(mVerdicts.size() == 1);
  CHECK_FALSE(Answer(process_verdict::kOther));
  CHECK(mVerdicts ==
        std::vector{ process_verdict::kListed, process_verdict::kOther });
}

TEST_CASE_FIXTURE(endpoint_being_asked,
                  "process_confirmations/same_moment/one_question")
{
  CHECK_FALSE(Await(kAsked));
  CHECK_FALSE(Answer(process_verdict::kUnknown));
  CHECK(mVerdicts.size() == 2);
  CHECK_FALSE(mConfirmations.Covers(kProcess, kAsked));
}

TEST_CASE_FIXTURE(
  endpoint_being_asked,
  "process_confirmations/another_process_answers/earlier_answer_holds")
{
  CHECK_FALSE(Answer(process_verdict::kListed));
  CHECK(Await(kAsked + Seconds(1)));
  CHECK_FALSE(Answer(process_verdict::kOther));
  CHECK(mConfirmations.Covers(kProcess, kAsked));
  CHECK_FALSE(mConfirmations.Covers(kProcess, kAsked + Seconds(1)));
}

TEST_CASE_FIXTURE(endpoint_being_asked,
                  "process_confirmations/no_longer_listed/waiters_returned")
{
  CHECK(mConfirmations.Forget(kProcess).size() == 1);
  CHECK(mConfirmations.Forget(kProcess).empty());
  CHECK_FALSE(Answer(process_verdict::kListed));
  CHECK_FALSE(mConfirmations.Covers(kProcess, kAsked));
  CHECK(mVerdicts.empty());
}

} // namespace
} // namespace thornhollow
