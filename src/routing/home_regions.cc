#include "routing/home_regions.h"

#include <algorithm>
#include <set>
#include <string>

namespace sassafras {

namespace {

// Value of a hexadecimal digit; -1 if it is none.
int HexValue(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  return -1;
}

std::string DecodeEscapes(std::string_view path) {
  std::string out;
  for (size_t i = 0; i < path.size(); ++i) {
    const bool is_escape = path[i] == '%' && i + 2 < path.size() &&
                           HexValue(path[i + 1]) >= 0 &&
                           HexValue(path[i + 2]) >= 0;
    if (!is_escape) {
      out += path[i];
      continue;
    }
    out +=
        static_cast<char>(HexValue(path[i + 1]) * 16 + HexValue(path[i + 2]));
    i += 2;
  }
  return out;
}

std::string MergeSlashes(std::string_view path) {
  std::string out;
  for (const char it : path) {
    if (it != '/' || out.empty() || out.back() != '/')
      out += it;
  }
  return out;
}

// Resolves the segments "." and "..".
std::string RemoveDotSegments(std::string_view path) {
  std::vector<std::string_view> segments;
  size_t begin = 0;
  while (begin <= path.size()) {
    const size_t end = std::min(path.find('/', begin), path.size());
    const std::string_view it = path.substr(begin, end - begin);
    const bool is_last = end == path.size();
    if (it == "..") {
      // The first segment is the empty one before the leading slash.
      if (segments.size() > 1)
        segments.pop_back();
    } else if (it != ".") {
      segments.push_back(it);
    }
    if (is_last && (it == "." || it == ".."))
      segments.emplace_back();
    begin = end + 1;
  }
  std::string out;
  for (size_t i = 0; i < segments.size(); ++i) {
    if (i > 0)
      out += '/';
    out += segments[i];
  }
  return out;
}

// Limits the work for one path. One with more equivalent paths is bound by the
// homes of all routes of its host name.
constexpr size_t kMaxEquivalentPaths = 64;

// Returns the paths that an endpoint may normalize `path` to; empty if there is
// nothing to normalize.
std::set<std::string> EquivalentPaths(std::string_view path) {
  const bool is_plain = path.find('%') == std::string_view::npos &&
                        path.find("//") == std::string_view::npos &&
                        path.find("/.") == std::string_view::npos;
  if (is_plain)
    return {};
  std::set<std::string> out = {std::string(path)};
  std::vector<std::string> pending(out.begin(), out.end());
  while (!pending.empty() && out.size() < kMaxEquivalentPaths) {
    const std::string next = std::move(pending.back());
    pending.pop_back();
    for (const std::string& it :
         {DecodeEscapes(next), MergeSlashes(next), RemoveDotSegments(next)}) {
      if (out.insert(it).second)
        pending.push_back(it);
    }
  }
  return out;
}

}  // namespace

void Restrict(HomeRegions& homes, const HomeRegions& other) {
  if (!other.is_bound)
    return;
  if (!homes.is_bound) {
    homes = other;
    return;
  }
  homes.regions.erase(
      std::remove_if(homes.regions.begin(), homes.regions.end(),
                     [&](const RegionId& it) { return !IsHome(other, it); }),
      homes.regions.end());
}

HomeRegions HomesOfRoute(const RequestRoute& route) {
  return {route.is_unreadable || !route.home_regions.empty(),
          route.home_regions};
}

HomeRegions HomesOfRequest(const SteeringConfig& config,
                           std::string_view host,
                           std::string_view path) {
  HomeRegions homes;
  if (const RequestRoute* route = FindRoute(config, host, path))
    homes = HomesOfRoute(*route);
  const std::set<std::string> equivalent = EquivalentPaths(path);
  if (equivalent.size() >= kMaxEquivalentPaths)
    Restrict(homes, CommonHomes(config, host));
  for (const std::string& it : equivalent) {
    if (const RequestRoute* route = FindRoute(config, host, it))
      Restrict(homes, HomesOfRoute(*route));
  }
  return homes;
}

HomeRegions CommonHomes(const SteeringConfig& config, std::string_view host) {
  HomeRegions homes;
  if (const std::vector<RequestRoute>* routes = FindRoutes(config, host)) {
    for (const RequestRoute& it : *routes)
      Restrict(homes, HomesOfRoute(it));
  }
  return homes;
}

HomeRegions AllHomes(const SteeringConfig& config, std::string_view host) {
  HomeRegions homes;
  if (const std::vector<RequestRoute>* routes = FindRoutes(config, host)) {
    for (const RequestRoute& it : *routes)
      homes.regions.insert(homes.regions.end(), it.home_regions.begin(),
                           it.home_regions.end());
  }
  homes.is_bound = !homes.regions.empty();
  return homes;
}

bool IsHome(const HomeRegions& homes, const RegionId& region) {
  if (!homes.is_bound)
    return true;
  return !region.empty() &&
         std::find(homes.regions.begin(), homes.regions.end(), region) !=
             homes.regions.end();
}

}  // namespace sassafras
