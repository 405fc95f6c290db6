// Interface of a read-only source of items that can be listed and watched.
//
//   source.List("endpoints/", idleTimeout, onBytes,
//               [](list_outcome aOutcome) { ... });
//   source.Watch("endpoints/", 412, wait, idleTimeout, onBytes,
//                [](watch_outcome aOutcome) { ... });
//
#ifndef THORNHOLLOW_DISCOVERY_ITEM_SOURCE_H_
#define THORNHOLLOW_DISCOVERY_ITEM_SOURCE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "thornhollow/base/time.h"
#include "thornhollow/discovery/item_mirror.h"

namespace thornhollow {

// All items under the prefix as of revision `mRevision`.
struct source_listing
{
  std::vector<source_item> mItems;
  std::uint64_t mRevision = 0;

  friend bool operator==(const source_listing&,
                         const source_listing&) = default;
};
// The changes after the requested revision, up to revision `mRevision`; empty
// if the watch's wait elapsed without changes.
struct source_changes
{
  std::vector<item_change> mChanges;
  std::uint64_t mRevision = 0;

  friend bool operator==(const source_changes&,
                         const source_changes&) = default;
};
// The source no longer has the history after the requested revision. A new
// listing is needed.
struct history_gone
{
  friend bool operator==(const history_gone&, const history_gone&) = default;
};
// A call to the source failed; `mDetail` is the reason, for logs.
struct source_failure
{
  std::string mDetail;

  friend bool operator==(const source_failure&,
                         const source_failure&) = default;
};

// Called while a response of the source is received, with the number of bytes
// received so far.
using response_progress = std::function<void(std::size_t aBytes)>;

using list_outcome = std::variant<source_listing, source_failure>;
using watch_outcome =
  std::variant<source_changes, history_gone, source_failure>;

class item_source
{
public:
  item_source() = default;
  item_source(const item_source&) = delete;
  item_source& operator=(const item_source&) = delete;
  virtual ~item_source() = default;

  // Lists all items under `aPrefix`. Calls `aDone` once, asynchronously; with a
  // failure if `aIdleTimeout` passes without any part of the response arriving.
  virtual void List(const std::string& aPrefix,
                    duration aIdleTimeout,
                    response_progress aOnBytes,
                    std::function<void(list_outcome)> aDone) = 0;

  // Waits up to `aWait` for changes after revision `aAfter`. Calls `aDone`
  // once, asynchronously; with a failure if, after the wait has elapsed,
  // `aIdleTimeout` passes without any part of the response arriving.
  virtual void Watch(const std::string& aPrefix,
                     std::uint64_t aAfter,
                     duration aWait,
                     duration aIdleTimeout,
                     response_progress aOnBytes,
                     std::function<void(watch_outcome)> aDone) = 0;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DISCOVERY_ITEM_SOURCE_H_
