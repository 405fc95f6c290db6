#include <algorithm>

#include <doctest/doctest.h>

#include "thornhollow/request/request_machine.h"

namespace thornhollow {
namespace {

constexpr time_point kStart{ Seconds(100) };
const endpoint_name kFirst("e1");
const endpoint_name kSecond("e2");

template<class action>
const action*
Find(const request_actions& aActions)
{
  for (const request_action& each : aActions) {
    if (const auto* found = std::get_if<action>(&each)) {
      return found;
    }
  }
  return nullptr;
}

request_facts
Facts(bool aIdempotent)
{
  request_facts facts;
  facts.mId = request_id("r1");
  facts.mIdempotent = aIdempotent;
  facts.mStream = true;
  facts.mDeadline = kStart + Seconds(60);
  return facts;
}

struct dispatch_order
{
  void Send()
  {
    mMachine.Handle(attempt_granted{ kFirst }, kStart);
    mMachine.Handle(sending_begun{ 1 }, kStart);
  }
  request_machine mMachine{ Facts(false) };
};

struct route_note
{
  void Send()
  {
    mMachine.Handle(attempt_granted{ kFirst }, kStart);
    mMachine.Handle(sending_begun{ 1 }, kStart);
  }
  request_actions Token(attempt_number aAttempt, std::uint64_t aIndex)
  {
    return mMachine.Handle(
      token_received{ aAttempt, request_id("r1"), aIndex, "t" }, kStart);
  }
  request_machine mMachine{ Facts(true) };
};

TEST_CASE_FIXTURE(dispatch_order,
                  "dispatch_order/connection_lost_after_sending/not_repeated")
{
  // A county manager orders a truck. The endpoint takes the order and its
  // connection breaks before the answer. Sent again, two trucks would leave;
  // the caller has to be told that it may have been run.
  Send();
  const auto told = mMachine.Handle(connection_lost{ 1 }, kStart);
  CHECK(Find<ask_again>(told) == nullptr);
  REQUIRE(Find<deliver_error>(told) != nullptr);
  CHECK(AnswerFor(Find<deliver_error>(told)->mKind).mRan == ran::kMaybe);
}

TEST_CASE_FIXTURE(dispatch_order, "dispatch_order/connect_failed/is_repeated")
{
  mMachine.Handle(attempt_granted{ kFirst }, kStart);
  const auto next = mMachine.Handle(connect_failed{ 1 }, kStart);
  CHECK(Find<ask_again>(next) != nullptr);
}

TEST_CASE_FIXTURE(dispatch_order, "dispatch_order/declined/is_repeated")
{
  Send();
  const auto next = mMachine.Handle(endpoint_declined{ 1, false }, kStart);
  CHECK(Find<ask_again>(next) != nullptr);
}

TEST_CASE_FIXTURE(dispatch_order,
                  "dispatch_order/lost_before_any_byte/counts_as_not_run")
{
  mMachine.Handle(attempt_granted{ kFirst }, kStart);
  const auto next = mMachine.Handle(connection_lost{ 1 }, kStart);
  CHECK(Find<ask_again>(next) != nullptr);
  CHECK_FALSE(mMachine.MayHaveRun());
}

TEST_CASE_FIXTURE(dispatch_order, "dispatch_order/endpoint_frozen/not_repeated")
{
  // The endpoint accepts the order and never says another word. After the
  // stage's limit the caller is told "maybe", and nobody sends it again.
  Send();
  REQUIRE(mMachine.NextDue() == kStart + Seconds(15));
  const auto told = mMachine.Handle(time_passed{}, kStart + Seconds(15));
  CHECK(Find<ask_again>(told) == nullptr);
  REQUIRE(Find<deliver_error>(told) != nullptr);
  CHECK(Find<deliver_error>(told)->mKind == error_kind::kEndpointSilent);
}

TEST_CASE_FIXTURE(route_note,
                  "route_note/refused_after_maybe_run/never_told_not_run")
{
  // The first attempt broke after it was sent; on the way to the second the
  // queue is full. "Queue full" alone would say "not run", which is not known.
  Send();
  mMachine.Handle(connection_lost{ 1 }, kStart);
  const auto told = mMachine.Handle(
    schedule_refused{ error_kind::kQueueFull, Seconds(1) }, kStart);
  REQUIRE(Find<deliver_error>(told) != nullptr);
  CHECK(AnswerFor(Find<deliver_error>(told)->mKind).mRan == ran::kMaybe);
}

TEST_CASE_FIXTURE(route_note, "route_note/engine_killed/resumes_at_exact_token")
{
  // A driver reads the third word of a route note when the engine dies. The
  // note goes on with the fourth word from another engine.
  Send();
  for (std::uint64_t index = 0; index < 3; ++index) {
    Token(1, index);
  }
  CHECK(Find<ask_again>(mMachine.Handle(connection_lost{ 1 }, kStart)));
  const auto next = mMachine.Handle(attempt_granted{ kSecond }, kStart);
  CHECK(next == request_actions{ open_attempt{ 2, kSecond, 3 } });
  mMachine.Handle(sending_begun{ 2 }, kStart);
  const auto token = Token(2, 3);
  REQUIRE(Find<deliver_token>(token) != nullptr);
  CHECK(Find<deliver_token>(token)->mIndex == 3);
}

TEST_CASE_FIXTURE(route_note, "route_note/resumed_wrongly/repeats_no_token")
{
  Send();
  Token(1, 0);
  Token(1, 1);
  mMachine.Handle(connection_lost{ 1 }, kStart);
  mMachine.Handle(attempt_granted{ kSecond }, kStart);
  mMachine.Handle(sending_begun{ 2 }, kStart);
  const auto repeated = Token(2, 0);
  CHECK(Find<deliver_token>(repeated) == nullptr);
  CHECK(Find<close_attempt>(repeated) != nullptr);
}

// A stream would get tokens of two software versions.
TEST_CASE_FIXTURE(route_note,
                  "route_note/resumed_at_another_version/not_joined")
{
  const auto token = [this](attempt_number aAttempt,
                            std::uint64_t aIndex,
                            const char* aVersion) {
    return mMachine.Handle(
      token_received{
        aAttempt, request_id("r1"), aIndex, "t", software_version(aVersion) },
      kStart);
  };
  Send();
  token(1, 0, "v1");
  mMachine.Handle(connection_lost{ 1 }, kStart);
  mMachine.Handle(attempt_granted{ kSecond }, kStart);
  mMachine.Handle(sending_begun{ 2 }, kStart);
  const auto other = token(2, 1, "v2");
  CHECK(Find<deliver_token>(other) == nullptr);
  CHECK(Find<close_attempt>(other) != nullptr);
  REQUIRE(Find<report_attempt_ended>(other) != nullptr);
  CHECK(Find<report_attempt_ended>(other)->mHow == attempt_end::kCancelled);
  REQUIRE(Find<ask_again>(other) != nullptr);
  mMachine.Handle(attempt_granted{ kFirst }, kStart);
  mMachine.Handle(sending_begun{ 3 }, kStart);
  CHECK(Find<deliver_token>(token(3, 1, "v1")) != nullptr);
}

TEST_CASE_FIXTURE(route_note, "route_note/token_of_another_request/dropped")
{
  // Two streams crossed inside an engine: the driver would read a resident's
  // address. The event names the other request, so it is dropped.
  Send();
  const auto crossed =
    mMachine.Handle(token_received{ 1, request_id("r2"), 0, "x" }, kStart);
  CHECK(Find<deliver_token>(crossed) == nullptr);
  REQUIRE(Find<ask_again>(crossed) != nullptr);
  CHECK(Find<ask_again>(crossed)->mReason == error_kind::kAnswerMismatch);
}

TEST_CASE_FIXTURE(route_note, "route_note/late_token_of_old_attempt/ignored")
{
  Send();
  mMachine.Handle(connection_lost{ 1 }, kStart);
  mMachine.Handle(attempt_granted{ kSecond }, kStart);
  CHECK(Token(1, 0).empty());
}

TEST_CASE_FIXTURE(route_note, "route_note/attempts_used_up/ends_with_error")
{
  for (attempt_number attempt = 1; attempt <= 3; ++attempt) {
    mMachine.Handle(attempt_granted{ kFirst }, kStart);
    const auto next = mMachine.Handle(connect_failed{ attempt }, kStart);
    CHECK((Find<deliver_error>(next) != nullptr) == (attempt == 3));
  }
  CHECK(mMachine.Ended());
}

TEST_CASE_FIXTURE(route_note, "route_note/caller_leaves/attempt_is_cancelled")
{
  Send();
  Token(1, 0);
  const auto next = mMachine.Handle(caller_left{}, kStart);
  REQUIRE(Find<report_attempt_ended>(next) != nullptr);
  CHECK(Find<report_attempt_ended>(next)->mHow == attempt_end::kCancelled);
  CHECK(mMachine.Ended());
}

TEST_CASE_FIXTURE(dispatch_order, "dispatch_order/caller_left/tells_what_ran")
{
  // The key of an order is freed only when nothing was run: a caller that left
  // while its order was at the endpoint must not get it run a second time.
  mMachine.Handle(attempt_granted{ kFirst }, kStart);
  CHECK(mMachine.Ran() == ran::kNo);
  mMachine.Handle(sending_begun{ 1 }, kStart);
  CHECK(mMachine.Ran() == ran::kMaybe);
  mMachine.Handle(caller_left{}, kStart);
  CHECK(mMachine.Ran() == ran::kMaybe);
}

TEST_CASE_FIXTURE(dispatch_order, "dispatch_order/all_declined/was_not_run")
{
  Send();
  mMachine.Handle(endpoint_declined{ 1, false }, kStart);
  mMachine.Handle(schedule_refused{ error_kind::kNoEndpoint, {} }, kStart);
  CHECK(mMachine.Ran() == ran::kNo);
}

TEST_CASE_FIXTURE(route_note, "route_note/stream_not_resumable/says_broken")
{
  Send();
  Token(1, 0);
  mMachine.Handle(connection_lost{ 1 }, kStart);
  const auto told = mMachine.Handle(
    schedule_refused{ error_kind::kNoEndpoint, Seconds(1) }, kStart);
  REQUIRE(Find<deliver_error>(told) != nullptr);
  CHECK(Find<deliver_error>(told)->mKind == error_kind::kStreamBroken);
}

TEST_CASE_FIXTURE(route_note, "route_note/deadline_while_running/ends_at_once")
{
  Send();
  Token(1, 0);
  for (int second = 4; second < 60; second += 4) {
    Token(1, mMachine.DeliveredTokens());
  }
  const auto told = mMachine.Handle(time_passed{}, kStart + Seconds(60));
  CHECK(Find<close_attempt>(told) != nullptr);
  CHECK(Find<deliver_error>(told) != nullptr);
}

} // namespace
} // namespace thornhollow
