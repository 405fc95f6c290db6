#include <ctime>

#include <doctest/doctest.h>

#include "thornhollow/policy/suspects/crash_evidence.h"

namespace thornhollow {
namespace {

constexpr request_feature kPart{ 1001 };
constexpr request_feature kOther{ 1003 };

struct evidence_of_parts
{
  crash_suspects_settings mSettings;
  crash_evidence mEvidence{ mSettings };
  time_point mNow{ Seconds(1'000) };
  endpoint_hash mNextEndpoint = 1;
  std::uint64_t mNextContent = 2;

  // An endpoint ends under a new content with these parts.
  void End(const std::vector<request_feature>& aParts, bool aSolo = false)
  {
    mEvidence.Add({ mNextEndpoint, mNow, { mNextContent }, false });
    for (const request_feature each : aParts) {
      mEvidence.Add({ mNextEndpoint, mNow, each, aSolo });
    }
    ++mNextEndpoint;
    mNextContent += 2;
    mEvidence.JudgeAll(mNow);
  }
  void EndsApart(const std::vector<request_feature>& aParts,
                 int aCount,
                 bool aSolo = false)
  {
    for (int each = 0; each < aCount; ++each) {
      End(aParts, aSolo);
      mNow += mSettings.mSoundEndsApart;
    }
  }
};

TEST_CASE_FIXTURE(evidence_of_parts,
                  "crash_evidence/ends_without_a_solo_run/do_not_convict")
{
  EndsApart({ kPart }, 8);
  CHECK(mEvidence.NeedsSoloRun(kPart));
  CHECK_FALSE(mEvidence.IsRejected(kPart, mNow));
  End({ kPart }, true);
  CHECK(mEvidence.IsRejected(kPart, mNow));
}

TEST_CASE_FIXTURE(evidence_of_parts,
                  "crash_evidence/part_that_was_sound/is_not_blamed_for_others")
{
  mEvidence.RecordSuccess(kPart, mNow, run_progress::kBegun);
  mNow += Seconds(1);
  End({ kPart });
  mNow += mSettings.mSoundEndsApart;
  EndsApart({ kPart, kOther }, 4, true);
  CHECK(mEvidence.EndedUnder(kPart) > mEvidence.EndedUnder(kOther));
  CHECK(mEvidence.IsRejected(kOther, mNow));
  CHECK_FALSE(mEvidence.IsRejected(kPart, mNow));
}

TEST_CASE_FIXTURE(
  evidence_of_parts,
  "crash_evidence/ends_close_together_under_a_sound_part/no_solo")
{
  mEvidence.RecordSuccess(kPart, mNow, run_progress::kBegun);
  mNow += Seconds(1);
  for (int each = 0; each < 5; ++each) {
    End({ kPart });
    mNow += mSettings.mSoundEndsApart / 8;
  }
  CHECK_FALSE(mEvidence.NeedsSoloRun(kPart));
  mNow += mSettings.mSoundEndsApart;
  End({ kPart });
  CHECK(mEvidence.NeedsSoloRun(kPart));
}

TEST_CASE_FIXTURE(evidence_of_parts,
                  "crash_evidence/storm_of_sightings/most_ends_stay")
{
  EndsApart({ kPart }, 3);
  for (std::size_t each = 0; each < mSettings.mMaxSightings; ++each) {
    End({});
  }
  mEvidence.DropExcess();
  CHECK(mEvidence.Sightings() <= mSettings.mMaxSightings);
  CHECK(mEvidence.EndedUnder(kPart) == 3);
}

// Guards against a memory that grows with the number of parts callers name.
TEST_CASE_FIXTURE(evidence_of_parts,
                  "crash_evidence/very_many_parts/successes_are_bounded")
{
  for (std::uint64_t each = 0; each < 2 * mSettings.mMaxSuccesses; ++each) {
    mEvidence.RecordSuccess({ 2 * each + 1 }, mNow, run_progress::kBegun);
  }
  const request_feature last{ 4 * mSettings.mMaxSuccesses - 1 };
  CHECK_FALSE(
    mEvidence.UntoldSuccess(last, mNow, run_progress::kBegun).has_value());
  mNow += mSettings.mSoundMemory;
  mEvidence.RecordSuccess(last, mNow, run_progress::kBegun);
  CHECK(mEvidence.UntoldSuccess(last, mNow, run_progress::kBegun) == mNow);
}

// Guards against a time that is computed from one that was never set: a part
// was forgotten between a run's first output and its later one.
TEST_CASE_FIXTURE(evidence_of_parts,
                  "crash_evidence/only_longer_output_known/forgotten_in_time")
{
  for (std::uint64_t each = 0; each < mSettings.mMaxSuccesses; ++each) {
    mEvidence.RecordSuccess({ 2 * each + 1 }, mNow, run_progress::kGoing);
  }
  mNow += mSettings.mSoundMemory;
  const request_feature last{ 4 * mSettings.mMaxSuccesses - 1 };
  mEvidence.RecordSuccess(last, mNow, run_progress::kGoing);
  CHECK(mEvidence.UntoldSuccess(last, mNow, run_progress::kGoing) == mNow);
}

// Guards against requests that end endpoints after their first output, which
// would clear them again and again.
TEST_CASE_FIXTURE(evidence_of_parts,
                  "crash_evidence/ended_with_output/only_longer_runs_clear")
{
  const crash_evidence::sighting seen{
    1, mNow, kPart, false, run_progress::kBegun
  };
  mEvidence.Add(seen);
  mNow += Milliseconds(10);
  mEvidence.Clear(kPart, mNow, run_progress::kBegun);
  CHECK(mEvidence.EndedUnder(kPart) == 1);
  CHECK(mEvidence.NeededProof(kPart) == run_progress::kGoing);
  mEvidence.Clear(kPart, mNow, run_progress::kGoing);
  CHECK(mEvidence.EndedUnder(kPart) == 0);
  CHECK_FALSE(mEvidence.Add(seen));
}

TEST_CASE_FIXTURE(evidence_of_parts,
                  "crash_evidence/output_that_did_not_last/was_not_sound")
{
  mEvidence.RecordSuccess(kPart, mNow, run_progress::kBegun);
  mNow += Seconds(1);
  mEvidence.Add({ 1, mNow, kPart, false, run_progress::kBegun });
  CHECK_FALSE(mEvidence.WasSound(kPart));
  mEvidence.RecordSuccess(kPart, mNow - Milliseconds(1), run_progress::kGoing);
  CHECK(mEvidence.WasSound(kPart));
}

struct evidence_of_one_endpoint : evidence_of_parts
{
  // The endpoint ends under the part, in a run that was sent so long before.
  void EndAfter(std::optional<duration> aRanFor, time_point aEndedAt)
  {
    mEvidence.Add(
      { 1,
        aEndedAt,
        kPart,
        false,
        run_progress::kNoOutput,
        aRanFor ? std::optional(aEndedAt - *aRanFor) : std::nullopt });
  }
};

// Guards against a request that goes on ending endpoints as they start again
// within the time in which sightings are taken for those of one end.
TEST_CASE_FIXTURE(
  evidence_of_one_endpoint,
  "crash_evidence/endpoint_starts_again_at_once/each_end_counts")
{
  for (std::size_t each = 0; each < 4; ++each) {
    EndAfter(Milliseconds(20), mNow + each * Milliseconds(400));
  }
  CHECK(mEvidence.EndedUnder(kPart) == 4);
  // The word of others of these ends adds nothing, whatever its order.
  for (std::size_t each = 4; each > 0; --each) {
    EndAfter(Milliseconds(20),
             mNow + (each - 1) * Milliseconds(400) + Milliseconds(15));
  }
  CHECK(mEvidence.EndedUnder(kPart) == 4);
}

TEST_CASE_FIXTURE(evidence_of_one_endpoint,
                  "crash_evidence/end_told_late/counts_once")
{
  EndAfter(Milliseconds(20), mNow);
  // Of a run that was sent before the end, by an instance that stalled.
  EndAfter(Milliseconds(1'100), mNow + Milliseconds(1'000));
  // Of one that doesn't say when it was sent.
  EndAfter(std::nullopt, mNow + Milliseconds(1'400));
  CHECK(mEvidence.EndedUnder(kPart) == 1);
}

TEST_CASE_FIXTURE(
  evidence_of_one_endpoint,
  "crash_evidence/earlier_end_told_after_a_later_one/both_count")
{
  EndAfter(Milliseconds(20), mNow + Milliseconds(800));
  EndAfter(Milliseconds(20), mNow);
  CHECK(mEvidence.EndedUnder(kPart) == 2);
  const std::uint64_t digest = mEvidence.Digest();
  CHECK(digest != 0);
  CHECK(digest != crash_evidence(mSettings).Digest());
}

// A domain's endpoints end together, again and again, under the same requests.
struct evidence_of_a_storm : evidence_of_parts
{
  static constexpr std::size_t kEndpoints = 60;
  static constexpr std::size_t kRounds = 4;
  static constexpr std::size_t kOpen = 12;
  static constexpr duration kMostTime = Seconds(2);

  evidence_of_a_storm()
  {
    for (std::size_t each = 0; each < kRounds * kEndpoints; ++each) {
      mNow += Milliseconds(each % kEndpoints == 0 ? 2'000 : 1);
      EndUnderMany(each);
    }
    mEvidence.JudgeAll(mNow);
  }
  void EndUnderMany(std::size_t aEnd)
  {
    for (std::uint64_t open = 0; open < kOpen; ++open) {
      const std::uint64_t request = (aEnd % kEndpoints) * kOpen + open;
      const endpoint_hash where = 1 + aEnd % kEndpoints;
      const bool isTrial = aEnd >= 2 * kEndpoints;
      mEvidence.Add({ where, mNow, { 2 + 2 * request }, isTrial });
      mEvidence.Add({ where, mNow, { 1 + 2 * (request % 80) }, false });
    }
  }
  static duration TimeSince(std::clock_t aBegin)
  {
    return Milliseconds(1'000 * (std::clock() - aBegin) / CLOCKS_PER_SEC);
  }
  // Processor time of what so many reports of other instances ask for: each
  // tells what is known, or an end under a new request as well.
  duration TimeOfReports(std::uint64_t aCount, bool aNews)
  {
    const std::clock_t begin = std::clock();
    for (std::uint64_t each = 0; each < aCount; ++each) {
      mNow += Milliseconds(each % 10 == 0 ? 1 : 0);
      if (aNews) {
        mEvidence.Add({ 1, mNow, { 1'000'000 + 2 * each }, false });
      }
      mEvidence.JudgeAll(mNow);
      mDigest ^= mEvidence.Digest();
    }
    return TimeSince(begin);
  }

  std::uint64_t mDigest = 0;
};

// Guards against instances that spend all their time on judging what they know
// already, so that no request comes to an endpoint in time.
TEST_CASE_FIXTURE(evidence_of_a_storm,
                  "crash_evidence/storm_is_told_by_all/what_is_known_is_free")
{
  REQUIRE(mEvidence.Sightings() > mSettings.mMaxSightings / 2);
  CHECK(TimeOfReports(5'000, false) < kMostTime);
}

// Guards against a digest that is summed up anew after each output of a popular
// part, although no sighting has changed.
TEST_CASE_FIXTURE(evidence_of_a_storm,
                  "crash_evidence/storm_of_sound_runs/digest_is_free")
{
  const std::clock_t begin = std::clock();
  for (std::uint64_t each = 0; each < 20'000; ++each) {
    mEvidence.RecordSuccess(
      { 1 + 2 * (each % 80) }, mNow, run_progress::kBegun);
    mDigest ^= mEvidence.Digest();
  }
  CHECK(TimeSince(begin) < kMostTime);
}

TEST_CASE_FIXTURE(evidence_of_a_storm,
                  "crash_evidence/storm_goes_on/news_cost_little")
{
  CHECK(TimeOfReports(1'000, true) < kMostTime);
}

// Guards against instances that judge the same ends hundreds of times a second
// while reports of further ones come from all others.
TEST_CASE_FIXTURE(evidence_of_a_storm,
                  "crash_evidence/storm_goes_on/judging_a_second_is_bounded")
{
  constexpr std::uint64_t kReportsASecond = 2'000;
  constexpr std::uint64_t kMaxJudgementsASecond = 10;
  const std::uint64_t before = mEvidence.Steps();
  mNow += Seconds(2);
  mEvidence.JudgeAll(mNow);
  const std::uint64_t once = mEvidence.Steps() - before;
  for (std::uint64_t each = 0; each < kReportsASecond; ++each) {
    mNow += Seconds(1) / kReportsASecond;
    mEvidence.Add({ 1, mNow, { 1'000'000 + 2 * each }, false });
    mEvidence.JudgeAll(mNow);
    mDigest ^= mEvidence.NeedsSoloRun({ 1 + 2 * (each % 80) }) ? 1 : 0;
  }
  CHECK(mEvidence.Steps() - before - once < kMaxJudgementsASecond * once);
}

// Guards against a digest that is kept by additions and drifts from the
// sightings, so that instances that know the same send each other everything.
TEST_CASE_FIXTURE(evidence_of_a_storm,
                  "crash_evidence/all_cleared/digest_is_none")
{
  REQUIRE(mEvidence.Digest() != 0);
  for (std::uint64_t each = 1; each < 2 * kEndpoints * kOpen + 2; ++each) {
    mEvidence.Clear({ each }, mNow, run_progress::kBegun);
  }
  CHECK(mEvidence.Sightings() == 0);
  CHECK(mEvidence.Digest() == 0);
}

TEST_CASE_FIXTURE(evidence_of_parts,
                  "crash_evidence/clearances/latest_of_each_progress")
{
  mEvidence.Clear(kPart, mNow, run_progress::kGoing);
  mEvidence.Clear(kPart, mNow + Seconds(2), run_progress::kBegun);
  CHECK(mEvidence.Clearances(kPart) ==
        std::vector<crash_evidence::clearance>{
          { run_progress::kBegun, mNow + Seconds(2) },
          { run_progress::kGoing, mNow } });
}

} // namespace
} // namespace thornhollow
