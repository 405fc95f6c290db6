#include "thornhollow/tools/load_workload.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include "thornhollow/base/hash.h"
#include "thornhollow/config/internal/field_reader.h"

namespace thornhollow {
namespace {

using internal::field_reader;
using internal::yaml_kind;
using internal::yaml_node;

constexpr std::int64_t kMaxCount = 1'000'000;
constexpr std::int64_t kMaxMilliseconds = 86'400'000;
constexpr double kMaxRate = 100'000;
constexpr double kMaxSeconds = 86'400;

std::uint32_t
Count(field_reader& aFields,
      std::string_view aField,
      std::int64_t aLeast,
      std::int64_t aDefault)
{
  return static_cast<std::uint32_t>(aFields.Whole(
    aField, { .mLeast = aLeast, .mMost = kMaxCount, .mDefault = aDefault }));
}

duration
Target(field_reader& aFields, std::string_view aField)
{
  return Milliseconds(aFields.Whole(
    aField, { .mLeast = 0, .mMost = kMaxMilliseconds, .mDefault = 0 }));
}

class workload_reader
{
public:
  explicit workload_reader(const source_file& aFile)
    : mFile(aFile)
  {
  }

  workload_verdict Run() &&
  {
    const auto tree = internal::ParseYaml(mFile.mName, mFile.mText, mFaults);
    if (!tree) {
      return std::move(mFaults);
    }
    workload read;
    field_reader fields(*tree, mFile.mName, "", mFaults);
    read.mSeed = static_cast<std::uint64_t>(
      fields.Whole("seed",
                   { .mLeast = 0,
                     .mMost = std::numeric_limits<std::int32_t>::max(),
                     .mDefault = 1 }));
    read.mLength = FromSeconds(
      fields.Number("duration_s", { .mLeast = 0.001, .mMost = kMaxSeconds }));
    ForEach(fields, "classes", [&](const yaml_node& aNode, std::string aPath) {
      read.mClasses.push_back(Class(aNode, std::move(aPath)));
    });
    fields.RefuseUnknown();
    if (!mFaults.empty()) {
      return std::move(mFaults);
    }
    return read;
  }

private:
  template<class reader>
  void ForEach(field_reader& aFields, std::string_view aField, reader aRead)
  {
    const yaml_node* list = aFields.Node(aField);
    if (list == nullptr) {
      return;
    }
    if (list->mKind != yaml_kind::kSequence) {
      aFields.Refuse(aField, internal::Describe(*list), "a list");
      return;
    }
    std::size_t at = 0;
    for (const yaml_node& item : list->mItems) {
      aRead(item,
            fmt::format("{}{}{}[{}]",
                        aFields.Path(),
                        aFields.Path().empty() ? "" : ".",
                        aField,
                        at++));
    }
  }

  load_class Class(const yaml_node& aNode, std::string aPath)
  {
    field_reader fields(aNode, mFile.mName, std::move(aPath), mFaults);
    load_class read;
    read.mName = fields.Name("name");
    read.mToken = fields.Text("token");
    read.mRequestClass = fields.OptionalName("class");
    read.mMethod = fields.Text("method", read.mMethod);
    read.mPath = fields.Text("path", "/v1/chat/completions");
    read.mModel = fields.OptionalName("model");
    read.mRate = fields.Number("rate", { .mLeast = 0, .mMost = kMaxRate });
    read.mPromptWords = Count(fields, "prompt_words", 1, 1);
    read.mSharedWords = Count(fields, "shared_words", 0, 0);
    read.mMaxTokens = Count(fields, "max_tokens", 1, read.mMaxTokens);
    read.mStream = fields.Flag("stream", true);
    read.mIdempotencyKey = fields.Flag("idempotency_key", false);
    read.mTries = Count(fields, "tries", 1, 1);
    read.mFirstTokenTarget = Target(fields, "first_token_ms");
    read.mBetweenTokensTarget = Target(fields, "between_tokens_ms");
    read.mDeadline = Target(fields, "deadline_ms");
    ForEach(fields, "bursts", [&](const yaml_node& aBurst, std::string aAt) {
      read.mBursts.push_back(Burst(aBurst, std::move(aAt)));
    });
    fields.RefuseUnknown();
    return read;
  }

