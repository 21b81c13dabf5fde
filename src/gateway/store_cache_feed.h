// Keeps this host's cache of the store's objects up to date, from the store
// itself or through relays, and applies them to the gateway's state. A host
// that is a relay also passes the objects on to its followers.
//
// Handles a store that charges for requests and limits their rate: only a few
// hosts (the relays) watch the store, all others follow them. See
// routing/relay_choice.h.
#ifndef GATEWAY_STORE_CACHE_FEED_H_
#define GATEWAY_STORE_CACHE_FEED_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gateway/gateway_state.h"
#include "peers/peers.h"
#include "routing/config_delivery.h"
#include "routing/relay_choice.h"
#include "routing/restored_state.h"
#include "routing/store_cache.h"
#include "store/store.h"

namespace sassafras {

class StoreCacheFeed {
 public:
  // `on_complete` is called once, when every kind of object has been listed and
  // a valid configuration is known, so that requests can be served.
  // `on_self_changed` is called when this host's own state has changed and
  // other hosts should be told.
  StoreCacheFeed(GatewayState& state,
                 std::function<void()> on_complete,
                 std::function<void()> on_self_changed);
  StoreCacheFeed(const StoreCacheFeed&) = delete;
  StoreCacheFeed& operator=(const StoreCacheFeed&) = delete;

  // Starts listening for other hosts and reads the first lists from the store.
  // Fails if the peer port cannot be bound.
  Result<void> Start();
  // Updates the choice of the source and sends the relays the positions of this
  // host's cache, which also keeps it registered with them. To be called in
  // each gossip round.
  void OnRound();

 private:
  // Updates the choice of the source, and follows another one if it changes.
  void UpdateSource();
  // Updates it as soon as the relays count as cut off, between rounds too.
  void WatchForCutOff();
  void ReadFirstLists();
  void ReadConfigByName();
  // Names that objects of `kind` may have, whether or not they are cached.
  std::set<std::string> ExpectedNames(const std::string& kind) const;
  void OnFirstList(const std::string& kind, const StoreReply& list);
  ListFreshness FreshnessOfFirstList(const std::string& kind) const;
  void OnStoreChange(const std::string& kind, const StoreChange& change);
  void OnCallEnded(StoreStatus status);
  void FollowStore();
  void OnFollowed(const std::string& kind);
  // The state was current `age` ago, by an answer of `source`.
  void Confirm(const std::string& source, Duration age);
  // Writes the source and the relays to the log and to the gateway's state.
  void RecordFeedChoice();
  void LogList(const std::string& kind,
               const StoreChange& list,
               const StorePosition& before,
               size_t changed) const;
  // Handles a new era of the store, if the cache of `kind` has left `before`
  // for one. Must be called before the changes of `kind` are applied.
  void OnNewEra(const std::string& kind,
                const StorePosition& before,
                const std::string& source);
  // Records the versions that `source` has delivered with all changes of the
  // configuration up to `as_of`.
  void RecordDelivery(const std::string& source, const StorePosition& as_of);
  // Time since the state was last confirmed; -1 if it was not since the start.
  int64_t StateAgeMs() const;
  void OnMessage(const HostId& from, const Message& message);
  void OnFollowMessage(const HostId& from, const CacheFollow& follow);
  void OnPush(const HostId& from, const CachePush& push);
  // Asks the relay to send again if `push`, which has been applied, shows that
  // an earlier one was lost.
  void AskAgainAfterLoss(const HostId& relay, const CachePush& push);
  void UpdateComplete();
  // `source`: the relay that sent them, or "store".
  void ApplyItems(const std::vector<CacheItem>& items,
                  const std::string& source);
  // Lets a change by an older copy of the store wait for its owner.
  void Hold(const CacheItem& item, Duration time, const std::string& source);
  void ApplyEndpoint(const CacheItem& item, const std::string& source);
  void ApplyConfig(const CacheItem& item, const std::string& source);
  void ApplyEvacuation(const CacheItem& item, const std::string& source);
  void ApplyChanges(const std::vector<EndpointChange>& changes);
  void OnStoreReachable(bool reachable);
  void ProbeStore();
  // How long a lapsed or removed endpoint record still does not prove that the
  // endpoint left; not positive if it does.
  Duration UnreliableFor() const;
  void Push(const std::vector<HostId>& to, CachePush push);
  void OnTick();
  void ReadHosts();
  void WriteOwnHost();
  std::optional<Address> AddressOf(const HostId& host) const;

  GatewayState& state_;
  std::function<void()> on_complete_;
  std::function<void()> on_self_changed_;
  std::unique_ptr<Store> store_;
  std::unique_ptr<Mesh> mesh_;
  StoreCache table_;
  CacheFollowers followers_;
  RestoredState restored_;
  ConfigDelivery config_delivery_;
  FeedChoice choice_;
  Time started_;
  Time last_store_answer_;  // From the store to this host.
  Time last_probe_;         // When ProbeStore() last sent a request.
  std::vector<std::unique_ptr<Watch>> store_watches_;
  // When the store last answered the follower of each kind with the current
  // state, since it is followed.
  std::map<std::string, Time> followed_at_;
  std::unique_ptr<Watch> tick_;
  std::unique_ptr<Watch> cut_off_timer_;
  std::unique_ptr<Watch> own_host_retry_;
  // The latest era in which this host's own record was written.
  uint64_t own_host_era_ = 0;
  bool is_complete_ = false;
  bool is_probing_ = false;
  bool store_reachable_ = true;
};

}  // namespace sassafras

#endif  // GATEWAY_STORE_CACHE_FEED_H_
