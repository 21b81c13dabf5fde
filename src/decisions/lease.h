// The lease that elects the control process that computes plans and views.
//
// The lease only avoids duplicate work. Two holders at once are harmless,
// because every write is conditional on the store revision that it was derived
// from.
#ifndef DECISIONS_LEASE_H_
#define DECISIONS_LEASE_H_

#include <cstdint>

#include "base/ids.h"
#include "base/time.h"

namespace sassafras {

struct LeaseLimits {
  Duration renew_interval = std::chrono::seconds(1);
  Duration poll_interval = std::chrono::seconds(2);
  // A lease has lapsed if the observer has seen no new revision for this long
  // on its own clock.
  Duration lapse_after = std::chrono::seconds(6);
  // A holder whose last successful renewal is this old stops planning. It is
  // shorter than `lapse_after`, so that it stops before another takes over.
  Duration step_down_after = std::chrono::seconds(4);
};

struct LeaseObject {
  HostId holder;
  uint64_t term = 0;     // Incremented when the holder changes.
  uint64_t renewal = 0;  // Incremented with every write.
};

// The lease as last seen by one process.
struct LeaseView {
  LeaseObject object;
  uint64_t revision = 0;  // In the store; zero if there is no lease yet.
  bool known = false;     // The store has answered at least once.
  Time changed;           // When this process first saw this revision.
  Time renewed;           // When this process sent its last successful write.
};

// Records a lease object read from or written to the store. Ignores revisions
// that are not newer than the known one.
void ObserveLease(LeaseView& view,
                  const LeaseObject& object,
                  uint64_t revision,
                  Time now);

enum class LeaseStep { kWait, kRenew, kAcquire };

// What `self` should do with the lease now. Only a contender acquires a lease
// that it does not hold; a holder renews in any case.
LeaseStep NextLeaseStep(const LeaseView& view,
                        const HostId& self,
                        bool contender,
                        const LeaseLimits& limits,
                        Time now);

// The object that `self` writes to renew or acquire the lease.
LeaseObject NextLease(const LeaseView& view, const HostId& self);

// Whether `self` holds the lease and renewed it recently enough to plan.
bool HoldsLease(const LeaseView& view,
                const HostId& self,
                const LeaseLimits& limits,
                Time now);

}  // namespace sassafras

#endif  // DECISIONS_LEASE_H_
