// Follows the platform's store: configuration, endpoints, evacuations and the
// hosts that have started. Turns its objects into the gateway's beliefs.
#ifndef GATEWAY_BELIEF_FEED_H_
#define GATEWAY_BELIEF_FEED_H_

#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "gateway/gateway_state.h"
#include "store/store.h"

namespace sassafras {

class BeliefFeed {
 public:
  // `on_config` is called when another configuration is in force.
  BeliefFeed(GatewayState& state, std::function<void()> on_config);
  BeliefFeed(const BeliefFeed&) = delete;
  BeliefFeed& operator=(const BeliefFeed&) = delete;

  void Start();
  bool is_store_reachable() const { return store_reachable_; }

 private:
  void OnEndpoints(const std::vector<StoreObject>& objects, bool complete);
  void OnConfig(const std::vector<StoreObject>& objects);
  void OnEvacuations(const std::vector<StoreObject>& objects, bool complete);
  void EndEvacuationOf(const ZoneId& zone);
  void ApplyChanges(const std::vector<EndpointChange>& changes);
  void OnReachable(bool reachable);
  void OnTick();
  void ReadHosts();
  void WriteOwnHost();

  GatewayState& state_;
  std::function<void()> on_config_;
  std::unique_ptr<Store> store_;
  std::vector<std::unique_ptr<Watch>> follows_;
  std::unique_ptr<Watch> tick_;
  std::unique_ptr<Watch> own_host_retry_;
  bool store_reachable_ = true;
};

}  // namespace sassafras

#endif  // GATEWAY_BELIEF_FEED_H_
