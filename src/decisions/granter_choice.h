// Chooses the endpoint that runs a request, by slots in use, health, slow
// start, connection pacing and suspects. Internal to the granter.
#ifndef DECISIONS_GRANTER_CHOICE_H_
#define DECISIONS_GRANTER_CHOICE_H_

#include "decisions/granter.h"

namespace sassafras::granter_choice {

struct Choice {
  // Null if no endpoint can run the request now.
  Granter::EndpointState* endpoint = nullptr;
};

// Number of slots of the endpoint that may be in use now; 0 if it is leaving,
// ejected or down, otherwise at least 1.
size_t UsableSlots(const Granter& g,
                   const Granter::EndpointState& state,
                   Time now);

// Reduces `observed_slots` to the number of other requests that were running
// when the endpoint shed one.
void OnShed(Granter& g, const EndpointId& endpoint, Time now);

// Returns an endpoint that already runs a copy of the request, if it can run
// another; otherwise the one with the lowest fraction of its slots in use.
Choice ChooseEndpoint(Granter& g,
                      const HostId& host,
                      Fingerprint fingerprint,
                      bool suspect,
                      Time now);

}  // namespace sassafras::granter_choice

#endif  // DECISIONS_GRANTER_CHOICE_H_
