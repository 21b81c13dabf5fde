// Detects requests that crash the endpoints which run them.
//
// When an endpoint crashes, every request on it becomes a suspect. A suspect
// runs only alone on its endpoint, so that a second crash quarantines no other
// request.
#ifndef DECISIONS_POISON_H_
#define DECISIONS_POISON_H_

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "decisions/messages.h"

namespace sassafras {

struct PoisonLimits {
  Duration suspect_for = std::chrono::minutes(5);
  Duration quarantine_for = std::chrono::minutes(30);
  size_t max_entries = 10000;
};

enum class PoisonStatus { kNotSuspect, kSuspect, kQuarantined };

struct PoisonEntry {
  std::set<DeathId> died;
  bool ran_alone = false;  // The only request at the last crash.
  Time expires;
};

struct PoisonList {
  PoisonLimits limits;
  std::unordered_map<Fingerprint, PoisonEntry> entries;
};

PoisonStatus PoisonStatusOf(const PoisonList& list,
                            Fingerprint fingerprint,
                            Time now);

// Records that an endpoint crashed while it ran the requests `running`.
// Returns the notices to send to the other hosts.
std::vector<PoisonNotice> OnEndpointDied(PoisonList& list,
                                         const DeathId& death,
                                         const std::set<Fingerprint>& running,
                                         Time now);

// Merges a notice of another host.
void OnPoisonNotice(PoisonList& list, const PoisonNotice& notice, Time now);

// Clears a suspect that ran alone without crashing its endpoint.
void ClearSuspect(PoisonList& list, Fingerprint fingerprint);

void DropExpired(PoisonList& list, Time now);

}  // namespace sassafras

#endif  // DECISIONS_POISON_H_
