// State that the parts of a gateway process share: its view of the
// configuration, endpoints and hosts, and its connections to endpoints. The
// process has one thread, so nothing here is locked.
#ifndef GATEWAY_GATEWAY_STATE_H_
#define GATEWAY_GATEWAY_STATE_H_

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/loop.h"
#include "base/metrics.h"
#include "decisions/messages.h"
#include "gateway/endpoint_connection_pool.h"
#include "gateway/gateway_settings.h"
#include "routing/admission.h"
#include "routing/attempt.h"
#include "routing/body_sizes.h"
#include "routing/crash_history.h"
#include "routing/endpoint_set.h"
#include "routing/host_members.h"
#include "routing/placement.h"
#include "routing/request_buffers.h"
#include "routing/state_freshness.h"
#include "routing/steering_config.h"
#include "routing/unanswered_sends.h"
#include "routing/urgent_reserve.h"

namespace sassafras {

// Where this host's state comes from, for its metrics and state dump.
struct StateSource {
  std::string feed = "none";   // A name of FeedSource.
  std::vector<HostId> relays;  // That this host follows.
  // Up to which its cache includes all changes, by kind of object.
  std::vector<CachePosition> positions;
  // Of the configuration in effect: where it came from, its position there,
  // and when it was applied.
  std::string config_source = "none";
  StorePosition config_position;
  Time config_applied_at;
};

struct GatewayState {
  GatewayState(Loop& event_loop, GatewaySettings all_settings)
      : loop(event_loop),
        settings(std::move(all_settings)),
        pool(event_loop),
        random(std::random_device()()) {}

  Loop& loop;
  GatewaySettings settings;
  // Null until the first configuration has been read.
  std::shared_ptr<const SteeringConfig> config;
  EndpointSet endpoints;
  HostMembers members;
  StateFreshness freshness;
  StateSource source;
  PlacementContext placement;
  AdmissionState admission;
  BodySizes body_sizes;
  CrashHistory crashes;
  UnansweredSends unanswered_sends;
  RequestBuffers request_buffers;
  ServiceDemands demands;
  std::unordered_map<ServiceId, RetryAllowance> retries;
  EndpointConnectionPool pool;
  Metrics metrics;
  std::mt19937_64 random;
  // Sends all hosts what this host has learnt, without waiting for the next
  // gossip round.
  std::function<void()> announce = [] {};
  // Lets callers give way if their requests hold too many bytes.
  std::function<void()> bound_request_bytes = [] {};
  // Set after SIGTERM or SIGINT. Answers then close their connections.
  bool stopping = false;
  // See StopSchedule::no_cuts.
  Time no_cuts_from;
  // When a stopping process answers the requests that are still open.
  Time final_answers_at;
  // Number of requests whose callers wait for an answer.
  size_t open_exchanges = 0;
};

}  // namespace sassafras

#endif  // GATEWAY_GATEWAY_STATE_H_
