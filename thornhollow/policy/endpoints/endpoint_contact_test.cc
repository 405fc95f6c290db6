#include <doctest/doctest.h>

#include "thornhollow/policy/endpoints/endpoint_contact.h"

namespace thornhollow {
namespace {

constexpr std::size_t kEndpoints = 12;

struct instance_in_contact
{
  endpoint_contact_settings mSettings;
  endpoint_contact mContact{ mSettings };
  time_point mNow = time_point() + Seconds(100);

  instance_in_contact()
  {
    mContact.OnSent(mNow);
    mContact.OnAnswer(true, mNow);
    mContact.OnEnded();
  }

  void After(duration aTime) { mNow += aTime; }

  // Takes the probes that are due and gives all the same result; returns how
  // many there were.
  std::size_t Probe(bool aConnected)
  {
    const std::size_t due = mContact.TakeProbes(kEndpoints, mNow);
    for (std::size_t each = 0; each < due; ++each) {
      mContact.OnProbed(aConnected, mNow);
    }
    return due;
  }

  void LoseContact()
  {
    mContact.OnConnectFailed(mNow);
    Probe(false);
  }

  // Probes every 100 ms for so long.
  void ProbeFor(duration aTime, bool aConnected)
  {
    const time_point end = mNow + aTime;
    while (mNow < end) {
      Probe(aConnected);
      After(Milliseconds(100));
    }
  }

