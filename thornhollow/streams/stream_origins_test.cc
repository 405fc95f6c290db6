#include <string>
#include <variant>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/streams/stream_origins.h"

namespace thornhollow {
namespace {

constexpr endpoint_version_hash kOld = 1;
constexpr endpoint_version_hash kNew = 2;
constexpr stream_key kStream{ 7 };
constexpr duration kLongest = Seconds(5);
// From then on one version has served for longer than any stream.
constexpr duration kVersionsAreKnown = Seconds(20);
const pool_name kPool("engines");
const std::string kOther = "10.0.0.2:7";

struct instance_with_one_other
{
  time_point mNow{ Seconds(100) };
  stream_origins mOrigins{ stream_origins_settings{}, domain_name("hall"), 1 };

  instance_with_one_other()
  {
    mOrigins.SetLongestStream(kLongest);
    mOrigins.SetListIsCurrent(true);
    mOrigins.SetInstances({ { kOther, domain_name("hall") } }, mNow);
    List("i-1", kOld);
  }

  void List(const std::string& aName, endpoint_version_hash aVersion)
  {
    mOrigins.OnListed({ endpoint_name(aName), kPool, aVersion }, mNow);
  }

  void Begin(endpoint_version_hash aVersion = kOld)
  {
    mOrigins.OnBegun({ kStream, kPool, aVersion, endpoint_name("i-1") }, mNow);
  }

  // Lets time pass; returns what was told meanwhile.
  std::vector<stream_origin> Pass(duration aTime)
  {
    std::vector<stream_origin> told;
    for (const time_point end = mNow + aTime; mNow < end;
         mNow += Milliseconds(5)) {
      mOrigins.Tick(mNow);
      for (const auto& each : mOrigins.TakeMessages(mNow)) {
        if (const auto* some = std::get_if<told_origins>(&each.mMessage)) {
          told.insert(told.end(), some->mOrigins.begin(), some->mOrigins.end());
        }
      }
    }
    return told;
  }

