// The configuration that operators declare, merged from the accepted rows of
// the sheets that they load.
#ifndef DECISIONS_INTENT_H_
#define DECISIONS_INTENT_H_

#include <map>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/priority.h"

namespace sassafras {

// Settings of one priority class of a service.
struct PriorityIntent {
  double weight = 1.0;
  // Fraction of the slots that the class keeps while other classes are
  // flooded with requests, 0 to 1.
  double least_share = 0.0;
};

struct ServiceIntent {
  // Fraction of the service's work per zone, 0 to 1; sums to 1.
  std::map<ZoneId, double> shares;
  PerPriority<PriorityIntent> priorities;
  // Fraction of the service's work that may change zone in one minute, 0 to 1.
  double shift_cap_per_minute = 0.1;
};

// An endpoint that gets no new work from `at_unix_seconds` on.
struct LeavingEndpoint {
  EndpointId endpoint;
  int64_t at_unix_seconds = 0;
};

// Capacity of the network between two regions, each way.
struct LinkBudget {
  RegionId from;
  RegionId to;
  double bits_per_second = 0;
};

struct Intent {
  Version version;
  // Identifies the load that wrote this intent, so that its outcome can be
  // looked up after a lost answer.
  std::string load_id;
  std::string loaded_by;
  int64_t loaded_at_unix_seconds = 0;
  // Hash of the sheet's text.
  uint64_t sheet_hash = 0;
  std::map<ServiceId, ServiceIntent> services;
  std::vector<LeavingEndpoint> leaving;
  // Fraction of a region's slots that is kept free of planned work, 0 to 1.
  std::map<RegionId, double> headroom;
  std::vector<LinkBudget> links;
  // An earlier load.
  struct PastLoad {
    std::string load_id;
    std::string loaded_by;
    Version version;
  };
  // The loads before this one, newest first.
  std::vector<PastLoad> history;
};

// Maximum number of past loads in an intent.
constexpr size_t kMaxPastLoads = 64;
// Headroom of a region for which no headroom was declared.
constexpr double kDefaultHeadroom = 0.1;

inline double HeadroomOf(const Intent& intent, const RegionId& region) {
  const auto it = intent.headroom.find(region);
  return it == intent.headroom.end() ? kDefaultHeadroom : it->second;
}

}  // namespace sassafras

#endif  // DECISIONS_INTENT_H_
