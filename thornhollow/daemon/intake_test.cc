#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <doctest/doctest.h>

#include "thornhollow/config/token.h"
#include "thornhollow/daemon/intake.h"

namespace thornhollow {
namespace {

declarations
OneTeam()
{
  declarations declared;
  declared.mLevels = {
    { level_name("dock"), 1, Milliseconds(400), Milliseconds(60), Seconds(10) }
  };
  declared.mModels = { { model_name("dispatch") } };
  declared.mClasses = { { class_name("route-notes"),
                          level_name("dock"),
                          0.0,
                          true,
                          { model_name("dispatch") } },
                        { class_name("plans"),
                          level_name("dock"),
                          0.0,
                          true,
                          { model_name("dispatch") } } };
  declared.mTeams = { { team_name("drivers"),
                        { TokenDigest("secret") },
                        { class_name("route-notes") },
                        1.0,
                        0 } };
  declared.mServices = { { service_name("orders"),
                           "/orders",
                           { "POST" },
                           class_name("route-notes"),
                           false } };
  return declared;
}

struct drivers_request
{
  error_kind Refusal() const
  {
    const auto read = ReadIntake(mRequest, *mCatalog);
    REQUIRE(std::holds_alternative<error_kind>(read));
    return std::get<error_kind>(read);
  }
  intake Accepted() const
  {
    const auto read = ReadIntake(mRequest, *mCatalog);
    REQUIRE(std::holds_alternative<intake>(read));
    return std::get<intake>(read);
  }

  catalog_ptr mCatalog = MakeCatalog(OneTeam());
  caller_request mRequest{
    "POST",
    "/v1/chat/completions",
    { { "authorization", "Bearer secret" } },
    R"({"model":"dispatch","messages":[{"role":"user","content":"hi"}]})"
  };
};

TEST_CASE_FIXTURE(drivers_request, "drivers_request/as_declared/takes_terms")
{
  const intake read = Accepted();
  CHECK(read.mClass == class_name("route-notes"));
  CHECK(read.mTier == 1);
  CHECK(read.mDeadline == Seconds(10));
  CHECK(read.mPool == pool_name("dispatch"));
  CHECK_FALSE(read.mStream);
}

TEST_CASE_FIXTURE(drivers_request,
                  "drivers_request/wrong_token/unauthenticated")
{
  mRequest.mHeaders = { { "Authorization", "Bearer other" } };
  CHECK(Refusal() == error_kind::kUnauthenticated);
  mRequest.mHeaders.clear();
  CHECK(Refusal() == error_kind::kUnauthenticated);
}

TEST_CASE_FIXTURE(drivers_request,
                  "drivers_request/messages/all_but_the_last_are_parts")
{
  const std::size_t none = Accepted().mPartFeatures.size();
  mRequest.mBody = R"({"model":"dispatch","messages":[
    {"role":"system","content":"rules"},{"role":"user","content":"hi"}]})";
  const auto first = Accepted().mPartFeatures;
  mRequest.mBody = R"({"model":"dispatch","messages":[
    {"role":"system","content":"rules"},{"role":"user","content":"bye"}]})";
  CHECK(none == 0);
  CHECK(first.size() == 1);
  CHECK(Accepted().mPartFeatures == first);
}

TEST_CASE_FIXTURE(drivers_request, "drivers_request/class_not_its_own/refused")
{
  mRequest.mHeaders.push_back({ "X-Request-Class", "plans" });
  CHECK(Refusal() == error_kind::kClassNotAllowed);
  mRequest.mHeaders.back().mValue = "nowhere";
  CHECK(Refusal() == error_kind::kUnknownClass);
}

TEST_CASE_FIXTURE(drivers_request, "drivers_request/bad_bodies/are_malformed")
{
  for (const char* body : { "", "{", "[]", "{}", R"({"model":1})" }) {
    mRequest.mBody = body;
    CHECK(Refusal() == error_kind::kMalformedRequest);
  }
  mRequest.mBody = std::string(5000, '[');
  CHECK(Refusal() == error_kind::kMalformedRequest);
}

TEST_CASE_FIXTURE(drivers_request, "drivers_request/claimed_priority/replaced")
{
  // A caller puts "priority":0 into its body to overtake the drivers team.
  // Engines honor the priority field, so only the router may set it.
  mRequest.mBody = R"({"model":"dispatch","messages":[],"priority":0,)"
                   R"("resume_from":7,"stream":false})";
  const auto body =
    boost::json::parse(EngineBody(Accepted(), 1, 3)).as_object();
  CHECK(body.at("priority").to_number<int>() == 1);
  CHECK(body.at("resume_from").to_number<int>() == 3);
  CHECK(body.at("stream").as_bool());
}

TEST_CASE_FIXTURE(drivers_request,
                  "drivers_request/deadline_header/only_shortens")
{
  mRequest.mHeaders.push_back({ "X-Deadline-Ms", "2500" });
  CHECK(Accepted().mDeadline == Milliseconds(2500));
  mRequest.mHeaders.back().mValue = "99000";
  CHECK(Accepted().mDeadline == Seconds(10));
  mRequest.mHeaders.back().mValue = "-1";
  CHECK(Refusal() == error_kind::kMalformedRequest);
}

TEST_CASE_FIXTURE(drivers_request,
                  "drivers_request/plain_service/not_idempotent")
{
  mRequest.mPath = "/orders";
  mRequest.mBody = "any bytes";
  const intake read = Accepted();
  CHECK_FALSE(read.mIdempotent);
  CHECK_FALSE(read.mEngine);
  CHECK(read.mBody == "any bytes");
  mRequest.mMethod = "GET";
  CHECK(Refusal() == error_kind::kMethodNotAllowed);
}

} // namespace
} // namespace thornhollow