  origin_verdict Find(stream_key aStream = kStream)
  {
    const auto found = mOrigins.Find(aStream, kPool, mNow);
    if (const auto* verdict = std::get_if<origin_verdict>(&found)) {
      return *verdict;
    }
    mNow += Seconds(1);
    return mOrigins.TakeFinished(mNow).front().mVerdict;
  }
};

// The holders have to know the stream before its instance is killed.
TEST_CASE_FIXTURE(instance_with_one_other,
                  "stream_origins/two_versions/told_within_milliseconds")
{
  Pass(kVersionsAreKnown);
  List("i-2", kNew);
  Pass(Milliseconds(10));
  Begin();
  CHECK(Pass(Milliseconds(10)) ==
        std::vector<stream_origin>{ { kStream, kOld } });
}

TEST_CASE_FIXTURE(instance_with_one_other,
                  "stream_origins/second_version_appears/open_streams_are_told")
{
  Pass(kVersionsAreKnown);
  Begin();
  CHECK(Pass(Seconds(1)).empty());
  List("i-2", kNew);
  CHECK(Pass(Milliseconds(10)) ==
        std::vector<stream_origin>{ { kStream, kOld } });
}

TEST_CASE_FIXTURE(instance_with_one_other,
                  "stream_origins/open_for_long/told_again_until_it_ends")
{
  List("i-2", kNew);
  Begin();
  CHECK(Pass(Seconds(20)).size() >= 3);
  mOrigins.OnEnded(kStream, mNow);
  CHECK(Pass(Seconds(21)).empty());
  CHECK(mOrigins.Held() == 0);
}

// The new process may have written the stream before it was listed.
TEST_CASE_FIXTURE(instance_with_one_other,
                  "stream_origins/endpoint_replaced/its_streams_are_unknown")
{
  List("i-2", kNew);
  Pass(Seconds(2));
  Begin();
  Pass(Milliseconds(10));
  List("i-1", kNew);
  CHECK(Pass(Milliseconds(10)) ==
        std::vector<stream_origin>{ { kStream, kUnknownVersion } });
  CHECK(Find().mGround == origin_ground::kAmbiguous);
}

TEST_CASE_FIXTURE(instance_with_one_other,
                  "stream_origins/endpoint_listed_again/its_streams_are_known")
{
  Begin();
  mOrigins.OnRemoved(endpoint_name("i-1"), mNow);
  List("i-1", kOld);
  CHECK(Find().mVersion == kOld);
}

TEST_CASE_FIXTURE(instance_with_one_other,
                  "stream_origins/endpoint_replaced_long_after/stream_is_known")
{
  List("i-2", kNew);
  Begin();
  mOrigins.OnEnded(kStream, mNow);
  Pass(Seconds(4));
  List("i-1", kNew);
  CHECK(Find().mVersion == kOld);
}

// Such an instance doesn't know whom to ask.
TEST_CASE_FIXTURE(instance_with_one_other,
                  "stream_origins/others_are_new_to_it/caller_may_come_back")
{
  List("i-2", kNew);
  CHECK(Find().mGround == origin_ground::kNoAnswer);
  Pass(Seconds(2));
  const auto asked = mOrigins.Find(kStream, kPool, mNow);
  mOrigins.TakeMessages(mNow);
  mOrigins.OnMessage(
    kOther,
    origin_answer{ std::get<question_number>(asked),
                   { false, 0, { version_count::kSeveral, 0 } } },
    mNow);
  CHECK(mOrigins.TakeFinished(mNow).front().mVerdict.mGround ==
        origin_ground::kSeveralVersions);
}

TEST_CASE_FIXTURE(instance_with_one_other,
                  "stream_origins/no_other_heard_yet/caller_may_come_back")
{
  stream_origins lonely(stream_origins_settings{}, domain_name("hall"), 1);
  lonely.SetInstances({}, mNow);
  const auto ground = [&] {
    return std::get<origin_verdict>(lonely.Find(kStream, kPool, mNow)).mGround;
  };
  mNow += Seconds(4);
  CHECK(ground() == origin_ground::kNoAnswer);
  mNow += Seconds(1);
  CHECK(ground() == origin_ground::kListTooYoung);
}

TEST_CASE_FIXTURE(instance_with_one_other,
                  "stream_origins/question/is_answered_and_sent_twice_at_most")
{
  Begin();
  Pass(Milliseconds(10));
  mOrigins.OnMessage(kOther, origin_question{ 3, kStream, kPool }, mNow);
  const auto out = mOrigins.TakeMessages(mNow);
  REQUIRE(out.size() == 1);
  const auto* answer = std::get_if<origin_answer>(&out.front().mMessage);
  REQUIRE(answer != nullptr);
  CHECK(answer->mNumber == 3);
  CHECK(answer->mWord.mVersion == kOld);
  std::size_t sent = 0;
  mOrigins.Find({ 8 }, kPool, mNow);
  for (int step = 0; step < 100; ++step, mNow += Milliseconds(2)) {
    for (const auto& each : mOrigins.TakeMessages(mNow)) {
      sent += std::holds_alternative<origin_question>(each.mMessage) ? 1 : 0;
    }
  }
  CHECK(sent == 2);
}

TEST_CASE_FIXTURE(instance_with_one_other,
                  "stream_origins/identifier_used_twice/version_is_unknown")
{
  Begin(kOld);
  Begin(kNew);
  CHECK(Find().mGround == origin_ground::kAmbiguous);
}

// Without the source, another version may have come unnoticed.
TEST_CASE_FIXTURE(instance_with_one_other,
                  "stream_origins/list_not_current/nothing_follows_from_it")
{
  Pass(kVersionsAreKnown);
  mOrigins.SetListIsCurrent(false);
  Begin();
  CHECK(Pass(Milliseconds(10)).size() == 1);
}

} // namespace
} // namespace thornhollow
