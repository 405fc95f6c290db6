// A stand-in for a model engine; see docs/design/external_protocols.md.
#include <cstdio>

#include <gflags/gflags.h>

#include "thornhollow/testing/fake_engine.h"
#include "thornhollow/testing/stand_in.h"

DEFINE_string(listen, "127.0.0.1:0", "address for requests");
DEFINE_string(control, "127.0.0.1:0", "address that stays open for /test/");
DEFINE_double(step_ms, 4, "time of one step");
DEFINE_uint32(slots, 8, "requests in one batch");
DEFINE_uint32(max_waiting, 0, "requests beyond the batch; 0 for no bound");
DEFINE_uint32(prefill_per_step, 512, "prompt words that a step works off");
DEFINE_uint32(cache_tokens, 65536, "prompt words in the prefix cache");
DEFINE_uint32(mean_tokens,
              64,
              "mean length of an unlimited answer; 0: none ends by itself");
DEFINE_uint32(report_lag_ms, 200, "age of load reports");
DEFINE_uint32(warm_up_ms, 0, "tells for so long after a start that it is cold");
DEFINE_string(software_version, "", "told with each answer and token");

int
main(int argc, char** argv)
{
  using namespace thornhollow;
  gflags::SetUsageMessage("fake-engine --listen=127.0.0.1:PORT");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const testing::engine_settings settings{
    .mSlots = FLAGS_slots,
    .mStep = FromSeconds(FLAGS_step_ms / 1e3),
    .mPrefillPerStep = FLAGS_prefill_per_step,
    .mCacheTokens = FLAGS_cache_tokens,
    .mMeanTokens = FLAGS_mean_tokens,
    .mReportLag = Milliseconds(FLAGS_report_lag_ms),
  };
  testing::event_loop loop;
  testing::fake_engine engine(loop,
                              settings,
                              FLAGS_max_waiting,
                              FLAGS_software_version,
                              Milliseconds(FLAGS_warm_up_ms));
  return testing::RunEndpoint(loop, engine, FLAGS_listen, FLAGS_control);
}
