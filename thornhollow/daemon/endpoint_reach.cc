#include "thornhollow/daemon/endpoint_reach.h"

#include <algorithm>
#include <set>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "thornhollow/net/clock.h"

namespace thornhollow {
namespace {

// Endpoints are a few milliseconds away; a lost SYN is retransmitted only after
// one second, and the next probe is sooner.
constexpr duration kProbeTimeout = Milliseconds(300);
// Pools in a hello, which is limited to one packet.
constexpr std::size_t kMaxContacts = 8;

} // namespace

endpoint_reach::endpoint_reach(boost::asio::io_context& aIo,
                               json_log& aLog,
                               metrics& aMetrics)
  : mLog(aLog)
  , mMetrics(aMetrics)
  , mProbe([&aIo](const pool_name& /*aPool*/,
                  const probe_target& aTarget,
                  duration aTimeout,
                  std::function<void(endpoint_probe)> aDone) {
    ProbeEndpoint(aIo, aTarget.mProcess.mAddress, aTimeout, std::move(aDone));
  })
  , mRandom(std::random_device()())
  , mChoice(mRandom())
{
}

endpoint_contact&
endpoint_reach::Contact(const pool_name& aPool)
{
  return mContacts.try_emplace(aPool, endpoint_contact_settings{})
    .first->second;
}

void
endpoint_reach::OnSent(const pool_name& aPool, time_point aNow)
{
  Contact(aPool).OnSent(aNow);
}

void
endpoint_reach::OnAnswer(const pool_name& aPool,
                         bool aNewConnection,
                         time_point aNow)
{
  Contact(aPool).OnAnswer(aNewConnection, aNow);
}

void
endpoint_reach::OnEnded(const pool_name& aPool)
{
  Contact(aPool).OnEnded();
}

void
endpoint_reach::OnConnectFailed(const pool_name& aPool, time_point aNow)
{
  endpoint_contact& contact = Contact(aPool);
  const contact_state before = contact.State();
  contact.OnConnectFailed(aNow);
  LogChange(aPool, before);
  ProbeIfDue(aPool, aNow);
}

void
endpoint_reach::OnTrouble(const pool_name& aPool, time_point aNow)
{
  Contact(aPool).OnTrouble();
  ProbeIfDue(aPool, aNow);
}

void
endpoint_reach::OnEndpointJoined(const pool_name& aPool)
{
  Contact(aPool).OnEndpointJoined();
}

void
endpoint_reach::OnClockGap(time_point aNow)
{
  for (auto& [pool, contact] : mContacts) {
    const contact_state before = contact.State();
    contact.OnClockGap(aNow);
    LogChange(pool, before);
  }
}

bool
endpoint_reach::ShouldForward(const pool_name& aPool, time_point aNow)
{
  const endpoint_contact& contact = Contact(aPool);
  if (contact.State() == contact_state::kReached) {
    return false;
  }
  std::uniform_real_distribution<double> uniform(0, 1);
  return contact.ShouldForward(uniform(mRandom), aNow);
}

bool
endpoint_reach::IsConfirmedLost(const pool_name& aPool, time_point aNow)
{
  return Contact(aPool).IsConfirmedLost(aNow);
}

bool
endpoint_reach::IsOffered(const pool_name& aPool,
                          const std::string& aPeer) const
{
  return mPeers &&
         std::ranges::count(mPeers(aPool), aPeer, &forward_peer::mAddress) > 0;
}

std::optional<std::string>
endpoint_reach::ChoosePeer(const pool_name& aPool,
                           const std::vector<std::string>& aTried)
{
  return mPeers ? mChoice.Choose(mPeers(aPool), aTried) : std::nullopt;
}

std::optional<std::string>
endpoint_reach::ChoosePeerWithRoom(const pool_name& aPool,
                                   const std::vector<std::string>& aTried)
{
  if (!mPeers) {
    return std::nullopt;
  }
  std::vector<forward_peer> peers = mPeers(aPool);
  std::erase_if(peers, &forward_peer::mIsAtBound);
  return mChoice.Choose(peers, aTried);
}

std::vector<pool_contact>
endpoint_reach::Contacts(time_point aNow) const
{
  std::vector<pool_contact> contacts;
  for (const auto& [pool, contact] : mContacts) {
    const auto reached = contact.Reached(aNow);
    if (reached && contacts.size() < kMaxContacts) {
      contacts.push_back({ PoolHash(pool), *reached });
    }
  }
  return contacts;
}

std::optional<bool>
endpoint_reach::Reached(const pool_name& aPool, time_point aNow) const
{
  const auto found = mContacts.find(aPool);
  return found == mContacts.end() ? std::nullopt : found->second.Reached(aNow);
}

std::vector<pool_name>
endpoint_reach::PoolsOutOfContact() const
{
  std::vector<pool_name> pools;
  for (const auto& [pool, contact] : mContacts) {
    if (contact.State() != contact_state::kReached) {
      pools.push_back(pool);
    }
  }
  return pools;
}

std::size_t
endpoint_reach::LostPools() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(mContacts, [](const auto& aEntry) {
      return aEntry.second.State() == contact_state::kLost;
    }));
}

