// Remembers under which features of requests endpoints ended, and judges which
// feature is the cause.
//
//   crash_evidence evidence(settings);
//   evidence.Add({ endpoint, endedAt, feature, isTrial });
//   evidence.JudgeAll(now);
//   if (evidence.IsRejected(feature, now)) { Reject(); }
//   evidence.Clear(feature, outputAt, run_progress::kBegun);
//
// An end is counted once however many instances saw it. Output that a feature
// brings clears it of all earlier ends that came earlier in a run
// (run_progress.h). A feature that others share the ends of is judged by what
// is left:
//
//   content  rejected after three ends, the last of them in a trial in which no
//            other suspect was open. Ends that a rejected feature explains do
//            not count. Ends of several endpoints at the same moment have a
//            common cause: only one of the three may be of this kind.
//   part     rejected after four ends at separate moments, one of them of a run
//            with the part that was the only one in the fleet, unless one
//            content was open at all of them. Of several such parts one that
//            brought no output shortly before, then the one with the most ends,
//            explains its ends; the others are judged by those that remain.
//            Parts that were open at the same ends cannot be told apart: all of
//            them are rejected, as companions, until a request has one of them
//            without the others.
//
// Ends under runs without output and ends under runs with a little of it are
// judged apart: what ends endpoints does so at one point of a run, while others
// are met at any.
//
// The judgement follows from the set of sightings alone, whatever the order in
// which they arrive, so that all instances come to the same one.
#ifndef THORNHOLLOW_POLICY_SUSPECTS_CRASH_EVIDENCE_H_
#define THORNHOLLOW_POLICY_SUSPECTS_CRASH_EVIDENCE_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "thornhollow/base/endpoint_hash.h"
#include "thornhollow/base/request_feature.h"
#include "thornhollow/base/time.h"
#include "thornhollow/policy/suspects/crash_suspects_settings.h"
#include "thornhollow/policy/suspects/run_progress.h"

namespace thornhollow {

// A feature that is rejected from now on.
struct crash_rejection
{
  request_feature mFeature;
  // Endpoints that ended under it.
  std::vector<endpoint_hash> mEndpoints;

  friend bool operator==(const crash_rejection&,
                         const crash_rejection&) = default;
};

class crash_evidence
{
public:
  // Names an end.
  using crash_number = std::uint64_t;

  // A request with the feature was open when the endpoint's process ended.
  struct sighting
  {
    endpoint_hash mEndpoint = 0;
    time_point mAt{};
    request_feature mFeature;
    // Whether it ran there as a trial.
    bool mTrial = false;
    // How far it had got: without output, or with a little.
    run_progress mProgress = run_progress::kNoOutput;
    // When the latest run that ended there was sent; unset if not known.
    std::optional<time_point> mSentAt = std::nullopt;

    friend bool operator==(const sighting&, const sighting&) = default;
  };
  // How far runs may have got that are suspected, see `MayEndEndpoint`.
  static constexpr std::array kSuspicious{ run_progress::kNoOutput,
                                           run_progress::kBegun };

  // Requests with one feature that were open at one end, by how far they had
  // got.
  class suspect
  {
  public:
    // Whether one was open that had got so far, and whether as a trial.
    bool IsSeen(run_progress aProgress) const
    {
      return mSeen[Index(aProgress)];
    }
    bool IsTrial(run_progress aProgress) const
    {
      return mTrial[Index(aProgress)];
    }
    bool IsSeen() const { return std::ranges::any_of(mSeen, std::identity()); }
    bool IsTrial() const
    {
      return std::ranges::any_of(mTrial, std::identity());
    }
    // Returns whether that is news.
    bool Add(run_progress aProgress, bool aTrial)
    {
      const bool isNews = !IsSeen(aProgress) || (aTrial && !IsTrial(aProgress));
      mSeen[Index(aProgress)] = true;
      mTrial[Index(aProgress)] = IsTrial(aProgress) || aTrial;
      return isNews;
    }
    // Returns whether one was seen.
    bool Clear(run_progress aProgress)
    {
      mTrial[Index(aProgress)] = false;
      return std::exchange(mSeen[Index(aProgress)], false);
    }

  private:
    // Messages may tell of any progress.
    static std::size_t Index(run_progress aProgress)
    {
      return aProgress == run_progress::kNoOutput ? 0 : 1;
    }

    std::array<bool, kSuspicious.size()> mSeen{};
    std::array<bool, kSuspicious.size()> mTrial{};
  };
  struct crash
  {
    endpoint_hash mEndpoint = 0;
    time_point mAt{};
    std::optional<time_point> mSentAt;
    std::map<request_feature, suspect> mSuspects = {};
    // Whether it has a likely cause, as of that revision.
    mutable std::uint64_t mCauseRevision = 0;
    mutable bool mHasLikelyCause = false;
  };
  // A feature's runs had got that far at that time.
  struct clearance
  {
    run_progress mProof = run_progress::kBegun;
    time_point mAt{};

