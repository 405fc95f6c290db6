// Declarations for tests and benchmarks.
#ifndef THORNHOLLOW_CONFIG_INTERNAL_SAMPLE_DECLARATIONS_H_
#define THORNHOLLOW_CONFIG_INTERNAL_SAMPLE_DECLARATIONS_H_

#include <cstddef>
#include <string>

#include "thornhollow/config/token.h"

namespace thornhollow::internal {

// Everything but teams, as an operator writes it: two levels, two classes, one
// model, one plain service, two endpoints.
inline std::string
SampleWithoutTeams()
{
  return R"(levels:
  - {name: quick, tier: 1, first_token_ms: 400, deadline_ms: 9000}
  - {name: patient, tier: 4, first_token_ms: 4000, deadline_ms: 90000}
classes:
  - {name: notes, level: quick, idempotent: true, models: [small]}
  - {name: orders, level: patient, minimum_share: 0.25}
models:
  - name: small
services:
  - {name: book, path: /orders, methods: [POST], class: orders}
endpoints:
  - name: engine-1
    domain: hall
    address: 127.0.0.1:9001
    pools: [small]
    slots: 8
  - name: book-1
    domain: hall
    address: 127.0.0.1:9002
    pools: [book]
    slots: 4
)";
}

// `aCount` teams, "team-0" and up; each token is the team's name.
inline std::string
SampleTeams(std::size_t aCount)
{
  std::string text = "teams:\n";
  for (std::size_t each = 0; each < aCount; ++each) {
    const std::string name = "team-" + std::to_string(each);
    text += "  - name: " + name + "\n    token_digests: [" + TokenDigest(name) +
            "]\n    classes: [notes, orders]\n    max_in_flight: 32\n";
  }
  return text;
}

} // namespace thornhollow::internal

#endif // THORNHOLLOW_CONFIG_INTERNAL_SAMPLE_DECLARATIONS_H_
