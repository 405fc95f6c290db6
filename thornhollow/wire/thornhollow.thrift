// Messages between daemons, in Thrift's compact protocol.
//
// Every field may be absent and unknown fields are skipped, so daemons of two
// releases understand each other. A field's number is never used again.
//
// Generate with:
//   thrift --gen cpp:no_skeleton -out thornhollow/wire/generated \
//     thornhollow/wire/thornhollow.thrift
namespace cpp thornhollow.wire

struct member_digest {
  1: string name
  2: string address
  3: i64 epoch
  4: i64 revision
  5: i32 status
  6: bool draining
}

struct pool_pressure {
  1: string pool
  2: i32 lowest_admitted
  3: i64 higher_wait_us
  4: i64 age_ms
}

struct leaving_endpoint {
  1: string endpoint
  2: i64 stamp
  3: i64 remaining_ms
}

// A manifest by the platform's version and the 32 bytes of its SHA-256.
struct revision {
  1: i64 version
  2: binary digest
}

struct config_word {
  1: optional revision in_force
  2: optional revision newest
  3: i64 platform_age_ms
}

// The end of an endpoint's process, and what was open there.
struct endpoint_end {
  // The lowest 32 bits of the hash of the endpoint's name.
  1: i32 endpoint
  2: i32 age_ms
  // Eight bytes for each request, the lowest first; those that ran there as a
  // trial stand in `trials` alone.
  3: binary suspects
  4: binary trials
  // How far these requests had got; not told: without output.
  5: optional i32 progress
  // How long the latest run that ended there had gone on.
  6: optional i32 ran_for_ms
}

struct suspect_run {
  1: i64 request
  2: i32 endpoint
  3: i64 instance
  4: i32 number
  // 0: ended.
  5: i32 remaining_ms
  6: bool reserves
  7: bool started
}

struct suspect_clearance {
  1: i64 request
  2: i32 age_ms
  // How far a run got; not told: to its first output.
  3: optional i32 proof
}

struct crash_report {
  1: list<endpoint_end> ends
  2: list<suspect_run> runs
  3: list<suspect_clearance> clearances
}

struct gossip_message {
  1: i32 kind
  2: i64 exchange
  3: string domain
  4: member_digest sender
  5: string target
  6: list<member_digest> members
  7: i64 configuration_version
  8: list<pool_pressure> pressures
  9: list<leaving_endpoint> leaving
  // 10 was a word on each datagram.
  11: optional i64 platform_age_ms
  12: optional crash_report crashes
  13: optional i64 crash_digest
}

struct claim_request {
  1: i32 kind
  2: i64 key
  3: i64 fingerprint
  4: string holder
  5: i64 holder_epoch
  6: i64 claim
  7: list<string> witnesses
  8: i32 round
}

struct claim_answer {
  1: i64 key
  2: i64 claim
  3: string witness
  4: i32 verdict
  5: bool vouches
  6: i32 round
}

struct part_request {
  1: string digest
}

struct part_answer {
  1: string digest
  2: bool found
  3: binary bytes
}

// Asks whether the receiver serves requests to a pool for the sender.
struct forward_query {
  1: string pool
  2: i64 configuration
}

struct forward_offer {
  // Where it takes them; empty: it doesn't.
  1: string address
  2: bool in_contact
  3: i32 in_progress
}

// Exactly one field is set.
struct stream_message {
  1: optional claim_request ask_claim
  2: optional claim_answer answer_claim
  3: optional part_request ask_part
  4: optional part_answer answer_part
  // 5 and 6 were another form of the word.
  7: optional config_word word
  8: optional forward_query ask_forward
  9: optional forward_offer answer_forward
}

// What the message authentication code covers.
struct envelope {
  1: string sender
  2: i64 epoch
  3: i64 sequence
  4: binary payload
}

// Between relaying instances.

struct endpoint_work {
  // The lowest 32 bits of the hash of the endpoint's name.
  1: i32 endpoint
  2: i64 to_read
  // 3 was per_s.
  4: i32 pace_ns
  5: i32 open
}