  bool ForwardsAll() const { return mContact.ShouldForward(0, mNow); }
  bool ForwardsSome() const { return mContact.ShouldForward(0.99, mNow); }
};

TEST_CASE_FIXTURE(instance_in_contact,
                  "endpoint_contact/nothing_fails/no_probe_and_no_forwarding")
{
  for (int each = 0; each < 100; ++each) {
    mContact.OnSent(mNow);
    After(Milliseconds(100));
    mContact.OnAnswer(false, mNow);
    mContact.OnEnded();
    CHECK(Probe(true) == 0);
    CHECK_FALSE(ForwardsSome());
  }
  CHECK(mContact.Reached(mNow) == true);
}

TEST_CASE_FIXTURE(instance_in_contact,
                  "endpoint_contact/one_endpoint_refuses/contact_stays")
{
  mContact.OnConnectFailed(mNow);
  CHECK(Probe(true) == mSettings.mCheckProbes);
  CHECK(mContact.State() == contact_state::kReached);
  CHECK_FALSE(ForwardsSome());
}

// Guards against a check for each of the many failures that one crash causes.
TEST_CASE_FIXTURE(instance_in_contact,
                  "endpoint_contact/many_failures/one_check_per_interval")
{
  std::size_t probes = 0;
  for (int each = 0; each < 100; ++each) {
    mContact.OnConnectFailed(mNow);
    probes += Probe(true);
    After(Milliseconds(1));
  }
  CHECK(probes == mSettings.mCheckProbes);
}

TEST_CASE_FIXTURE(instance_in_contact,
                  "endpoint_contact/one_of_the_probes_succeeds/contact_stays")
{
  mContact.OnConnectFailed(mNow);
  REQUIRE(mContact.TakeProbes(kEndpoints, mNow) == 3);
  mContact.OnProbed(false, mNow);
  mContact.OnProbed(true, mNow);
  mContact.OnProbed(false, mNow);
  CHECK(mContact.State() == contact_state::kReached);
}

TEST_CASE_FIXTURE(instance_in_contact,
                  "endpoint_contact/all_probes_fail/all_work_is_forwarded")
{
  LoseContact();
  CHECK(mContact.State() == contact_state::kLost);
  CHECK(ForwardsAll());
  CHECK(mContact.Reached(mNow) == false);
  CHECK_FALSE(mContact.IsConfirmedLost(mNow));
  After(mSettings.mConfirmedAfter);
  CHECK(mContact.IsConfirmedLost(mNow));
}

// Guards against a cut in which nothing fails: requests wait on connections
// that are open.
TEST_CASE_FIXTURE(instance_in_contact,
                  "endpoint_contact/no_answer_to_any_request/is_checked")
{
  mContact.OnSent(mNow);
  After(mSettings.mUnansweredTimeout - Milliseconds(1));
  CHECK(Probe(false) == 0);
  After(Milliseconds(1));
  CHECK(Probe(false) == mSettings.mCheckProbes);
  CHECK(ForwardsAll());
}

TEST_CASE_FIXTURE(instance_in_contact,
                  "endpoint_contact/slow_answers/seldom_probed")
{
  std::size_t probes = 0;
  for (int each = 0; each < 100; ++each) {
    mContact.OnSent(mNow);
    After(Milliseconds(600));
    probes += Probe(true);
    mContact.OnAnswer(false, mNow);
    mContact.OnEnded();
  }
  CHECK(probes <= 31 * mSettings.mCheckProbes);
  CHECK(mContact.State() == contact_state::kReached);
}

TEST_CASE_FIXTURE(instance_in_contact,
                  "endpoint_contact/no_requests_in_progress/not_probed")
{
  mContact.OnSent(mNow);
  mContact.OnEnded();
  After(Seconds(5));
  CHECK(Probe(false) == 0);
  // Without recent evidence nothing is claimed.
  CHECK(mContact.Reached(mNow) == std::nullopt);
}

TEST_CASE_FIXTURE(instance_in_contact,
                  "endpoint_contact/contact_is_back/work_returns_in_steps")
{
  LoseContact();
  ProbeFor(Seconds(12), false);
  CHECK(ForwardsAll());
  Probe(true);
  CHECK(mContact.State() == contact_state::kReturning);
  CHECK_FALSE(ForwardsAll());
  CHECK(ForwardsSome());
  ProbeFor(Milliseconds(700), true);
  CHECK_FALSE(ForwardsSome());
  CHECK(mContact.State() == contact_state::kReached);
}

// Guards against links that come and go: each return would fail requests.
TEST_CASE_FIXTURE(instance_in_contact,
                  "endpoint_contact/lost_again_soon/the_next_return_is_later")
{
  LoseContact();
  ProbeFor(Seconds(1), false);
  Probe(true);
  REQUIRE(mContact.State() == contact_state::kReturning);
  mContact.OnConnectFailed(mNow);
  mContact.OnConnectFailed(mNow);
  REQUIRE(mContact.State() == contact_state::kLost);
  After(Milliseconds(200));
  Probe(true);
  CHECK(mContact.State() == contact_state::kLost);
  After(Milliseconds(100));
  Probe(true);
  CHECK(mContact.State() == contact_state::kReturning);
}

TEST_CASE_FIXTURE(instance_in_contact,
                  "endpoint_contact/many_losses/returns_within_two_seconds")
{
  for (int each = 0; each < 10; ++each) {
    LoseContact();
    ProbeFor(Seconds(1), false);
    ProbeFor(Milliseconds(900), true);
    mContact.OnConnectFailed(mNow);
    mContact.OnConnectFailed(mNow);
    Probe(false);
  }
  ProbeFor(Seconds(2), true);
  CHECK(mContact.State() == contact_state::kReached);
}

TEST_CASE_FIXTURE(instance_in_contact,
                  "endpoint_contact/endpoint_joins_while_lost/probed_at_once")
{
  LoseContact();
  Probe(false);
  CHECK(Probe(true) == 0);
  mContact.OnEndpointJoined();
  CHECK(Probe(true) == 1);
  CHECK(mContact.State() == contact_state::kReturning);
}

TEST_CASE_FIXTURE(instance_in_contact,
                  "endpoint_contact/no_endpoint_listed/no_conclusion")
{
  mContact.OnConnectFailed(mNow);
  CHECK(mContact.TakeProbes(0, mNow) == 0);
  CHECK(mContact.State() == contact_state::kReached);
}

TEST_CASE_FIXTURE(instance_in_contact,
                  "endpoint_contact/process_was_paused/nothing_is_believed")
{
  LoseContact();
  mContact.OnClockGap(mNow);
  CHECK(mContact.State() == contact_state::kReached);
  CHECK(mContact.Reached(mNow) == std::nullopt);
}

} // namespace
} // namespace thornhollow
