// What the hosts of one zone report about themselves, written to the store by
// one of them for the whole zone.
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
  // Grows with every write, so that a reader sees whether reports go on.
  uint64_t sequence = 0;
  std::vector<HostReport> hosts;
};

}  // namespace sassafras

#endif  // DECISIONS_ZONE_STATUS_H_