    friend bool operator==(const clearance&, const clearance&) = default;
  };

  explicit crash_evidence(const crash_suspects_settings& aSettings)
    : mSettings(aSettings)
  {
  }

  // A copy would point to the ends of the original.
  crash_evidence(const crash_evidence&) = delete;
  crash_evidence& operator=(const crash_evidence&) = delete;
  crash_evidence(crash_evidence&&) = default;
  crash_evidence& operator=(crash_evidence&&) = default;
  ~crash_evidence() = default;

  // Returns the end's number if the sighting adds to what is known; nothing if
  // it is known, or the feature has been cleared of it.
  std::optional<crash_number> Add(const sighting& aSighting);
  // Judges every feature under which enough endpoints have ended, unless
  // nothing has changed since that was done, or much has to be judged and that
  // was just done: to be called again later then. A judgement may change in
  // either direction.
  void JudgeAll(time_point aNow);

  // A run with the feature got so far at that time. Returns whether other
  // instances have to be told.
  bool Clear(request_feature aFeature, time_point aAt, run_progress aProof);
  // The same for a part that is not suspected; remembered for reports of
  // earlier ends that arrive later.
  void RecordSuccess(request_feature aPart,
                     time_point aAt,
                     run_progress aProof);
  // The last success of a part, if it says something about an end under it and
  // other instances have not been told of one that says the same: a later one
  // clears the part of that end, one shortly before makes others more
  // suspicious (`WasSound`). `aNeeded`: the progress that says so.
  std::optional<time_point> UntoldSuccess(request_feature aPart,
                                          time_point aEndedAt,
                                          run_progress aNeeded) const;

  bool IsRejected(request_feature aFeature, time_point aNow) const;
  // Until when the feature is rejected, if it is.
  std::optional<time_point> RejectedUntil(request_feature aFeature) const;
  std::optional<time_point> RejectedSince(request_feature aFeature) const;
  // The features that are rejected with this one as they cannot be told apart,
  // this one included.
  std::vector<request_feature> Companions(request_feature aFeature) const;
  // Whether requests with this part may run one at a time only.
  bool NeedsSoloRun(request_feature aPart) const;
  // Whether the part brought output shortly before the first end under it, so
  // that other parts that were open there are more likely to be the cause.
  bool WasSound(request_feature aPart) const;

  // Number of endpoints that ended under the feature since it was last cleared.
  std::size_t EndedUnder(request_feature aFeature) const;
  // The progress that clears the feature of all these ends.
  run_progress NeededProof(request_feature aFeature) const;
  // When the last of them ended.
  std::optional<time_point> LastEnd(request_feature aFeature) const;
  // One for each progress; none if the feature is no longer suspected of that
  // end.
  std::vector<sighting> Find(crash_number aNumber,
                             request_feature aFeature) const;
  // When the feature was last cleared, by what, as far as that is known.
  std::vector<clearance> Clearances(request_feature aFeature) const;

  // Sightings of features under which at least so many endpoints have ended.
  std::vector<std::pair<crash_number, request_feature>> SightingsFrom(
    std::size_t aMinEnded) const;
  std::vector<request_feature> ClearedFeatures() const;
  // Digest of the sightings of features under which at least `kDigestFrom`
  // endpoints have ended; 0 if there are none.
  static constexpr std::size_t kDigestFrom = 2;
  std::uint64_t Digest() const { return mDigest; }
  std::size_t Sightings() const { return mSightingCount; }
  // Ends visited so far to judge features, which is what judging costs.
  std::uint64_t Steps() const { return mSteps; }

  // Features that were rejected since the last call.
  std::vector<crash_rejection> TakeRejections();
  // Forgets what has expired.
  void Forget(time_point aNow);
  // Forgets the suspects of the fewest ends if there are too many.
  void DropExcess();

private:
  struct rejection
  {
    time_point mSince{};
    time_point mUntil{};
    std::vector<request_feature> mCompanions = {};
  };
  // Ends of a part that count, under runs that had all got as far.
  struct part_case
  {
    request_feature mPart;
    run_progress mProgress = run_progress::kNoOutput;
    std::vector<crash_number> mEnds;
    bool mWasSound = false;
  };
  // An end under a feature. `mCrash` and `mSuspect` outlive the entry.
  struct feature_end
  {
    crash_number mNumber = 0;
    crash* mCrash = nullptr;
    suspect* mSuspect = nullptr;
  };
  // All ends under a feature.
  struct feature_ends
  {
    std::vector<feature_end> mEnds;
    // Sum of what the ends add to the digest.
    std::uint64_t mDigest = 0;
    // Whether the part needs solo runs, as of that revision and judgement.
    mutable bool mNeedsSoloRun = false;
    mutable std::uint64_t mSoloRevision = 0;
    mutable time_point mSoloAt = time_point::min();

