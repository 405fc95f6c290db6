#include <doctest/doctest.h>

#include "thornhollow/routing/routing_table.h"

namespace thornhollow {
namespace {

route
MakeRoute(std::string aHost, std::string aPrefix, std::string aName)
{
  route result;
  result.mHost = std::move(aHost);
  result.mPathPrefix = std::move(aPrefix);
  result.mName = std::move(aName);
  result.mPools = { { pool_name("engines"), 1 } };
  return result;
}

struct table_with_nested_routes
{
  routing_table_ptr mTable = MakeRoutingTable({
    .mVersion = 3,
    .mRoutes = { MakeRoute("a.example", "/", "root"),
                 MakeRoute("a.example", "/plans/", "plans"),
                 MakeRoute("a.example", "/plans/long/", "long"),
                 MakeRoute("b.example", "/notes/", "notes") },
    .mPools = { { pool_name("engines"), 10, std::nullopt } },
    .mTokensRequired = true,
    .mTeams = { { team_name("office"), { "t1", "t2" }, 1 },
                { team_name("field"), { "t3" }, std::nullopt } },
    .mCallers = {},
  });

  std::string NameOf(std::string_view aHost, std::string_view aPath) const
  {
    const route* found = mTable->Match(aHost, aPath);
    return found == nullptr ? "" : found->mName;
  }
};

TEST_CASE_FIXTURE(table_with_nested_routes,
                  "routing_table/nested_prefixes/longest_wins")
{
  CHECK(NameOf("a.example", "/plans/long/7") == "long");
  CHECK(NameOf("a.example", "/plans/longer") == "plans");
  CHECK(NameOf("a.example", "/plans") == "root");
  CHECK(NameOf("a.example", "/") == "root");
}

TEST_CASE_FIXTURE(table_with_nested_routes,
                  "routing_table/host/is_compared_without_case_and_port")
{
  CHECK(NameOf("A.Example:8080", "/plans/x") == "plans");
  CHECK(NameOf("b.example", "/notes/1") == "notes");
  CHECK(NameOf("b.example", "/plans/1").empty());
  CHECK(NameOf("c.example", "/notes/1").empty());
  CHECK(NameOf("", "/notes/1").empty());
}

TEST_CASE_FIXTURE(table_with_nested_routes,
                  "routing_table/path_without_slash/matches_nothing")
{
  CHECK(NameOf("a.example", "").empty());
  CHECK(NameOf("a.example", "*").empty());
}

TEST_CASE_FIXTURE(table_with_nested_routes,
                  "routing_table/several_tokens/each_names_the_team")
{
  REQUIRE(mTable->TeamForToken("t2") != nullptr);
  CHECK(mTable->TeamForToken("t2")->mName == team_name("office"));
  CHECK(mTable->TeamForToken("t3")->mName == team_name("field"));
  CHECK(mTable->TeamForToken("t4") == nullptr);
  CHECK(mTable->TeamForToken("") == nullptr);
}

TEST_CASE_FIXTURE(table_with_nested_routes,
                  "routing_table/tier/is_the_teams_where_it_has_one")
{
  route rootRoute = MakeRoute("a.example", "/", "root");
  rootRoute.mTier = 2;
  CHECK(EffectiveTier(rootRoute, mTable->TeamForToken("t1")) == 1);
  CHECK(EffectiveTier(rootRoute, mTable->TeamForToken("t3")) == 2);
  CHECK(EffectiveTier(rootRoute, nullptr) == 2);
}

TEST_CASE("routing_table/engine_rank/orders_by_route_then_by_tier")
{
  // Guards against an engine that preempts a driver's note while a plan
  // continues. This happened when the engine's priority was derived from the
  // team's tier only and the plan's team was served before the note's team.
  route note = MakeRoute("a.example", "/notes/", "notes");
  note.mTier = 0;
  route plan = MakeRoute("a.example", "/plans/", "plans");
  plan.mTier = 2;
  for (tier_number tier = 0; tier < 3; ++tier) {
    CHECK(EnginePriority(note, tier) < EnginePriority(plan, 0));
  }
  CHECK(EnginePriority(note, 0) < EnginePriority(note, 1));
  CHECK(EnginePriority(plan, 1) < EnginePriority(plan, 2));
  plan.mTier = 4'000'000'000;
  CHECK(EnginePriority(plan, 4'000'000'000) == 9);
}

TEST_CASE("routing_table/weights/share_hashes_in_proportion")
{
  route split = MakeRoute("a.example", "/", "split");
  split.mPools = { { pool_name("old"), 90 },
                   { pool_name("none"), 0 },
                   { pool_name("new"), 10 } };
  int newCount = 0;
  for (std::uint64_t hash = 0; hash < 1000; ++hash) {
    const pool_name* chosen = routing_table::SelectPool(split, hash);
    REQUIRE(chosen != nullptr);
    CHECK(*chosen != pool_name("none"));
    newCount += *chosen == pool_name("new") ? 1 : 0;
  }
  CHECK(newCount == 100);
}

TEST_CASE("routing_table/no_weight_at_all/names_no_pool")
{
  route split = MakeRoute("a.example", "/", "split");
  split.mPools = { { pool_name("old"), 0 } };
  CHECK(routing_table::SelectPool(split, 5) == nullptr);
}

} // namespace
} // namespace thornhollow
