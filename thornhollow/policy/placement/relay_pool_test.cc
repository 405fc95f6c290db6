#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <variant>

#include <doctest/doctest.h>

#include "thornhollow/policy/placement/relay_pool.h"

namespace thornhollow {
namespace {

relay_endpoint
Endpoint(const std::string& aName)
{
  return { endpoint_name(aName), aName + ":80", domain_name("hall"), 1, false };
}

std::string
AddressOf(const endpoint_name& aName)
{
  return aName.Text() + ":80";
}

request_profile
Work(std::uint64_t aSession, bool aLong)
{
  request_profile work;
  work.mPromptTokens = aLong ? 12'000 : 800;
  work.mSharedTokens = aLong ? 5'400 : 200;
  work.mSharedPrefix = aSession;
  work.mTarget = aLong ? Seconds(2) : Milliseconds(300);
  work.mPause = aLong ? Milliseconds(800) : Milliseconds(200);
  return work;
}

// Returns a view of a pool whose demand is `aLong` prompt tokens per second of
// long prompts and `aShort` of short prompts.
pool_view
View(double aLong, double aShort)
{
  constexpr double kLong = 9'000;
  constexpr double kShort = 700;
  return {
    { { KindOf(Work(1, false)), aShort / kShort, aShort, aShort * kShort },
      { KindOf(Work(1, true)), aLong / kLong, aLong, aLong * kLong } }
  };
}

struct pool_of_nine_engines
{
  relay_pool mPool{ relay_pool_settings{}, true, domain_name("hall"), 1 };
  time_point mNow = time_point() + Seconds(100);

  pool_of_nine_engines()
  {
    for (int each = 0; each < 9; ++each) {
      mPool.Put(Endpoint("e" + std::to_string(each)));
    }
    mPool.SetView(View(50'000, 20'000), mNow);
  }

  std::optional<admission_refusal> Refused(const request_profile& aRequest)
  {
    const auto verdict = mPool.Admit(aRequest, Seconds(15), mNow);
    const auto* refused = std::get_if<admission_refusal>(&verdict);
    return refused == nullptr ? std::nullopt : std::optional(*refused);
  }

  relay_pick Send(const request_profile& aRequest)
  {
    const auto pick = mPool.Choose(aRequest, {}, mNow);
    REQUIRE(pick.has_value());
    mPool.OnSent(*pick, aRequest, mNow);
    return *pick;
  }

