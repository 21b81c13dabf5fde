// The lease that names the control process which plans.
//
// The lease only saves work: two holders at once are harmless, because every
// write is conditional on the state that it was derived from.
#ifndef DECISIONS_LEASE_H_
#define DECISIONS_LEASE_H_

#include <cstdint>

#include "base/ids.h"
#include "base/time.h"

namespace sassafras {

struct LeaseLimits {
  Duration renew_interval = std::chrono::seconds(1);
  Duration poll_interval = std::chrono::seconds(2);
  // A lease that has not changed for this long, by the observer's own clock,
  // has lapsed.
  Duration lapse_after = std::chrono::seconds(6);
  // A holder that could not renew for this long stops planning.
  Duration step_down_after = std::chrono::seconds(4);
};

struct LeaseObject {
  HostId holder;
  uint64_t term = 0;     // Grows with every change of the holder.
  uint64_t renewal = 0;  // Grows with every renewal.
};

// What one process knows of the lease.
struct LeaseView {
  LeaseObject object;
  uint64_t revision = 0;  // In the store; zero if there is no lease yet.
  bool known = false;
  Time changed;  // When this process first saw this revision.
  Time renewed;  // When this process's last renewal was begun that succeeded.
};

// Records the state of the lease in the store.
void ObserveLease(LeaseView& view,
                  const LeaseObject& object,
                  uint64_t revision,
                  Time now);

enum class LeaseStep { kWait, kRenew, kAcquire };

// What `self` should do about the lease now.
LeaseStep NextLeaseStep(const LeaseView& view,
                        const HostId& self,
                        bool contender,
                        const LeaseLimits& limits,
                        Time now);

// The object that a renewal or a take-over by `self` writes.
LeaseObject NextLease(const LeaseView& view, const HostId& self);

// Whether `self` may plan.
bool HoldsLease(const LeaseView& view,
                const HostId& self,
                const LeaseLimits& limits,
                Time now);

}  // namespace sassafras

#endif  // DECISIONS_LEASE_H_
