// Which endpoint runs a request: slots in use, health, warm-up, paced
// connections and suspects. Shared between the granter's source files only.
#ifndef DECISIONS_GRANTER_CHOICE_H_
#define DECISIONS_GRANTER_CHOICE_H_

#include "decisions/granter.h"

namespace sassafras::granter_choice {

struct Choice {
  Granter::EndpointState* endpoint = nullptr;  // Null to wait.
};

// Slots of the endpoint that new work may use now.
size_t UsableSlots(const Granter& g,
                   const Granter::EndpointState& state,
                   Time now);

// Learns from a request that the endpoint shed.
void OnShed(Granter& g, const EndpointId& endpoint, Time now);

// The fit endpoint with the least part of its slots in use.
Choice ChooseEndpoint(Granter& g,
                      const HostId& host,
                      Fingerprint fingerprint,
                      bool suspect,
                      Time now);

}  // namespace sassafras::granter_choice

#endif  // DECISIONS_GRANTER_CHOICE_H_