  void Finish(const relay_pick& aPick,
              const request_profile& aRequest,
              duration aWait)
  {
    mPool.OnFirstByte(aPick, aRequest, aWait, mNow);
    mPool.OnEnded(aPick, aRequest, attempt_end::kCompleted, true, aWait, mNow);
  }
};

TEST_CASE_FIXTURE(pool_of_nine_engines,
                  "relay_pool/long_and_short_prompts/never_meet")
{
  // Guards against gaps in interactive streams: the words of drivers' notes
  // came in bursts while the engine prefilled the prompt of a plan, which has
  // many pages.
  std::map<endpoint_name, std::pair<int, int>> seen;
  for (std::uint64_t each = 1; each <= 400; ++each) {
    const bool isLong = each % 3 == 0;
    const request_profile work = Work(each % 60 + 1, isLong);
    const relay_pick pick = Send(work);
    ++(isLong ? seen[pick.mEndpoint].first : seen[pick.mEndpoint].second);
    Finish(pick, work, Milliseconds(100));
    mNow += Milliseconds(20);
  }
  for (const auto& [name, counts] : seen) {
    CHECK((counts.first == 0 || counts.second == 0));
  }
}

// A stream would get events of two software versions.
TEST_CASE_FIXTURE(pool_of_nine_engines,
                  "relay_pool/continued_stream/stays_at_its_version")
{
  constexpr endpoint_version_hash kOld = 1;
  constexpr endpoint_version_hash kNew = 2;
  for (int each = 0; each < 9; ++each) {
    relay_endpoint endpoint = Endpoint("e" + std::to_string(each));
    endpoint.mVersionHash = each < 3 ? kOld : kNew;
    mPool.Put(endpoint);
  }
  request_profile work = Work(7, false);
  work.mVersion = kOld;
  std::vector<endpoint_name> tried;
  for (int each = 0; each < 3; ++each) {
    CHECK(mPool.HasOther(work, tried));
    const auto pick = mPool.Choose(work, tried, mNow);
    REQUIRE(pick);
    CHECK(pick->mVersionHash == kOld);
    tried.push_back(pick->mEndpoint);
  }
  CHECK_FALSE(mPool.HasOther(work, tried));
  CHECK_FALSE(mPool.Choose(work, tried, mNow));
  work.mVersion = kUnknownVersion;
  CHECK_FALSE(mPool.Choose(work, {}, mNow));
  work.mVersion.reset();
  CHECK(mPool.Choose(work, tried, mNow));
}

// What two versions of an engine keep of a prompt doesn't fit together.
TEST_CASE_FIXTURE(pool_of_nine_engines,
                  "relay_pool/prefix_cached_at_another_version/is_not_copied")
{
  const auto copyFrom = [](endpoint_version_hash aOthers) {
    pool_of_nine_engines site;
    const request_profile work = Work(7, true);
    const relay_pick first = site.Send(work);
    site.Finish(first, work, Milliseconds(100));
    for (int each = 0; each < 9; ++each) {
      relay_endpoint endpoint = Endpoint("e" + std::to_string(each));
      endpoint.mVersionHash = endpoint.mName == first.mEndpoint ? 1 : aOthers;
      site.mPool.Put(endpoint);
    }
    return site.mPool.Choose(work, { first.mEndpoint }, site.mNow)->mCopyFrom;
  };
  CHECK_FALSE(copyFrom(1).empty());
  CHECK(copyFrom(2).empty());
}

TEST_CASE_FIXTURE(pool_of_nine_engines,
                  "relay_pool/same_session/stays_on_its_engine")
{
  const relay_pick first = Send(Work(77, true));
  Finish(first, Work(77, true), Milliseconds(200));
  for (int each = 0; each < 20; ++each) {
    const relay_pick next = Send(Work(77, true));
    CHECK(next.mEndpoint == first.mEndpoint);
    CHECK(next.mPrefixCached);
    Finish(next, Work(77, true), Milliseconds(200));
  }
}

TEST_CASE_FIXTURE(pool_of_nine_engines,
                  "relay_pool/two_instances/send_a_session_to_one_engine")
{
  relay_pool other{ relay_pool_settings{}, true, domain_name("yard"), 2 };
  for (int each = 8; each >= 0; --each) {
    other.Put(Endpoint("e" + std::to_string(each)));
  }
  other.SetView(View(50'000, 20'000), mNow);
  for (std::uint64_t session = 1; session <= 50; ++session) {
    const auto there = other.Choose(Work(session, true), {}, mNow);
    const auto here = mPool.Choose(Work(session, true), {}, mNow);
    CHECK(there->mEndpoint == here->mEndpoint);
  }
}

TEST_CASE_FIXTURE(pool_of_nine_engines,
                  "relay_pool/popular_session/spreads_when_its_engine_is_full")
{
  std::map<endpoint_name, int> seen;
  for (int each = 0; each < 60; ++each) {
    ++seen[Send(Work(5, true)).mEndpoint];
  }
  CHECK(seen.size() >= 3);
}

TEST_CASE_FIXTURE(pool_of_nine_engines, "relay_pool/others_work/is_avoided")
{
  const auto preferred = mPool.Choose(Work(9, true), {}, mNow);
  mPool.SetRemoteLoad(
    { .mName = preferred->mEndpoint, .mPrefillTokens = 500'000 }, mNow);
  CHECK(mPool.Choose(Work(9, true), {}, mNow)->mEndpoint !=
        preferred->mEndpoint);
}

TEST_CASE_FIXTURE(pool_of_nine_engines,
                  "relay_pool/slow_engine/is_left_to_bulk_work")
{
  // Guards against placing drivers' notes, which are interactive streams, on an
  // engine that prefills a third more slowly than others: five steps of the
  // slow engine take longer than the promised time between events, so every
  // note is late on it even under low load.
  const auto before = mPool.Choose(Work(3, false), {}, mNow);
  for (const relay_load& each : mPool.Loads(mNow)) {
    const bool slow = each.mName == before->mEndpoint;
    mPool.SetRemoteLoad({ .mName = each.mName,
                          .mPrefillNanoseconds = slow ? 19'500.0 : 15'000.0 },
                        mNow);
  }
  mPool.SetView(View(50'000, 20'000), mNow);
  mNow += Seconds(7);
  mPool.SetView(View(50'000, 20'000), mNow);
  for (std::uint64_t session = 1; session <= 100; ++session) {
    CHECK(mPool.Choose(Work(session, false), {}, mNow)->mEndpoint !=
          before->mEndpoint);
  }
}

// Guards against using only the last reported prefill times: each of ninety
// instances received messages from a third of all instances per second and used
// the minimum of the times in these messages. The minimum changed with every
// message, so engines alternated between slow and fast, and no two instances
// agreed on which engines were slow.
TEST_CASE_FIXTURE(pool_of_nine_engines,
                  "relay_pool/pace_told_once/is_kept_and_told_on")
{
  mPool.SetRemoteLoad(
    { .mName = endpoint_name("e1"), .mPrefillNanoseconds = 15'000 }, mNow);
  mPool.SetRemoteLoad(
    { .mName = endpoint_name("e1"), .mPrefillNanoseconds = 19'000 }, mNow);
  mPool.SetRemoteLoad({ .mName = endpoint_name("e1") }, mNow);
  const auto loads = mPool.Loads(mNow);
  const auto result =
    std::ranges::find(loads, endpoint_name("e1"), &relay_load::mName);
  REQUIRE(result != loads.end());
  CHECK(result->mPrefillNanoseconds == doctest::Approx(15'000));
}

TEST_CASE_FIXTURE(pool_of_nine_engines,
                  "relay_pool/engine_that_fails/is_left_and_tried_again")
{
  const request_profile work = Work(3, false);
  const endpoint_name failing = mPool.Choose(work, {}, mNow)->mEndpoint;
  int sentThere = 0;
  for (int each = 0; each < 40; ++each) {
    const relay_pick pick = Send(work);
    const bool fails = pick.mEndpoint == failing;
    sentThere += fails ? 1 : 0;
    mPool.OnEnded(pick,
                  work,
                  fails ? attempt_end::kFailed : attempt_end::kCompleted,
                  false,
                  Milliseconds(5),
                  mNow);
    mNow += Milliseconds(10);
  }
  CHECK(sentThere < 8);
  mNow += Seconds(6);
  bool again = false;
  for (int each = 0; each < 10; ++each) {
    again = again || Send(work).mEndpoint == failing;
  }
  CHECK(again);
}

TEST_CASE_FIXTURE(pool_of_nine_engines,
                  "relay_pool/draining_or_tried/is_never_chosen")
{
  relay_endpoint leaving = Endpoint("e0");
  leaving.mDraining = true;
  mPool.Put(leaving);
  const std::vector<endpoint_name> tried = { endpoint_name("e1"),
                                             endpoint_name("e2") };
  for (std::uint64_t session = 1; session <= 200; ++session) {
    const auto pick =
      mPool.Choose(Work(session, session % 2 == 0), tried, mNow);
    REQUIRE(pick.has_value());
    CHECK(pick->mEndpoint != endpoint_name("e0"));
    CHECK(std::ranges::count(tried, pick->mEndpoint) == 0);
  }
}

relay_endpoint
Resting(const std::string& aName, time_point aUntil)
{
  relay_endpoint endpoint = Endpoint(aName);
  endpoint.mRestUntil = aUntil;
  return endpoint;
}

// A resting endpoint was the last one that an earlier attempt hadn't tried, or
// the only one that no failure had ejected.
TEST_CASE_FIXTURE(pool_of_nine_engines,
                  "relay_pool/no_other_endpoint_left/resting_one_not_chosen")
{
  const time_point until = mNow + Seconds(3);
  mPool.Put(Resting("e0", until));
  std::vector<endpoint_name> tried;
  for (int each = 1; each < 9; ++each) {
    tried.emplace_back("e" + std::to_string(each));
  }
  for (const bool isLong : { false, true }) {
    CHECK_FALSE(mPool.Choose(Work(1, isLong), tried, mNow));
    CHECK_FALSE(mPool.Choose(Work(1, isLong), tried, until - Milliseconds(1)));
    CHECK(mPool.Choose(Work(1, isLong), tried, until + Seconds(1)));
  }
}

TEST_CASE_FIXTURE(pool_of_nine_engines,
                  "relay_pool/all_rest/none_chosen_and_time_left_is_told")
{
  for (int each = 0; each < 9; ++each) {
    mPool.Put(Resting("e" + std::to_string(each), mNow + Seconds(2 + each)));
  }
  CHECK_FALSE(mPool.Choose(Work(1, false), {}, mNow));
  const auto left = mPool.RestLeft({}, mNow);
  REQUIRE(left.has_value());
  CHECK(*left >= Seconds(2));
  CHECK(*left <= Seconds(3));
  // One that doesn't rest, or leaves, changes the picture.
  mPool.Put(Endpoint("e9"));
  CHECK_FALSE(mPool.RestLeft({}, mNow));
  relay_endpoint leaving = Endpoint("e9");
  leaving.mDraining = true;
  mPool.Put(leaving);
  CHECK(mPool.RestLeft({}, mNow));
}

TEST_CASE_FIXTURE(pool_of_nine_engines,
                  "relay_pool/planned_endpoint_rests_meanwhile/not_accepted")
{
  const auto pick = mPool.Choose(Work(1, true), {}, mNow);
  REQUIRE(pick.has_value());
  CHECK(mPool.AcceptsNew(*pick, mNow));
  mPool.Put(Resting(pick->mEndpoint.Text(), mNow + Seconds(1)));
  CHECK_FALSE(mPool.AcceptsNew(*pick, mNow));
}

TEST_CASE_FIXTURE(pool_of_nine_engines, "relay_pool/new_lifetime/does_not_rest")
{
  mPool.Put(Resting("e0", mNow + Seconds(60)));
  relay_endpoint again = Endpoint("e0");
  again.mLifetime = 2;
  mPool.Put(again);
  relay_pick pick;
  pick.mEndpoint = again.mName;
  pick.mLifetime = 1;
  CHECK_FALSE(mPool.AcceptsNew(pick, mNow));
  pick.mLifetime = 2;
  CHECK(mPool.AcceptsNew(pick, mNow));
}

// Work was admitted for capacity that rests, and had nowhere to go.
TEST_CASE_FIXTURE(pool_of_nine_engines,
                  "relay_pool/a_third_rests/less_bulk_work_is_admitted")
{
  const auto refusedOf = [this](int aResting) {
    for (int each = 0; each < aResting; ++each) {
      mPool.Put(Resting("e" + std::to_string(each), mNow + Seconds(60)));
    }
    int refused = 0;
    for (int step = 0; step < 40; ++step) {
      mNow += Milliseconds(100);
      mPool.SetView(View(400'000, 20'000), mNow);
      for (std::uint64_t each = 0; each < 5; ++each) {
        refused += Refused(Work(each, true)) ? 1 : 0;
      }
    }
    return refused;
  };
  const int allAwake = refusedOf(0);
  CHECK(refusedOf(3) > allAwake);
}

TEST_CASE_FIXTURE(pool_of_nine_engines,
                  "relay_pool/new_lifetime/old_answers_change_nothing")
{
  const request_profile work = Work(4, true);
  const relay_pick pick = Send(work);
  relay_endpoint again = Endpoint(pick.mEndpoint.Text());
  again.mLifetime = 2;
  mPool.Put(again);
  Finish(pick, work, Milliseconds(100));
  for (const relay_load& each : mPool.Loads(mNow)) {
    CHECK(each.mInFlight == 0);
    CHECK(each.mPrefillTokens == 0);
  }
}

// Guards against prefilling a session's shared prefix blocks again when its
// engine is full and its next prompt goes to another engine: a repeated prefill
// takes time from all other requests.
TEST_CASE_FIXTURE(pool_of_nine_engines,
                  "relay_pool/session_goes_elsewhere/its_parts_are_copied")
{
  const request_profile work = Work(7, true);
  const relay_pick first = Send(work);
  CHECK(first.mCopyFrom.empty());
  Finish(first, work, Milliseconds(100));
  const auto result = mPool.Choose(work, { first.mEndpoint }, mNow);
  REQUIRE(result.has_value());
  CHECK(result->mEndpoint != first.mEndpoint);
  CHECK(result->mCopyFrom == AddressOf(first.mEndpoint));
  // Once the prompt has been sent to the second engine, its prefix blocks are
  // cached on both engines, and nothing needs to be copied.
  mPool.OnSent(*result, work, mNow);
  CHECK(mPool.Choose(work, { first.mEndpoint }, mNow)->mCopyFrom.empty());
}

// Guards against requests that wait for an answer of a crashed engine and count
// as slots in use at the others, so that new ones are refused.
TEST_CASE_FIXTURE(pool_of_nine_engines,
                  "relay_pool/engine_crashed_or_gone/its_requests_hold_no_slot")
{
  const request_profile work = Work(1, true);
  const auto open = [this, &work] {
    for (const kind_demand& each : mPool.LocalView(mNow).mDemand) {
      if (each.mKind == KindOf(work)) {
        return each.mOpen;
      }
    }
    return 0.0;
  };
  REQUIRE_FALSE(Refused(work));
  const relay_pick lost = Send(work);
  const relay_pick gone = Send(Work(2, true));
  Send(Work(3, true));
  REQUIRE(lost.mEndpoint != gone.mEndpoint);
  CHECK(open() == 3);
  const relay_pick probe = lost;
  mPool.OnSent(probe, work, mNow);
  mPool.OnEnded(
    probe, work, attempt_end::kConnectionRefused, false, Milliseconds(1), mNow);
  CHECK(open() == 2);
  mPool.Remove(gone.mEndpoint);
  CHECK(open() == 1);
  // Its late end changes nothing.
  mPool.OnEnded(gone, Work(2, true), attempt_end::kFailed, false, {}, mNow);
  CHECK(open() == 1);
}

// Guards against an engine that is taken for the session's preferred one, with
// the prefix cached, only because the choice is limited to a few others.
TEST_CASE_FIXTURE(pool_of_nine_engines,
                  "relay_pool/limited_to_a_few/preferred_engine_is_that_of_all")
{
  const request_profile work = Work(1, true);
  const auto best = mPool.Shortlist(work, 4, mNow);
  REQUIRE(best.size() == 4);
  const std::vector<endpoint_name> others(best.begin() + 1, best.end());
  const auto verdict = mPool.Admit(work, Seconds(15), mNow, others);
  const auto& pick = std::get<std::optional<relay_pick>>(verdict);
  REQUIRE(pick);
  CHECK(pick->mEndpoint != best.front());
  CHECK_FALSE(pick->mPrefixCached);
}

// Guards against requests, and copies of prefix blocks, that reach a failure
// domain that the operator has taken out of service.
TEST_CASE_FIXTURE(pool_of_nine_engines,
                  "relay_pool/domain_out_of_service/nothing_new_and_no_copies")
{
  const request_profile work = Work(1, true);
  const relay_pick first = Send(work);
  relay_endpoint out = Endpoint(first.mEndpoint.Text());
  out.mOutOfService = true;
  mPool.Put(out);
  CHECK_FALSE(mPool.IsInService(first));
  for (int each = 0; each < 20; ++each) {
    const relay_pick other = Send(work);
    CHECK(other.mEndpoint != first.mEndpoint);
    CHECK(other.mCopyFrom != AddressOf(first.mEndpoint));
  }
  out.mOutOfService = false;
  mPool.Put(out);
  CHECK(mPool.IsInService(first));
}

TEST_CASE_FIXTURE(pool_of_nine_engines,
                  "relay_pool/all_out_of_service/no_endpoint")
{
  for (int each = 0; each < 9; ++each) {
    relay_endpoint out = Endpoint("e" + std::to_string(each));
    out.mOutOfService = true;
    mPool.Put(out);
  }
  CHECK_FALSE(mPool.Choose(Work(1, true), {}, mNow).has_value());
  CHECK_FALSE(mPool.HasRoom(mNow));
}

// Guards against copying prefix blocks from a crashed engine: the request
// waited for a source that no longer existed.
TEST_CASE_FIXTURE(pool_of_nine_engines,
                  "relay_pool/holder_fails/nothing_is_copied_from_it")
{
  const request_profile work = Work(7, true);
  const relay_pick first = Send(work);
  Finish(first, work, Milliseconds(100));
  for (int each = 0; each < 6; ++each) {
    mPool.OnSent(first, work, mNow);
    mPool.OnEnded(
      first, work, attempt_end::kFailed, false, Milliseconds(5), mNow);
  }
  const auto result = mPool.Choose(work, {}, mNow);
  REQUIRE(result.has_value());
  CHECK(result->mEndpoint != first.mEndpoint);
  CHECK(result->mCopyFrom.empty());
}

// Guards against losing track of cached blocks when the partition moves and a
// session's preferred engine changes to the other side: an instance that had
// not sent the session itself did not know where its blocks were cached.
TEST_CASE_FIXTURE(pool_of_nine_engines,
                  "relay_pool/border_moved/parts_are_copied_from_earlier_home")
{
  std::map<std::uint64_t, endpoint_name> preferredEngines;
  for (std::uint64_t session = 1; session <= 40; ++session) {
    preferredEngines[session] =
      mPool.Choose(Work(session, true), {}, mNow)->mEndpoint;
  }
  const std::size_t before = mPool.BulkEngines();
  for (int tick = 0; tick < 20; ++tick) {
    mNow += Milliseconds(100);
    mPool.SetView(View(50'000, 80'000), mNow);
  }
  REQUIRE(mPool.BulkEngines() < before);
  int moved = 0;
  for (const auto& [session, preferred] : preferredEngines) {
    const auto result = mPool.Choose(Work(session, true), {}, mNow);
    REQUIRE(result.has_value());
    if (result->mEndpoint == preferred) {
      CHECK(result->mCopyFrom.empty());
    } else {
      ++moved;
      CHECK(result->mCopyFrom == AddressOf(preferred));
    }
  }
  CHECK(moved > 0);
}

// Guards against a side sized by engines that take nothing: half of the engines
// were out of service, and the interactive side kept its fraction of the others
// though its requests needed more slots than that had.
TEST_CASE_FIXTURE(pool_of_nine_engines,
                  "relay_pool/half_out_of_service/sides_fit_the_engines_left")
{
  mPool.SetSlots(10);
  pool_view view = View(300'000, 40'000);
  view.mDemand[0].mOpen = 55;
  view.mDemand[1].mOpen = 25;
  const auto interactiveEngines = [&] {
    for (int tick = 0; tick < 100; ++tick) {
      mNow += Milliseconds(100);
      mPool.SetView(view, mNow);
    }
    std::set<endpoint_name> seen;
    for (std::uint64_t session = 1; session <= 200; ++session) {
      seen.insert(mPool.Choose(Work(session, false), {}, mNow)->mEndpoint);
    }
    return seen.size();
  };
  const std::size_t alone = interactiveEngines();
  for (int each = 9; each < 18; ++each) {
    relay_endpoint out = Endpoint("e" + std::to_string(each));
    out.mOutOfService = true;
    mPool.Put(out);
  }
  CHECK(interactiveEngines() == alone);
}

// Guards against refusals at low load: a cluster of prompts arrived at engines
// that were half idle and would have finished it within a second.
TEST_CASE_FIXTURE(pool_of_nine_engines,
                  "relay_pool/clump_on_a_calm_day/nothing_is_refused")
{
  for (std::uint64_t session = 1; session <= 200; ++session) {
    const request_profile work = Work(session, true);
    CHECK_FALSE(Refused(work));
    const relay_pick pick = Send(work);
    mPool.OnFirstByte(pick, work, Seconds(3), mNow);
  }
}

// Guards against admitting all prompts when twice as many long ones arrive as
// engines can prefill: after two seconds every response started late.
TEST_CASE_FIXTURE(pool_of_nine_engines,
                  "relay_pool/more_than_can_be_read/some_are_refused_at_once")
{
  int refused = 0;
  for (std::uint64_t session = 1; session <= 400; ++session) {
    mPool.SetView(View(400'000, 20'000), mNow);
    const request_profile work = Work(session, true);
    if (const auto result = Refused(work)) {
      ++refused;
      CHECK(result->mWait > result->mMaxWait);
      CHECK(result->mRetryAfter <= Seconds(5));
      continue;
    }
    const relay_pick pick = Send(work);
    // Only one response in ten starts while prompts arrive, and it starts late.
    if (session % 10 == 0) {
      mPool.OnFirstByte(pick, work, Seconds(2), mNow);
    }
    mNow += Milliseconds(5);
  }
  CHECK(refused > 100);
  CHECK_FALSE(Refused(Work(7, false)));
}

// Guards against assuming that prefix blocks are cached after a restart of the
// whole site, when no instance has sent a session yet: the predicted wait of
// the first prompts was a third of their actual wait.
TEST_CASE_FIXTURE(pool_of_nine_engines,
                  "relay_pool/all_engines_empty/first_reads_are_counted")
{
  mPool.SetInstances(8);
  const relay_pick first = Send(Work(1, true));
  CHECK(first.mPrefillTokens >= 12'000);
  for (int each = 0; each < 100; ++each) {
    const request_profile work = Work(each % 4 + 1, true);
    Finish(Send(work), work, Milliseconds(200));
  }
  CHECK(Send(Work(99, true)).mPrefillTokens < 12'000);
}

TEST_CASE_FIXTURE(pool_of_nine_engines, "relay_pool/short_parts/are_not_copied")
{
  const request_profile work = Work(7, false);
  const relay_pick first = Send(work);
  CHECK(mPool.Choose(work, { first.mEndpoint }, mNow)->mCopyFrom.empty());
}

TEST_CASE("relay_pool/plain_service/takes_the_least_busy_of_its_own_domain")
{
  relay_pool pool{ relay_pool_settings{}, false, domain_name("hall"), 1 };
  relay_endpoint far = Endpoint("far");
  far.mDomain = domain_name("yard");
  pool.Put(far);
  pool.Put(Endpoint("near"));
  const time_point now = time_point() + Seconds(1);
  const request_profile work;
  const auto first = pool.Choose(work, {}, now);
  CHECK(first->mEndpoint == endpoint_name("near"));
  pool.OnSent(*first, work, now);
  CHECK(pool.Choose(work, {}, now)->mEndpoint == endpoint_name("far"));
}

// Four domains with ten engines each, as seen by an instance in the first
// domain while that domain is isolated: engines in the other domains are
// unreachable, and no messages arrive from instances in the other domains.
struct domain_cut_off
{
  static constexpr int kDomains = 4;
  // Maximum number of connection attempts per request.
  static constexpr std::size_t kTries = 3;

  relay_pool mPool{ relay_pool_settings{}, true, Domain(0), 1 };
  time_point mNow = time_point() + Seconds(100);
  duration mUnreachableAfter = Milliseconds(300);
  int mServed = 0;
  int mServedAtOnce = 0;
  int mRefused = 0;

  domain_cut_off()
  {
    for (int each = 0; each < 10 * kDomains; ++each) {
      const std::string name = "e" + std::to_string(each);
      mPool.Put({ endpoint_name(name), name, Domain(each % kDomains), 1 });
    }
    mPool.SetView(View(50'000, 20'000), mNow);
    ReceiveFromAll();
    mNow += Milliseconds(100);
  }

  static domain_name Domain(int aNumber)
  {
    return domain_name("domain-" + std::to_string(aNumber));
  }

  void ReceiveFromAll()
  {
    for (int each = 0; each < kDomains; ++each) {
      mPool.OnPeerMessage(Domain(each), mNow);
    }
  }

  void Ask(std::uint64_t aSession)
  {
    const request_profile work = Work(aSession, aSession % 3 == 0);
    std::vector<endpoint_name> tried;
    while (tried.size() < kTries) {
      const auto pick = mPool.Choose(work, tried, mNow);
      REQUIRE(pick.has_value());
      mPool.OnSent(*pick, work, mNow);
      if (pick->mDomain == Domain(0)) {
        const duration wait = Milliseconds(40);
        mPool.OnFirstByte(*pick, work, wait, mNow);
        mPool.OnEnded(
          *pick, work, attempt_end::kCompleted, true, wait, mNow + wait);
        ++mServed;
        mServedAtOnce += tried.empty() ? 1 : 0;
        return;
      }
      tried.push_back(pick->mEndpoint);
      mNow += mUnreachableAfter;
      mPool.OnEnded(
        *pick, work, attempt_end::kFailed, false, mUnreachableAfter, mNow);
      mPool.OnUnreachable(*pick, mNow);
    }
    ++mRefused;
  }

  void AskMany()
  {
    for (std::uint64_t each = 1; each <= 20; ++each) {
      Ask(each);
      mNow += Milliseconds(200);
    }
  }
};

// Guards against refusing requests in an isolated domain after three attempts
// at unreachable engines, while the domain's own engines are idle.
TEST_CASE_FIXTURE(domain_cut_off, "relay_pool/cut_drops/own_domain_serves")
{
  AskMany();
  CHECK(mRefused == 0);
  CHECK(mServedAtOnce >= 18);
}

TEST_CASE_FIXTURE(domain_cut_off, "relay_pool/cut_resets/own_domain_serves")
{
  mUnreachableAfter = Milliseconds(2);
  AskMany();
  CHECK(mRefused == 0);
  CHECK(mServedAtOnce >= 18);
}

// Guards against leaving engines of other domains idle once the connection
// between domains is restored.
TEST_CASE_FIXTURE(domain_cut_off, "relay_pool/cut_over/all_domains_serve")
{
  AskMany();
  ReceiveFromAll();
  std::set<domain_name> sentTo;
  for (std::uint64_t each = 1; each <= 40; ++each) {
    const auto pick = mPool.Choose(Work(each, false), {}, mNow);
    sentTo.insert(pick->mDomain);
  }
  CHECK(sentTo.size() == kDomains);
}

} // namespace
} // namespace thornhollow
