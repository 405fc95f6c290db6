#include <string>

#include <doctest/doctest.h>

#include "thornhollow/daemon/metrics.h"

namespace thornhollow {
namespace {

struct fresh_metrics
{
  metrics mMetrics;
};

TEST_CASE_FIXTURE(fresh_metrics, "metrics/every_error_kind/has_its_counters")
{
  const std::string page = mMetrics.Page();
  for (const error_kind kind : AllErrorKinds()) {
    const std::string label = "{kind=\"" + std::string(Name(kind)) + "\"} 0";
    CHECK(page.find("thornhollow_refused_total" + label) != std::string::npos);
    CHECK(page.find("thornhollow_retries_total" + label) != std::string::npos);
  }
}

TEST_CASE_FIXTURE(fresh_metrics, "metrics/refusal/is_counted_under_its_kind")
{
  mMetrics.OnRefused(error_kind::kQueueFull);
  CHECK(
    mMetrics.Page().find("thornhollow_refused_total{kind=\"queue_full\"} 1") !=
    std::string::npos);
}

// Configuration and source gauges must come first on the page. An instance had
// used an outdated configuration for seconds; only the first 4 kB of its
// metrics were kept, and they held nothing but refusal counters at zero.
TEST_CASE_FIXTURE(fresh_metrics, "metrics/source_was_heard/stands_first")
{
  mMetrics.OnConfiguration(21);
  mMetrics.SetSource("configuration", 29, Milliseconds(1'500));
  mMetrics.SetSource("endpoints", 31, std::nullopt);
  const std::string kept = mMetrics.Page().substr(0, 1'000);
  CHECK(kept.find("thornhollow_configuration_version 21") != std::string::npos);
  CHECK(kept.find("thornhollow_source_revision{what=\"configuration\"} 29") !=
        std::string::npos);
  CHECK(kept.find("thornhollow_source_answer_age_seconds"
                  "{what=\"configuration\"} 1.5") != std::string::npos);
  CHECK(kept.find("age_seconds{what=\"endpoints\"}") == std::string::npos);
}

TEST_CASE_FIXTURE(fresh_metrics, "metrics/pool_empties/goes_to_zero")
{
  mMetrics.SetHeld({ { pool_name("dispatch"), { 3, 1 } } });
  CHECK(mMetrics.Page().find("thornhollow_requests{pool=\"dispatch\","
                             "state=\"waiting\"} 1") != std::string::npos);
  mMetrics.SetHeld({});
  CHECK(mMetrics.Page().find("thornhollow_requests{pool=\"dispatch\","
                             "state=\"in_flight\"} 0") != std::string::npos);
}

} // namespace
} // namespace thornhollow