    std::size_t size() const { return mEnds.size(); }
  };

  crash_number FindOrAddCrash(const sighting& aSighting);
  // Whether the sighting is of that end.
  bool IsSameEnd(const crash& aCrash, const sighting& aSighting) const;
  // Erases the sightings that are cleared by the proof; all if it is unset.
  bool EraseUntil(request_feature aFeature,
                  time_point aUntil,
                  std::optional<run_progress> aProof);
  void EraseFromCrash(crash_number aNumber, request_feature aFeature);
  void EraseCrash(crash_number aNumber);
  // What the suspect of that end adds to the digest.
  static std::uint64_t DigestOf(request_feature aFeature,
                                const crash& aCrash,
                                const suspect& aSuspect);
  // What all ends under the feature add to it.
  static std::uint64_t DigestOf(const feature_ends& aEnds);
  void ForgetJudgement(request_feature aFeature);
  void ForgetRejection(request_feature aFeature);
  bool IsCleared(request_feature aFeature,
                 time_point aSince,
                 run_progress aNeeded) const;
  std::size_t MinEnded(request_feature aFeature) const;
  // Ends under a run with the feature that had got so far.
  std::vector<crash_number> Ends(request_feature aFeature,
                                 run_progress aProgress) const;
  // When the first endpoint ended under such a run.
  std::optional<time_point> FirstEnd(request_feature aFeature,
                                     run_progress aProgress) const;
  bool NeedsSoloRun(request_feature aPart, run_progress aProgress) const;
  // Whether judgements take so much work that an earlier one is used for a
  // while.
  bool IsStorm() const;
  bool WasSound(request_feature aPart, run_progress aProgress) const;

  // Whether another feature, which is rejected, was open when the endpoint
  // ended.
  bool IsExplained(const crash& aCrash, request_feature aFeature) const;
  bool HasLikelyCause(const crash& aCrash) const;
  bool MayBeCoincidence(const crash& aCrash, request_feature aFeature) const;
  // How much the end tells about the content: 1 for a conclusive trial.
  double Evidence(const crash& aCrash,
                  request_feature aContent,
                  run_progress aProgress,
                  time_point aNow) const;
  void JudgeContent(request_feature aContent, time_point aNow);
  // When the last trial of the content ended that convicts it; nothing if the
  // ends are no reason to reject it.
  std::optional<time_point> Convicts(request_feature aContent,
                                     run_progress aProgress,
                                     time_point aNow) const;
  void JudgeParts(time_point aNow);
  std::vector<part_case> PartCases() const;
  // When the last run of the part ended that was alone in the fleet; nothing if
  // the ends are no reason to reject it.
  std::optional<time_point> Convicts(const part_case& aCase,
                                     time_point aNow) const;
  // Number of ends, several at the same moment counted once.
  std::size_t SeparateEnds(const std::vector<crash_number>& aEnds) const;
  // Whether one content was open at all of the ends.
  bool HaveOneContent(const std::vector<crash_number>& aEnds) const;
  void Reject(request_feature aFeature,
              time_point aUntil,
              std::vector<request_feature> aCompanions,
              time_point aNow);

  crash_suspects_settings mSettings;
  crash_number mNextCrash = 1;
  std::map<crash_number, crash> mCrashes;
  std::multimap<time_point, crash_number> mByTime;
  std::unordered_map<endpoint_hash, std::vector<crash_number>> mByEndpoint;
  std::unordered_map<request_feature, feature_ends> mByFeature;
  std::unordered_map<request_feature, progress_times> mClearances;
  std::unordered_map<request_feature, progress_times> mSuccesses;
  std::unordered_map<request_feature, rejection> mRejections;
  // Features under which enough endpoints have ended to judge them, explained
  // or not.
  std::set<request_feature> mJudged;
  std::vector<crash_rejection> mNewRejections;
  std::size_t mSightingCount = 0;
  // Grows whenever something changes that a judgement follows from: sightings,
  // successes, rejections.
  std::uint64_t mRevision = 1;
  std::uint64_t mJudgedRevision = 0;
  time_point mJudgedAt{};
  // Ends that the last judgement visited.
  std::uint64_t mJudgedSteps = 0;
  mutable std::uint64_t mSteps = 0;
  std::uint64_t mDigest = 0;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_SUSPECTS_CRASH_EVIDENCE_H_
