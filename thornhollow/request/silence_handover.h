// Decides when a request moves from an endpoint that has fallen silent to
// another one, without giving up the first before the second is certain.
//
//   silence_handover handover;
//   switch (handover.OnSilence(now)) {
//     case handover_step::kPrepare: ...   // find one that is responsive now
//     case handover_step::kSwitch: ...    // close the silent attempt
//     case handover_step::kWait: ...      // again at handover.NextCheck(now)
//   }
//
// Load this answers: sound endpoints stand still for a second, one or all of a
// pool at once, and every request there exceeds its silence timeout at the same
// moment. If attempts were closed at the timeout, the retry budget, a pool that
// stands still as a whole, or a second endpoint that declines would end answers
// that their endpoints go on with a moment later. So the silent attempt stays
// open until the other endpoint has shown that it responds; whichever sends
// first keeps the request.
//
// Both may work on the request only for `mMaxOverlap`: an engine is soon told
// to stop what another one continues. An attempt at another instance stays in
// `kPreparing` until it answers, as that has yet to find an endpoint.
#ifndef THORNHOLLOW_REQUEST_SILENCE_HANDOVER_H_
#define THORNHOLLOW_REQUEST_SILENCE_HANDOVER_H_

#include <cstdint>

#include "thornhollow/base/time.h"
#include "thornhollow/routing/routing_document.h"

namespace thornhollow {

// How long an attempt at a request of the route, which may be repeated, may
// bring nothing until another endpoint is looked for: long enough for a sound
// endpoint that stands still for a second, and for the pauses that the route
// allows within a stream.
duration
SilenceTimeout(const route& aRoute);

struct silence_handover_settings
{
  // How long after the request was sent to the other endpoint the silent
  // attempt is kept, if neither sends. A refusal comes sooner.
  duration mMaxOverlap = Milliseconds(300);
  // Pause after an endpoint that did not respond, or refused.
  duration mRetryInterval = Milliseconds(200);

  friend bool operator==(const silence_handover_settings&,
                         const silence_handover_settings&) = default;
};

enum class handover_phase : std::uint8_t
{
  // Nothing is under way beside the attempt.
  kIdle,
  // Another endpoint is asked whether it responds; the request was not sent.
  kPreparing,
  // The request was sent to both.
  kOverlapping,
};

enum class handover_step : std::uint8_t
{
  kWait,
  // Choose another endpoint and ask it.
  kPrepare,
  // Close the silent attempt; the other one goes on with the request.
  kSwitch,
};

class silence_handover
{
public:
  explicit silence_handover(const silence_handover_settings& aSettings = {})
    : mSettings(aSettings)
  {
  }

  handover_phase Phase() const { return mPhase; }

  // The attempt has exceeded its silence timeout.
  handover_step OnSilence(time_point aNow) const;
  // When `OnSilence` is to be called again.
  time_point NextCheck(time_point aNow) const;

  void OnPreparing() { mPhase = handover_phase::kPreparing; }
  void OnSent(time_point aNow);
  // The other endpoint did not respond, refused or failed, or none was found.
  void OnFailed(time_point aNow);
  // The silent attempt went on, or ended, or the other one took its place.
  void Reset() { *this = silence_handover(mSettings); }

private:
  silence_handover_settings mSettings;
  handover_phase mPhase = handover_phase::kIdle;
  time_point mSentAt{};
  time_point mNotBefore{};
};

} // namespace thornhollow

#endif // THORNHOLLOW_REQUEST_SILENCE_HANDOVER_H_
