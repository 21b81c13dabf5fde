#include "routing/steering_config.h"

#include <algorithm>
#include <cctype>

#include "base/hash.h"

namespace sassafras {

namespace {

std::string HostName(std::string_view host) {
  std::string name(host.substr(0, host.rfind(':')));
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return name;
}

bool BeginsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

}  // namespace

void SortRoutes(SteeringConfig& config) {
  for (auto& [host, routes] : config.hosts) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const RequestRoute& a, const RequestRoute& b) {
                       return a.path_prefix.size() > b.path_prefix.size();
                     });
  }
}

const RequestRoute* FindRoute(const SteeringConfig& config,
                              std::string_view host,
                              std::string_view path) {
  const auto it = config.hosts.find(HostName(host));
  if (it == config.hosts.end())
    return nullptr;
  for (const RequestRoute& route : it->second) {
    if (BeginsWith(path, route.path_prefix))
      return &route;
  }
  return nullptr;
}

const ServiceId& ChooseService(const RequestRoute& route, uint64_t hash) {
  double total = 0;
  for (const SplitPart& it : route.parts)
    total += it.weight;
  double left = UnitInterval(hash) * total;
  for (const SplitPart& it : route.parts) {
    if (left < it.weight)
      return it.service;
    left -= it.weight;
  }
  // Rounding may leave a remainder behind the last part.
  return route.parts.back().service;
}

}  // namespace sassafras
