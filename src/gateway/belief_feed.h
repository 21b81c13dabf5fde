// Brings the store's objects to this host, from the store itself or through a
// relay, and turns them into the gateway's beliefs. A host that is a relay
// passes them on.
#ifndef GATEWAY_BELIEF_FEED_H_
#define GATEWAY_BELIEF_FEED_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/gateway_state.h"
#include "peers/peers.h"
#include "routing/belief_table.h"
#include "routing/relay_choice.h"
#include "store/store.h"

namespace sassafras {

class BeliefFeed {
 public:
  // `on_complete` is called once all that a request needs is known.
  // `on_news` asks to tell other hosts of a change of this one.
  BeliefFeed(GatewayState& state,
             std::function<void()> on_complete,
             std::function<void()> on_news);
  BeliefFeed(const BeliefFeed&) = delete;
  BeliefFeed& operator=(const BeliefFeed&) = delete;

  Result<void> Start();
  // Chooses the source anew and tells the relay that this host lives; called
  // with each round of gossip.
  void OnRound();

 private:
  void ReadFirstLists();
  void TakeStoreChange(const std::string& kind, const StoreChange& change);
  void FollowStore();
  void LogChoice() const;
  void OnMessage(const HostId& from, const Message& message);
  void OnFollowMessage(const HostId& from, const CacheFollow& follow);
  void OnPush(const HostId& from, const CachePush& push);
  void Take(const std::vector<CacheItem>& items);
  void TakeEndpoint(const CacheItem& item);
  void TakeConfig(const CacheItem& item);
  void TakeEvacuation(const CacheItem& item);
  void ApplyChanges(const std::vector<EndpointChange>& changes);
  void OnReachable(bool reachable);
  void ProbeStore();
  Duration Doubt() const;
  void Push(const HostId& to, CachePush push);
  void OnTick();
  void ReadHosts();
  void WriteOwnHost();
  std::optional<Address> AddressOf(const HostId& host) const;

  GatewayState& state_;
  std::function<void()> on_complete_;
  std::function<void()> on_news_;
  std::unique_ptr<Store> store_;
  std::unique_ptr<Mesh> mesh_;
  BeliefTable table_;
  BeliefFollowers followers_;
  FeedChoice choice_;
  Time started_;
  Time store_answered_;  // When the store last answered this host.
  Time probed_;          // When ProbeStore() last asked it.
  std::vector<std::unique_ptr<Watch>> follows_;
  std::unique_ptr<Watch> tick_;
  std::unique_ptr<Watch> own_host_retry_;
  bool is_complete_ = false;
  bool is_probing_ = false;
  bool store_reachable_ = true;
};

}  // namespace sassafras

#endif  // GATEWAY_BELIEF_FEED_H_
