#include "decisions/lease.h"

namespace sassafras {

void ObserveLease(LeaseView& view,
                  const LeaseObject& object,
                  uint64_t revision,
                  Time now) {
  if (view.known && revision <= view.revision)
    return;
  view.known = true;
  view.object = object;
  view.revision = revision;
  view.changed = now;
}

LeaseStep NextLeaseStep(const LeaseView& view,
                        const HostId& self,
                        bool contender,
                        const LeaseLimits& limits,
                        Time now) {
  if (!view.known)
    return LeaseStep::kWait;
  if (view.revision != 0 && view.object.holder == self) {
    return now - view.renewed >= limits.renew_interval ? LeaseStep::kRenew
                                                       : LeaseStep::kWait;
  }
  if (!contender)
    return LeaseStep::kWait;
  if (view.revision == 0 || now - view.changed >= limits.lapse_after)
    return LeaseStep::kAcquire;
  return LeaseStep::kWait;
}

LeaseObject NextLease(const LeaseView& view, const HostId& self) {
  LeaseObject next = view.object;
  if (next.holder != self) {
    next.holder = self;
    ++next.term;
  }
  ++next.renewal;
  return next;
}

bool HoldsLease(const LeaseView& view,
                const HostId& self,
                const LeaseLimits& limits,
                Time now) {
  return view.known && view.object.holder == self && view.renewed != Time() &&
         now - view.renewed < limits.step_down_after;
}

}  // namespace sassafras
