// The operator's configuration in force: which requests go to which service,
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
  kNonIdempotent,  // Runs at most once for each attempt of the caller.
  kUpload,         // As kNonIdempotent, with a large body.
};

template <>
struct NamesTable<RouteKind> {
  static constexpr EnumName<RouteKind> kNames[] = {
      {RouteKind::kIdempotent, "idempotent"},
      {RouteKind::kNonIdempotent, "non_idempotent"},
      {RouteKind::kUpload, "upload"},
  };
};

constexpr bool MayRepeat(RouteKind kind) {
  return kind == RouteKind::kIdempotent;
}

// A service's share of a route's requests.
struct TrafficShare {
  ServiceId service;
  double weight = 1.0;
};

struct RequestRoute {
  std::string name;
  std::string path_prefix;  // Begins and ends with a slash.
  RouteKind kind = RouteKind::kIdempotent;
  Duration timeout = std::chrono::seconds(10);
  // Answers within this time, from the caller's first try, earn full credit.
  Duration target_latency = std::chrono::seconds(1);
  int priority = 0;      // 0 is the most urgent.
  int max_attempts = 1;  // Endpoints that one request may be sent to.
  bool sticky = false;   // Endpoints are faster on objects they have handled.
  std::vector<RegionId> home_regions;        // Empty: any region.
  std::vector<TrafficShare> traffic_shares;  // At least one.
};

struct ServiceConfig {
  ServiceId name;
  int max_connections = 0;       // Per endpoint, over all hosts; 0: unknown.
  Duration warmup_time{};        // After a start.
  double warmup_per_second = 0;  // Requests that a cold endpoint bears.
};

// What a caller may send, and how long it may take.
struct RequestLimits {
  uint64_t head_bytes = 16 << 10;
  uint64_t body_bytes = 64 << 20;
  Duration head_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

struct SteeringConfig {
  uint64_t version = 0;
  RequestLimits limits;
  // Routes of a host name, longest prefix first; see SortRoutes().
  std::unordered_map<std::string, std::vector<RequestRoute>> hosts;
  std::unordered_map<ServiceId, ServiceConfig> services;
  // Requests of these ranks and lower ones are long for their service, against
  // those that are more urgent; see FindLongWorkPriorities().
  std::unordered_map<ServiceId, int> long_work_priorities;
};

// Brings each host's routes into the order that FindRoute() needs.
void SortRoutes(SteeringConfig& config);

// Fills `long_work_priorities`: a service whose routes of low rank allow answers several
// times the time of all more urgent ones is divided there. Services without
// such a gap get no entry.
void FindLongWorkPriorities(SteeringConfig& config);

// Whether requests of `route` are long for `service`.
bool IsLongWork(const SteeringConfig& config,
                const ServiceId& service,
                const RequestRoute& route);

// The route with the longest prefix of `path` (without query) among those of
// `host` (with or without port); null if there is none.
const RequestRoute* FindRoute(const SteeringConfig& config,
                              std::string_view host,
                              std::string_view path);

// The service that a request of `route` goes to, by the parts' weights. The
// same `hash` gives the same service as long as the parts stay.
const ServiceId& ChooseService(const RequestRoute& route, uint64_t hash);

}  // namespace sassafras

#endif  // ROUTING_STEERING_CONFIG_H_
