// The operator's configuration in effect: which requests go to which service,
// how often they may be sent and how long they may take.
#ifndef ROUTING_STEERING_CONFIG_H_
#define ROUTING_STEERING_CONFIG_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/names_table.h"
#include "base/time.h"

namespace sassafras {

enum class RouteKind {
  kIdempotent,     // May run more than once.
  kNonIdempotent,  // Runs at most once per attempt of the caller.
  kUpload,         // As kNonIdempotent, with a large body.
  kDownload,       // As kIdempotent, with a large answer.
};

template <>
struct NamesTable<RouteKind> {
  static constexpr EnumName<RouteKind> kNames[] = {
      {RouteKind::kIdempotent, "idempotent"},
      {RouteKind::kNonIdempotent, "non_idempotent"},
      {RouteKind::kUpload, "upload"},
      {RouteKind::kDownload, "download"},
  };
};

constexpr bool MayRepeat(RouteKind kind) {
  return kind == RouteKind::kIdempotent || kind == RouteKind::kDownload;
}

// A service's share of a route's requests.
struct TrafficShare {
  ServiceId service;
  double weight = 1.0;
};

struct RequestRoute {
  std::string name;
  std::string path_prefix;  // Starts and ends with a slash.
  RouteKind kind = RouteKind::kIdempotent;
  Duration timeout = std::chrono::seconds(10);
  // Answers within this time from the caller's first attempt get the full
  // score.
  Duration target_latency = std::chrono::seconds(1);
  int priority = 0;      // 0 is the most urgent.
  int max_attempts = 1;  // Limit of endpoints that one request is sent to.
  bool sticky = false;   // Endpoints are faster for objects they have handled.
  std::vector<RegionId> home_regions;        // Empty: any region.
  std::vector<TrafficShare> traffic_shares;  // At least one.
  // Its services or home regions cannot be read; its requests are refused.
  bool is_unreadable = false;
};

struct ServiceConfig {
  ServiceId name;
  int max_connections = 0;       // Per endpoint, over all hosts; 0 if unknown.
  Duration warmup_time{};        // After an endpoint's start.
  double warmup_per_second = 0;  // Limit of requests to a cold endpoint.
};

// Limits on a caller's request: its size, the time to receive its head, and how
// long a connection may be idle.
struct RequestLimits {
  uint64_t head_bytes = 16 << 10;
  uint64_t body_bytes = 64 << 20;
  Duration head_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

struct SteeringConfig {
  uint64_t version = 0;
  RequestLimits limits;
  // Routes by normalized host name, longest prefix first; see SortRoutes().
  std::unordered_map<std::string, std::vector<RequestRoute>> hosts;
  bool has_home_regions = false;  // Any route has some; see SortRoutes().
  std::unordered_map<ServiceId, ServiceConfig> services;
  // For each service with long work: requests with this priority value or a
  // greater one are long compared to the more urgent ones; see
  // FindLongWorkPriorities().
  std::unordered_map<ServiceId, int> long_work_priorities;
  // Parts that cannot be read: what and why of the first few, and how many.
  // They have defaults, or are left out.
  std::vector<std::string> unreadable;
  size_t unreadable_count = 0;
};

// The form in which host names are compared: lower case, without port.
std::string NormalizeHostName(std::string_view host);

// Sorts each host name's routes as FindRoute() requires. Sets
// `has_home_regions`.
void SortRoutes(SteeringConfig& config);

// Fills `long_work_priorities`. The routes of a service are divided at a
// priority if all routes from there on have target latencies that are several
// times those of all more urgent routes. Services without such a gap get no
// entry.
void FindLongWorkPriorities(SteeringConfig& config);

// Whether requests of `route` are long work for `service`.
bool IsLongWork(const SteeringConfig& config,
                const ServiceId& service,
                const RequestRoute& route);

// The routes of `host` (with or without port, in any case), longest prefix
// first; null if it has none.
const std::vector<RequestRoute>* FindRoutes(const SteeringConfig& config,
                                            std::string_view host);

// The route with the longest prefix of `path` (without query) among those of
// `host`, see FindRoutes(); null if there is none.
const RequestRoute* FindRoute(const SteeringConfig& config,
                              std::string_view host,
                              std::string_view path);

// Chooses the service for a request of `route` by the weights of its traffic
// shares. The same `hash` gives the same service as long as the shares are
// unchanged. `route` must have at least one share.
const ServiceId& ChooseService(const RequestRoute& route, uint64_t hash);

}  // namespace sassafras

#endif  // ROUTING_STEERING_CONFIG_H_
