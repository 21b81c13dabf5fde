// What the tasks of a gateway process share: its beliefs and its connections
// to endpoints. All of it belongs to the process's one thread.
#ifndef GATEWAY_GATEWAY_STATE_H_
#define GATEWAY_GATEWAY_STATE_H_

#include <functional>
#include <memory>
#include <random>
#include <unordered_map>

#include "base/loop.h"
#include "base/metrics.h"
#include "gateway/endpoint_pool.h"
#include "gateway/gateway_settings.h"
#include "routing/admission.h"
#include "routing/attempt.h"
#include "routing/body_sizes.h"
#include "routing/crash_history.h"
#include "routing/endpoint_set.h"
#include "routing/host_members.h"
#include "routing/placement.h"
#include "routing/steering_config.h"
#include "routing/urgent_reserve.h"

namespace sassafras {

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
  PlacementContext placement;
  AdmissionState admission;
  BodySizes body_sizes;
  CrashHistory crashes;
  ServiceDemands demands;
  std::unordered_map<ServiceId, RetryAllowance> retries;
  EndpointPool pool;
  Metrics metrics;
  std::mt19937_64 random;
  // Tells all hosts at once what this one has learnt.
  std::function<void()> announce = [] {};
  // SIGTERM has arrived: answers close their connections.
  bool stopping = false;
  Time exit_at;  // When a stopping process ends, whatever is open.
  // Requests that callers wait for.
  size_t open_exchanges = 0;
};

}  // namespace sassafras

#endif  // GATEWAY_GATEWAY_STATE_H_
