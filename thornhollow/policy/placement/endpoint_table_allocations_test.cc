// Counts the allocations made while an endpoint is chosen for one request.
// Replaces operator new of the whole test program by one that counts while
// `gCounting` is set.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <new>
#include <string>

#include <doctest/doctest.h>
#include <malloc.h>

#include "thornhollow/policy/placement/endpoint_table.h"

namespace {

bool gCounting = false;
std::size_t gAllocations = 0;
// Bytes allocated and not yet freed, counted by the usable size of the
// allocations.
std::size_t gBytes = 0;

// Allocates and counts memory. Returns null if out of memory.
void*
Allocate(std::size_t aSize) noexcept
{
  void* const made = std::malloc(aSize == 0 ? 1 : aSize);
  if (gCounting && made != nullptr) {
    ++gAllocations;
    gBytes += malloc_usable_size(made);
  }
  return made;
}

void
Free(void* aMemory) noexcept
{
  if (gCounting && aMemory != nullptr) {
    gBytes -= malloc_usable_size(aMemory);
  }
  std::free(aMemory);
}

} // namespace

void*
operator new(std::size_t aSize)
{
  if (void* const made = Allocate(aSize)) {
    return made;
  }
  throw std::bad_alloc();
}

// The standard library allocates temporary buffers with this overload.
void*
operator new(std::size_t aSize, const std::nothrow_t& /*aTag*/) noexcept
{
  return Allocate(aSize);
}

void
operator delete(void* aMemory) noexcept
{
  Free(aMemory);
}

void
operator delete(void* aMemory, std::size_t /*aSize*/) noexcept
{
  Free(aMemory);
}

namespace thornhollow {
namespace {

// Prefix of the endpoint names. Longer than the small-string buffer, so that
// each copy of a name allocates.
constexpr const char* kNamePrefix = "an-endpoint-with-a-rather-long-name-";
// Maximum mean number of allocations per decision. A decision returns the
// endpoint's name, which is one allocation if the name is long. Nothing else
// may be allocated per request. CI checks this bound.
constexpr double kMaxAllocationsPerDecision = 1.01;
// Maximum memory per endpoint: its record, name and list entries, and the hash
// tables divided by the number of endpoints.
constexpr std::size_t kMaxBytesPerEndpoint = 2200;

struct counted_table
{
  counted_table() { gCounting = false; }
  ~counted_table() { gCounting = false; }
  counted_table(const counted_table&) = delete;
  counted_table& operator=(const counted_table&) = delete;

  static void Start()
  {
    gAllocations = 0;
    gBytes = 0;
    gCounting = true;
  }

  static declarations Declared(int aCount)
  {
    declarations declared;
    for (int i = 0; i < aCount; ++i) {
      declared.mEndpoints.push_back(
        { endpoint_name(kNamePrefix + std::to_string(i)),
          domain_name("d" + std::to_string(i % 3)),
          "127.0.0.1:1",
          { pool_name("m") },
          8 });
    }
    return declared;
  }

  // Processes a request from the decision to the answer.
  void Serve(work_item& aItem)
  {
    ++aItem.mTicket;
    aItem.mPrefix = aItem.mTicket % 100;
    mNow += Milliseconds(5);
    const auto chosen = mTable.Choose(aItem, {}, mNow);
    mTable.OnSent(*chosen, aItem, mNow);
    mTable.OnFirstToken(*chosen, aItem, Milliseconds(5), mNow);
    mTable.OnEnded(
      *chosen, aItem, attempt_end::kCompleted, 100, Milliseconds(600), mNow);
  }

  time_point mNow{ Seconds(100) };
  endpoint_table mTable{ endpoint_table_settings{}, 1 };
};

TEST_CASE_FIXTURE(counted_table,
                  "endpoint_table/thousand_requests/one_allocation_each")
{
  mTable.Configure(Declared(850), domain_name("d0"), mNow);
  work_item item;
  item.mPool = pool_name("m");
  item.mClass = class_name("c");
  for (int i = 0; i < 1000; ++i) {
    Serve(item);
  }
  Start();
  for (int i = 0; i < 1000; ++i) {
    Serve(item);
  }
  gCounting = false;
  CHECK(static_cast<double>(gAllocations) / 1000 <= kMaxAllocationsPerDecision);
}

TEST_CASE_FIXTURE(counted_table,
                  "endpoint_table/thousand_endpoints/memory_of_each_bounded")
{
  const declarations declared = Declared(1000);
  endpoint_table_settings settings;
  settings.mSubset.mMaxPerPool = 1000;
  mTable = endpoint_table(settings, 1);
  Start();
  mTable.Configure(declared, domain_name("d0"), mNow);
  gCounting = false;
  MESSAGE("bytes per endpoint: " << gBytes / 1000);
  CHECK(gBytes / 1000 <= kMaxBytesPerEndpoint);
}

} // namespace
} // namespace thornhollow
