#include "thornhollow/streams/stream_origin.h"

#include "thornhollow/base/request_fingerprint.h"

namespace thornhollow {

stream_key
StreamKeyOf(const team_name& aTeam, const request_id& aSubmission)
{
  if (aSubmission.empty()) {
    return kUnnamedStream;
  }
  // Keyed with the team. The method keeps it apart from requests' contents.
  const request_fingerprint print =
    FingerprintOf({ .mMethod = "begun-as",
                    .mTarget = aSubmission.Text(),
                    .mTeam = aTeam.Text(),
                    .mBody = "" });
  return { print.mValue == 0 ? 1 : print.mValue };
}

} // namespace thornhollow
