// What an answer's head must be before anything of it is used.
//
//   if (!IsFinalStatus(parser.get().result_int())) { ... }  // no answer
//
// Guards against an endpoint in trouble whose bytes look like an answer: the
// parser takes any three digits for a status. It shows as a caller that gets
// status 000, or a body that isn't the endpoint's.
#ifndef THORNHOLLOW_NET_INTERNAL_ANSWER_HEAD_H_
#define THORNHOLLOW_NET_INTERNAL_ANSWER_HEAD_H_

namespace thornhollow::net_internal {

// Whether an answer with this status is the last one to its request. Statuses
// outside of 100 to 599 don't exist (RFC 9110, section 15).
constexpr bool
IsFinalStatus(unsigned aStatus)
{
  return aStatus >= 200 && aStatus <= 599;
}

// Whether another answer follows one with this status. After 101, which answers
// a wish that is never sent, nothing in this protocol follows.
constexpr bool
IsInterimStatus(unsigned aStatus)
{
  return aStatus >= 100 && aStatus <= 199 && aStatus != 101;
}

} // namespace thornhollow::net_internal

#endif // THORNHOLLOW_NET_INTERNAL_ANSWER_HEAD_H_
