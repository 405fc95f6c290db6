#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/request/forwarding_headers.h"

namespace thornhollow {
namespace {

struct callers_request
{
  relay_names mNames;
  std::vector<header_field> mFields = {
    { "Host", "a.example" },
    { "X-Request-Id", "r1" },
    { "Authorization", "Bearer secret" },
    { "X-Deadline-Ms", "1500" },
    { "Last-Event-Id", "4" },
    { "Connection", "keep-alive, X-Hop" },
    { "X-Hop", "1" },
    { "thornhollow-forwarded", "7,7" },
    { "thornhollow-stream-version", "7" },
    { "thornhollow-attempts", "7" },
  };
  std::vector<header_field> mSent =
    ForwardHeaders(mNames, mFields, Milliseconds(900), "12", { 1, 32 });

  std::string_view Sent(std::string_view aName) const
  {
    return HeaderValue(mSent, aName);
  }
};

TEST_CASE_FIXTURE(callers_request,
                  "forwarding_headers/forwarded/token_stays_and_time_shrinks")
{
  CHECK(Sent("Authorization") == "Bearer secret");
  CHECK(Sent("X-Request-Id") == "r1");
  CHECK(Sent("X-Deadline-Ms") == "900");
  CHECK(Sent("Last-Event-Id") == "12");
  CHECK(Sent("X-Hop").empty());
  CHECK(ReadRelayRequest(mNames, mSent).mResumeAfter == "12");
}

// Guards against a caller that marks its own request as forwarded.
TEST_CASE_FIXTURE(callers_request,
                  "forwarding_headers/callers_own_mark/is_replaced")
{
  CHECK(ReadForwardingFacts(mSent) == forwarding_facts{ 1, 32 });
}

TEST_CASE_FIXTURE(callers_request,
                  "forwarding_headers/endpoints/do_not_see_the_mark")
{
  const auto sent = AttemptHeaders(mNames, mSent, {});
  CHECK(HeaderValue(sent, kForwardingHeader).empty());
  CHECK(HeaderValue(sent, "Authorization").empty());
}

// A stream that another instance continues would get events of two versions.
TEST_CASE_FIXTURE(callers_request,
                  "forwarding_headers/version_of_a_stream/reaches_instances")
{
  constexpr endpoint_version_hash kVersion = 0xfedc'ba98'7654'3210;
  const auto sent = ForwardHeaders(
    mNames, mFields, Milliseconds(900), "12", { 1, 32, kVersion });
  CHECK(ReadForwardingFacts(sent) == forwarding_facts{ 1, 32, kVersion });
  CHECK(HeaderValue(AttemptHeaders(mNames, sent, {}), kForwardingVersionHeader)
          .empty());
  const std::vector<header_field> told = { ForwardingVersionHeader(kVersion) };
  CHECK(ReadForwardingVersion(told) == kVersion);
  CHECK(AnswerHeaders(told).empty());
  CHECK_FALSE(ReadForwardingVersion({ { told.front().mName, "v1" } }));
}

// Guards against attempts that the forwarding instance doesn't count, as it
// isn't told of them.
TEST_CASE_FIXTURE(callers_request,
                  "forwarding_headers/attempts/are_told_where_they_are_wanted")
{
  CHECK(Sent(kForwardingAttemptsHeader).empty());
  forwarding_facts facts{ 1, 32 };
  facts.mWantsAttempts = true;
  const auto sent =
    ForwardHeaders(mNames, mFields, Milliseconds(900), "12", facts);
  CHECK(ReadForwardingFacts(sent) == facts);
  CHECK(HeaderValue(AttemptHeaders(mNames, sent, {}), kForwardingAttemptsHeader)
          .empty());
  const std::vector<header_field> told = { ForwardingAttemptsHeader(2) };
  CHECK(ReadForwardingAttempts(told) == 2);
  CHECK(AnswerHeaders(told).empty());
  CHECK_FALSE(ReadForwardingAttempts({ { told.front().mName, "x" } }));
}

TEST_CASE("forwarding_headers/comments_on_attempts/are_taken_out_of_a_stream")
{
  std::string events = "id: 1\ndata: a\n\n" + AttemptsComment(2) +
                       "id: 2\ndata: b\n\n" + AttemptsComment(3);
  CHECK(TakeAttemptsComments(events) == 3);
  CHECK(events == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  CHECK_FALSE(TakeAttemptsComments(events));
  for (const char* each : { ": thornhollow-attempts x\n\n",
                            ": thornhollow-attempts 2",
                            "data: : thornhollow-attempts 2\n\n",
                            ": other\n\n" }) {
    std::string others = each;
    CHECK_FALSE(TakeAttemptsComments(others));
    CHECK(others == each);
  }
}

TEST_CASE("forwarding_headers/malformed_mark/is_refused")
{
  for (const char* each :
       { "", ",", "1", "1,", ",2", "a,b", "-1,2", "1,2,3" }) {
    CHECK_FALSE(
      ReadForwardingFacts({ { std::string(kForwardingHeader), each } }));
  }
  CHECK_FALSE(ReadForwardingFacts({}));
}

TEST_CASE("forwarding_headers/errors/come_back_as_they_were")
{
  for (const error_kind each : AllErrorKinds()) {
    const std::vector<header_field> fields{
      { std::string(kForwardingErrorHeader), std::string(Name(each)) }
    };
    CHECK(ReadForwardingError(fields) == each);
    CHECK(AnswerHeaders(fields).empty());
  }
  CHECK_FALSE(ReadForwardingError({}));
  CHECK_FALSE(
    ReadForwardingError({ { std::string(kForwardingErrorHeader), "other" } }));
}

TEST_CASE("forwarding_headers/open_ended_mark/is_read_and_never_passed_on")
{
  const std::vector<header_field> marked = {
    { std::string(kForwardingOpenEndedHeader), "1" }
  };
  CHECK(ReadForwardingOpenEnded(marked));
  CHECK_FALSE(ReadForwardingOpenEnded({ { "X-Other", "1" } }));
  CHECK(AnswerHeaders(marked).empty());
}

TEST_CASE("forwarding_headers/leaving_endpoint/is_read_and_never_passed_on")
{
  constexpr endpoint_process_hash kProcess = 0xfedc'ba98'7654'3210;
  const std::vector<header_field> told = { ForwardingLeavingHeader(kProcess) };
  CHECK(ReadForwardingLeaving(told) == kProcess);
  CHECK(AnswerHeaders(told).empty());
  CHECK_FALSE(ReadForwardingLeaving({ { told.front().mName, "soon" } }));
}

TEST_CASE("forwarding_headers/retry_after/is_read_with_fractions")
{
  CHECK(ReadRetryAfter({ { "Retry-After", "0.250" } }) == Milliseconds(250));
  CHECK(ReadRetryAfter({ { "Retry-After", "2" } }) == Seconds(2));
  for (const char* each : { "", "soon", "-1", "nan", "1e9" }) {
    CHECK_FALSE(ReadRetryAfter({ { "Retry-After", each } }));
  }
}

} // namespace
} // namespace thornhollow
