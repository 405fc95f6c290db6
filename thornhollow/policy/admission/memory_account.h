// Accounts for the bytes that a daemon holds for others: bodies of callers that
// are being read or relayed, and answers that their callers have not taken yet.
//
//   auto account = memory_account_ptr(new memory_account(MemoryLimits(260)));
//   if (auto charge = account->ChargeBody(length)) { ... }  // read the body
//   if (auto charge = account->ChargeAnswer("i-1", size)) { ... }
//
// Bytes are charged before they are taken and given back when the charge is
// destroyed. Bodies and answers have limits of their own, so that answers
// without end leave room for bodies, and the reverse.
#ifndef THORNHOLLOW_POLICY_ADMISSION_MEMORY_ACCOUNT_H_
#define THORNHOLLOW_POLICY_ADMISSION_MEMORY_ACCOUNT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace thornhollow {

// In bytes.
struct memory_limits
{
  std::uint64_t mBodies = 0;
  std::uint64_t mAnswers = 0;

  friend bool operator==(const memory_limits&, const memory_limits&) = default;
};

// The limits of a process that may use `aMemoryMegabytes` (of 10^6 bytes).
memory_limits
MemoryLimits(std::uint32_t aMemoryMegabytes);

struct memory_use
{
  // Held now, in bytes.
  std::uint64_t mBodies = 0;
  std::uint64_t mAnswers = 0;
  // The most that both were together, in bytes.
  std::uint64_t mPeak = 0;
  // Bodies that wait for room now.
  std::size_t mWaiting = 0;

  friend bool operator==(const memory_use&, const memory_use&) = default;
};

enum class memory_event : std::uint8_t
{
  // A body waits for room while no other one does.
  kBodiesBeginToWait,
  kBodyWaits,
  kBodyRefused,
  kAnswerRefused,
};

// A constant name for metrics, such as "memory_body_waits".
std::string_view
Name(memory_event aEvent);

class memory_account;
using memory_account_ptr = boost::intrusive_ptr<memory_account>;

// Bytes that are charged to an account for as long as this lives.
class memory_charge
{
public:
  memory_charge() = default;
  memory_charge(memory_charge&& aOther) noexcept;
  memory_charge& operator=(memory_charge&& aOther) noexcept;
  memory_charge(const memory_charge&) = delete;
  memory_charge& operator=(const memory_charge&) = delete;
  ~memory_charge();

  std::uint64_t Bytes() const { return mBytes; }

private:
  friend class memory_account;
  memory_charge(memory_account_ptr aAccount,
                std::string aEndpoint,
                std::uint64_t aBytes);

  memory_account_ptr mAccount;
  // Empty for a body.
  std::string mEndpoint;
  std::uint64_t mBytes = 0;
};

class memory_account
  : public boost::intrusive_ref_counter<memory_account,
                                        boost::thread_unsafe_counter>
{
public:
  using room_handler = std::function<void(memory_charge)>;
  using waiter_id = std::uint64_t;

  // Bodies up to this size pass by larger ones that wait, and a part of the
  // room is kept for them.
  static constexpr std::uint64_t kSmallBodyBytes = std::uint64_t{ 64 } << 10U;

  explicit memory_account(const memory_limits& aLimits);
  memory_account(const memory_account&) = delete;
  memory_account& operator=(const memory_account&) = delete;
  ~memory_account() = default;

  void OnEvent(std::function<void(memory_event)> aListener);

  // Nothing where the room doesn't suffice now, or an earlier body waits.
  std::optional<memory_charge> ChargeBody(std::uint64_t aBytes);
  // Whether a body of this size finds room once others are given back.
  bool EverFits(std::uint64_t aBytes) const;
  // `aOnRoom` gets the charge once there is room, in the order of the calls.
  // Must be called only after `ChargeBody` had none.
  waiter_id WaitForRoom(std::uint64_t aBytes, room_handler aOnRoom);
  // `aOnRoom` isn't called any more. Does nothing for one that has its room.
  void StopWaiting(waiter_id aWaiter);
  // Raises the charge of a body to `aBytes` in all. False, and no change, where
  // there is no room.
  bool GrowBody(memory_charge& aCharge, std::uint64_t aBytes);
  void OnBodyRefused() { Tell(memory_event::kBodyRefused); }

  // An endpoint's answers may hold as much as is left free of the limit of all
  // answers: half of it for one endpoint, a third for each of two. An endpoint
  // whose answers never end so leaves room for the others.
  std::optional<memory_charge> ChargeAnswer(std::string_view aEndpoint,
                                            std::uint64_t aBytes);
  bool GrowAnswer(memory_charge& aCharge,
                  std::string_view aEndpoint,
                  std::uint64_t aMore);

  memory_use Use() const;
  const memory_limits& Limits() const { return mLimits; }

private:
  friend class memory_charge;
  struct waiter
  {
    std::uint64_t mBytes;
    room_handler mOnRoom;
  };

  bool BodyFits(std::uint64_t aMore, std::uint64_t aSize) const;
  bool AnswerFits(std::string_view aEndpoint, std::uint64_t aMore) const;
  void Add(const std::string& aEndpoint, std::uint64_t aBytes);
  void Release(const std::string& aEndpoint, std::uint64_t aBytes);
  void ServeWaiters();
  void Tell(memory_event aEvent) const;

  memory_limits mLimits;
  std::uint64_t mBodies = 0;
  std::uint64_t mAnswers = 0;
  std::uint64_t mPeak = 0;
  std::map<std::string, std::uint64_t, std::less<>> mByEndpoint;
  // In the order in which they came.
  std::map<waiter_id, waiter> mWaiters;
  waiter_id mLastWaiter = 0;
  std::function<void(memory_event)> mOnEvent;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ADMISSION_MEMORY_ACCOUNT_H_