void
endpoint_reach::Tick(time_point aNow)
{
  for (const auto& [pool, contact] : mContacts) {
    ProbeIfDue(pool, aNow);
  }
}

void
endpoint_reach::ProbeIfDue(const pool_name& aPool, time_point aNow)
{
  endpoint_contact& contact = Contact(aPool);
  if (!contact.MayProbe(aNow)) {
    return;
  }
  const contact_state before = contact.State();
  target_list all = mEndpoints(aPool);
  const std::size_t due = contact.TakeProbes(all.size(), aNow);
  LogChange(aPool, before);
  if (due == 0) {
    return;
  }
  for (const probe_target& each : DrawTargets(std::move(all), due)) {
    mMetrics.OnEvent("endpoint_contact_probe");
    mProbe(aPool,
           each,
           kProbeTimeout,
           [this, aPool, process = each.mProcess](endpoint_probe aProbe) {
             const bool accepts = aProbe.mVerdict == probe_verdict::kAccepts;
             if (aProbe.mConnection && mOnSpareConnection) {
               mOnSpareConnection(process, std::move(aProbe.mConnection));
             }
             endpoint_contact& probed = Contact(aPool);
             const contact_state state = probed.State();
             probed.OnProbed(accepts, Now());
             LogChange(aPool, state);
           });
  }
}

// Draws endpoints of different failure domains as far as possible: if a whole
// domain can't be reached, the others still prove contact.
endpoint_reach::target_list
endpoint_reach::DrawTargets(target_list aAll, std::size_t aCount)
{
  std::ranges::shuffle(aAll, mRandom);
  std::set<domain_name> seen;
  std::stable_partition(
    aAll.begin(), aAll.end(), [&](const probe_target& aTarget) {
      return seen.insert(aTarget.mDomain).second;
    });
  aAll.resize(std::min(aAll.size(), aCount));
  return aAll;
}

void
endpoint_reach::LogChange(const pool_name& aPool, contact_state aBefore)
{
  const contact_state state = Contact(aPool).State();
  if (state == aBefore) {
    return;
  }
  const auto peers = mPeers ? mPeers(aPool) : std::vector<forward_peer>();
  mLog.Write(
    state == contact_state::kLost ? log_level::kWarning : log_level::kInfo,
    "endpoint_contact",
    { { "pool", aPool.Text() },
      { "state", std::string(Name(state)) },
      { "before", std::string(Name(aBefore)) },
      { "endpoints", static_cast<std::int64_t>(mEndpoints(aPool).size()) },
      { "peers_in_contact",
        std::ranges::count_if(peers, &forward_peer::mInContact) } });
}

} // namespace thornhollow
