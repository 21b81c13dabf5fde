#include "routing/steering_config.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <optional>

#include "base/hash.h"

namespace sassafras {

namespace {

// Minimum ratio of target latencies between long and short work: short requests
// that wait for a long one miss their own target.
constexpr double kMinLongTargetRatio = 2.5;

// The shortest and longest target latency of the routes of one priority.
struct TargetRange {
  Duration shortest = Duration::max();
  Duration longest{};
};

using TargetsByPriority = std::map<int, TargetRange>;

// Returns the first priority after the widest gap between target latencies, or
// nullopt if no gap is wide enough.
std::optional<int> FindLongWorkPriority(const TargetsByPriority& targets) {
  std::optional<int> long_priority;
  double widest_gap = kMinLongTargetRatio;
  Duration longest_before{};
  for (auto it = targets.begin(); it != targets.end(); ++it) {
    const Duration shortest_behind =
        std::min_element(it, targets.end(), [](const auto& a, const auto& b) {
          return a.second.shortest < b.second.shortest;
        })->second.shortest;
    const double gap = longest_before > Duration(0)
                           ? Seconds(shortest_behind) / Seconds(longest_before)
                           : 0;
    if (gap >= widest_gap) {
      widest_gap = gap;
      long_priority = it->first;
    }
    longest_before = std::max(longest_before, it->second.longest);
  }
  return long_priority;
}

bool BeginsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

}  // namespace

std::string NormalizeHostName(std::string_view host) {
  std::string name(host.substr(0, host.rfind(':')));
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return name;
}

void SortRoutes(SteeringConfig& config) {
  for (auto& [host, routes] : config.hosts) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const RequestRoute& a, const RequestRoute& b) {
                       return a.path_prefix.size() > b.path_prefix.size();
                     });
    config.has_home_regions =
        config.has_home_regions ||
        std::any_of(routes.begin(), routes.end(), [](const RequestRoute& it) {
          return !it.home_regions.empty();
        });
  }
}

void FindLongWorkPriorities(SteeringConfig& config) {
  std::unordered_map<ServiceId, TargetsByPriority> services;
  for (const auto& [host, routes] : config.hosts) {
    for (const RequestRoute& route : routes) {
      for (const TrafficShare& share : route.traffic_shares) {
        if (share.weight <= 0)
          continue;
        TargetRange& range = services[share.service][route.priority];
        range.shortest = std::min(range.shortest, route.target_latency);
        range.longest = std::max(range.longest, route.target_latency);
      }
    }
  }
  config.long_work_priorities.clear();
  for (const auto& [service, targets] : services) {
    if (const auto long_priority = FindLongWorkPriority(targets))
      config.long_work_priorities[service] = *long_priority;
  }
}

bool IsLongWork(const SteeringConfig& config,
                const ServiceId& service,
                const RequestRoute& route) {
  const auto it = config.long_work_priorities.find(service);
  return it != config.long_work_priorities.end() &&
         route.priority >= it->second;
}

const std::vector<RequestRoute>* FindRoutes(const SteeringConfig& config,
                                            std::string_view host) {
  const auto it = config.hosts.find(NormalizeHostName(host));
  return it == config.hosts.end() ? nullptr : &it->second;
}

const RequestRoute* FindRoute(const SteeringConfig& config,
                              std::string_view host,
                              std::string_view path) {
  const std::vector<RequestRoute>* routes = FindRoutes(config, host);
  if (!routes)
    return nullptr;
  for (const RequestRoute& route : *routes) {
    if (BeginsWith(path, route.path_prefix))
      return &route;
  }
  return nullptr;
}

const ServiceId& ChooseService(const RequestRoute& route, uint64_t hash) {
  double total = 0;
  for (const TrafficShare& it : route.traffic_shares)
    total += it.weight;
  double remaining = UnitInterval(hash) * total;
  for (const TrafficShare& it : route.traffic_shares) {
    if (remaining < it.weight)
      return it.service;
    remaining -= it.weight;
  }
  // Rounding errors may leave a remainder after the last share.
  return route.traffic_shares.back().service;
}

}  // namespace sassafras
