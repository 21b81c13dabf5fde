// The reports of all hosts of one zone. One host of the zone collects them and
// writes them to the store.
#ifndef DECISIONS_ZONE_STATUS_H_
#define DECISIONS_ZONE_STATUS_H_

#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "decisions/messages.h"

namespace sassafras {

struct ZoneStatus {
  ZoneId zone;
  HostId reporter;
  // Incremented with every write, so that a reader can detect that the reports
  // have stopped.
  uint64_t sequence = 0;
  std::vector<HostReport> hosts;
};

}  // namespace sassafras

#endif  // DECISIONS_ZONE_STATUS_H_