  load_burst Burst(const yaml_node& aNode, std::string aPath)
  {
    field_reader fields(aNode, mFile.mName, std::move(aPath), mFaults);
    load_burst read;
    read.mFrom = FromSeconds(
      fields.Number("from_s", { .mLeast = 0, .mMost = kMaxSeconds }));
    read.mLength = FromSeconds(
      fields.Number("length_s", { .mLeast = 0, .mMost = kMaxSeconds }));
    read.mFactor = fields.Number("factor", { .mLeast = 0, .mMost = kMaxRate });
    fields.RefuseUnknown();
    return read;
  }

  const source_file& mFile;
  faults mFaults;
};

double
FactorAt(const load_class& aClass, duration aAt)
{
  double factor = 1;
  for (const load_burst& burst : aClass.mBursts) {
    if (aAt >= burst.mFrom && aAt < burst.mFrom + burst.mLength) {
      factor *= burst.mFactor;
    }
  }
  return factor;
}

// An upper bound of FactorAt over all times.
double
LargestFactor(const load_class& aClass)
{
  double factor = 1;
  for (const load_burst& burst : aClass.mBursts) {
    factor *= std::max(burst.mFactor, 1.0);
  }
  return factor;
}

// Draws at the largest rate and keeps each arrival with the share that the
// rate at its time has of it.
void
DrawClass(const workload& aWorkload,
          std::size_t aClass,
          double aRateFactor,
          std::vector<arrival>& aArrivals)
{
  const load_class& drawn = aWorkload.mClasses[aClass];
  const double most = LargestFactor(drawn);
  const double rate = drawn.mRate * most * aRateFactor;
  if (rate <= 0) {
    return;
  }
  std::mt19937_64 engine(CombineHash(aWorkload.mSeed, aClass));
  std::exponential_distribution<double> gap(rate);
  std::exponential_distribution<double> words(1.0 / drawn.mPromptWords);
  std::uniform_real_distribution<double> keep(0, most);
  std::uint32_t number = 0;
  for (duration at = FromSeconds(gap(engine)); at < aWorkload.mLength;
       at += FromSeconds(gap(engine))) {
    if (keep(engine) < FactorAt(drawn, at)) {
      const double length = std::min<double>(words(engine), kMaxCount);
      aArrivals.push_back(
        { at,
          aClass,
          number++,
          std::max(static_cast<std::uint32_t>(std::lround(length)), 1U) });
    }
  }
}

// Shared words first, then words that only this request has.
std::string
Prompt(const load_class& aClass, const arrival& aArrival)
{
  std::string prompt;
  for (std::uint32_t word = 0; word < aClass.mSharedWords; ++word) {
    prompt += fmt::format("{}{} ", aClass.mName, word);
  }
  for (std::uint32_t word = 0; word < aArrival.mPromptWords; ++word) {
    prompt += fmt::format("{}.{} ", aArrival.mNumber, word);
  }
  return prompt;
}

} // namespace

workload_verdict
ReadWorkload(const source_file& aFile)
{
  return workload_reader(aFile).Run();
}

std::vector<arrival>
DrawArrivals(const workload& aWorkload, double aRateFactor)
{
  std::vector<arrival> arrivals;
  for (std::size_t at = 0; at < aWorkload.mClasses.size(); ++at) {
    DrawClass(aWorkload, at, aRateFactor, arrivals);
  }
  std::ranges::stable_sort(arrivals, {}, &arrival::mAt);
  return arrivals;
}

std::string
BodyFor(const load_class& aClass, const arrival& aArrival)
{
  namespace json = boost::json;
  if (aClass.mMethod == "GET") {
    return {};
  }
  const std::string prompt = Prompt(aClass, aArrival);
  if (aClass.mModel.empty()) {
    return json::serialize(
      json::object{ { "number", aArrival.mNumber }, { "from", aClass.mName } });
  }
  return json::serialize(
    json::object{ { "model", aClass.mModel },
                  { "messages",
                    json::array{ json::object{ { "role", "user" },
                                               { "content", prompt } } } },
                  { "max_tokens", aClass.mMaxTokens },
                  { "stream", aClass.mStream } });
}

} // namespace thornhollow
