#include <doctest/doctest.h>

#include "thornhollow/tools/document_command.h"

namespace thornhollow {
namespace {

struct document_with_two_routes
{
  routing_document mDocument;

  document_with_two_routes()
  {
    mDocument.mVersion = 7;
    mDocument.mTokensRequired = true;
    mDocument.mPools = {
      { pool_name("notes"), 0, engine_pool_spec{ 64, 600'000, 5 } },
      { pool_name("stock"), 0, std::nullopt }
    };
    route notes;
    notes.mName = "notes";
    notes.mHost = "a.example";
    notes.mPathPrefix = "/notes/";
    notes.mKind = request_kind::kResumableStream;
    notes.mPools = { { pool_name("notes"), 1 } };
    notes.mTarget = Milliseconds(300);
    notes.mEventGapTarget = Milliseconds(200);
    notes.mTier = 2;
    route stock;
    stock.mName = "stock";
    stock.mHost = "a.example";
    stock.mPathPrefix = "/";
    stock.mPools = { { pool_name("stock"), 3 } };
    stock.mAnonymous = true;
    mDocument.mRoutes = { notes, stock };
    mDocument.mTeams = { { team_name("office"), { "t1", "t2" }, 1 } };
  }

  bool Has(const command_result& aResult, std::string_view aText) const
  {
    return aResult.mOut.find(aText) != std::string::npos;
  }
};

TEST_CASE_FIXTURE(document_with_two_routes, "check/sound document/no notes")
{
  const auto result = RunCheckDocument(mDocument);
  CHECK(result.mExit == kExitOk);
  CHECK(result.mOut == "accepted: version 7, 2 route(s), 2 pool(s), 1 team(s), "
                       "callers need a token\n");
}

TEST_CASE_FIXTURE(document_with_two_routes,
                  "check/accepted but harmful/each is named")
{
  mDocument.mRoutes.push_back(mDocument.mRoutes[0]);
  mDocument.mRoutes[1].mPools = { { pool_name("gone"), 0 } };
  mDocument.mTeams.push_back({ team_name("yard"), { "t2" }, std::nullopt });
  const auto result = RunCheckDocument(mDocument);
  CHECK(result.mExit == kExitOk);
  CHECK(Has(result, "note: routes notes and notes have the same host"));
  CHECK(Has(result, "note: route stock leads to pool gone, which is not"));
  CHECK(Has(result, "note: route stock has no pool with a weight"));
  CHECK(Has(result, "note: teams office and yard have a token in common"));
}

TEST_CASE_FIXTURE(document_with_two_routes, "explain/known token/its terms")
{
  const auto result =
    RunExplainDocument(mDocument, "A.example:80", "/notes/3", "t2");
  CHECK(result.mExit == kExitOk);
  CHECK(Has(result, "route                             notes\n"));
  CHECK(Has(result, "team                              office\n"));
  CHECK(Has(result, "tier (0 goes first)               1, the team's\n"));
  CHECK(Has(result, "target for the first event        300 ms\n"));
  CHECK(Has(result, "longest pause between events      200 ms\n"));
  CHECK(Has(result, "notes, weight 1, engines with 64 slots\n"));
}

TEST_CASE_FIXTURE(document_with_two_routes, "explain/refused/status and why")
{
  const auto unknown = RunExplainDocument(mDocument, "b.example", "/", "t1");
  CHECK(unknown.mExit == kExitRefused);
  CHECK(unknown.mErr.starts_with("refused with 404"));
  const auto noToken =
    RunExplainDocument(mDocument, "a.example", "/notes/", "");
  CHECK(noToken.mErr.starts_with("refused with 401"));
  const auto anonymous = RunExplainDocument(mDocument, "a.example", "/x", "");
  CHECK(anonymous.mExit == kExitOk);
  CHECK(Has(anonymous, "team                              none\n"));
}

} // namespace
} // namespace thornhollow
