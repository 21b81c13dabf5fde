// Brings the store's objects to this host, from the store itself or through a
// relay, and turns them into the gateway's beliefs. A host that is a relay
// passes them on.
#ifndef GATEWAY_STORE_CACHE_FEED_H_
#define GATEWAY_STORE_CACHE_FEED_H_

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

class StoreCacheFeed {
 public:
  // `on_complete` is called once all that a request needs is known.
  // `on_self_changed` asks to tell other hosts of a change of this one.
  StoreCacheFeed(GatewayState& state,
                 std::function<void()> on_complete,
                 std::function<void()> on_self_changed);
  StoreCacheFeed(const StoreCacheFeed&) = delete;
  StoreCacheFeed& operator=(const StoreCacheFeed&) = delete;

  Result<void> Start();
  // Chooses the source anew and tells the relay that this host lives; called
  // with each round of gossip.
  void OnRound();

 private:
  void ReadFirstLists();
  void OnStoreChange(const std::string& kind, const StoreChange& change);
  void FollowStore();
  void LogFeedChoice() const;
  void OnMessage(const HostId& from, const Message& message);
  void OnFollowMessage(const HostId& from, const BeliefFollow& follow);
  void OnPush(const HostId& from, const BeliefPush& push);
  void ApplyItems(const std::vector<BeliefItem>& items);
  void ApplyEndpoint(const BeliefItem& item);
  void ApplyConfig(const BeliefItem& item);
  void ApplyEvacuation(const BeliefItem& item);
  void ApplyChanges(const std::vector<EndpointChange>& changes);
  void OnStoreReachable(bool reachable);
  void ProbeStore();
  Duration UnreliableFor() const;
  void Push(const HostId& to, BeliefPush push);
  void OnTick();
  void ReadHosts();
  void WriteOwnHost();
  std::optional<Address> AddressOf(const HostId& host) const;

  GatewayState& state_;
  std::function<void()> on_complete_;
  std::function<void()> on_self_changed_;
  std::unique_ptr<Store> store_;
  std::unique_ptr<Mesh> mesh_;
  BeliefTable table_;
  BeliefFollowers followers_;
  FeedChoice choice_;
  Time started_;
  Time last_store_answer_;  // When the store last answered this host.
  Time last_probe_;         // When ProbeStore() last asked it.
  std::vector<std::unique_ptr<Watch>> store_watches_;
  std::unique_ptr<Watch> tick_;
  std::unique_ptr<Watch> own_host_retry_;
  bool is_complete_ = false;
  bool is_probing_ = false;
  bool store_reachable_ = true;
};

}  // namespace sassafras

#endif  // GATEWAY_STORE_CACHE_FEED_H_