// Whole numbers, as they take two or three bytes where a double takes eight.
struct kind_demand {
  1: i32 target_ms
  2: i32 pause_ms
  3: i64 requests_per_100_s
  4: i64 tokens_per_s
  // The mean size of a prompt, weighted by size: squares over tokens.
  5: i64 weighted_tokens
  6: i64 open
}

struct pool_demand {
  1: string pool
  // 2 and 3 were two sums over all kinds.
  4: list<kind_demand> kinds
  5: i64 read_per_s
  // How many instances saw that, in the mean; not told: one.
  6: optional i32 read_seen
}

// Of so many instances.
struct summed_views {
  1: i32 instances
  2: list<pool_demand> demand
}

struct told_sums {
  1: i32 level
  2: summed_views run
  3: summed_views rest
}

// Whether the teller reaches endpoints of a pool.
struct pool_contact {
  // A hash of the pool's name.
  1: i32 pool
  2: bool reached
}

// Bounds that a process of an endpoint named for all instances together; none:
// it names none any more.
struct endpoint_bounds {
  // A hash of the process.
  1: i64 process
  // Since it said so.
  2: i32 age_ms
  3: optional i64 refusals_per_1000_s
  4: optional i64 requests_per_1000_s
}

// What an instance knows of the beginning of a stream.
struct origin_word {
  1: bool known
  // A hash of pool and version; 0: it can't be told.
  2: i64 version
  // Of the versions of the pool that were listed lately.
  3: i32 listed
  4: i64 listed_version
}

struct origin_question {
  1: i64 number
  2: i64 stream
  3: string pool
}

struct origin_answer {
  1: i64 number
  2: origin_word word
}

// Exactly one field is set.
struct origin_message {
  // Sixteen bytes for each stream, the lowest first: its key, and its version
  // as in `origin_word`.
  1: optional binary told
  2: optional origin_question question
  3: optional origin_answer answer
}

// What instances have at endpoints, between an instance and a holder.
struct load_message {
  // 0: a report, 1: a question, 2: an answer.
  1: i32 kind
  // Of a question, and repeated in its answer.
  2: i32 number
  3: list<endpoint_work> work
}

// A failure domain that is back in service.
struct returned_domain {
  1: string domain
  // Since the teller knows.
  2: i32 age_ms
}

struct relay_hello {
  1: string address
  2: string domain
  3: i64 configuration_at
  4: i64 endpoints_at
  5: list<string> peers
  6: list<endpoint_work> work
  7: list<pool_demand> demand
  8: bool wants_answer
  9: bool source_fails
  // Work, demand and peers are left out: those told before hold on.
  10: bool brief
  // Beside `brief` only.
  11: optional told_sums sums
  // Since the source last answered the teller.
  12: optional i32 source_answer_age_ms
  // What the teller's link carries, in Mbit/s.
  13: optional i32 link_megabits
  // Beside `brief` only.
  14: optional crash_report crashes
  15: optional i64 crash_digest
  // Where the teller takes requests that other instances forward, at the host
  // of `address`; not told: nowhere.
  16: optional i32 forward_port
  // Requests in progress at the teller.
  17: optional i32 in_progress
  18: optional list<pool_contact> contacts
  // Hashes of endpoints' processes that said in an answer that they leave.
  19: optional list<i64> leaving
  // Beside `brief` only.
  20: optional origin_message origins
  21: optional list<endpoint_bounds> bounds
  // Hashes of the names of pools to whose endpoints the teller sends no more
  // now, by bounds that they named.
  22: optional list<i32> pools_at_bound
  // Beside `brief` only.
  23: optional load_message load
  24: optional list<returned_domain> returned
}

struct items_request {
  1: i32 kind
  2: i64 after
  // `packed` of the answer is understood.
  3: bool takes_packed
}

struct source_item {
  1: string key
  2: binary value
  3: i64 revision
  4: bool removed
}

struct items_answer {
  1: i32 kind
  2: i64 at
  3: list<source_item> items
  // The items are what changed after the revision that was asked with.
  4: bool changes_only
  // Since the source came back from an outage, if that is not long ago.
  5: optional i32 source_back_for_ms
  // In place of `items`: the same, as an items_answer with nothing else,
  // compressed, and its size before.
  6: optional binary packed
  7: optional i32 unpacked_bytes
}
