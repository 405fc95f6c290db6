// How much work a prompt is for the engine that prefills it.
//
//   const double cost = PrefillCost(ownTokens, cachedTokens);
//
#ifndef THORNHOLLOW_POLICY_PLACEMENT_INTERNAL_PREFILL_COST_H_
#define THORNHOLLOW_POLICY_PLACEMENT_INTERNAL_PREFILL_COST_H_

namespace thornhollow::internal {

// Cost of prefilling `aUncached` tokens that follow `aCached` cached ones. The
// unit is the cost of one token without overhead and attention. Added are an
// overhead for each chunk of tokens and the attention to all preceding tokens.
// Without these, differences in prompt length are taken for differences in
// engine speed.
inline double
PrefillCost(double aUncached, double aCached)
{
  constexpr double kChunkOverhead = 0.125;
  constexpr double kTokensPerPair = 18.3e-6;
  const double attentionPairs = aUncached * (aCached + aUncached / 2);
  return aUncached * (1 + kChunkOverhead) + attentionPairs * kTokensPerPair;
}

} // namespace thornhollow::internal

#endif // THORNHOLLOW_POLICY_PLACEMENT_INTERNAL_PREFILL_COST_H_
