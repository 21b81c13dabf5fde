// Converts the settings to the types of the decision logic.
#ifndef DECISIONS_TOPOLOGY_SETTINGS_H_
#define DECISIONS_TOPOLOGY_SETTINGS_H_

#include "base/settings.h"
#include "decisions/topology.h"

namespace sassafras {

Topology MakeTopology(const Settings& settings);

// The host that the settings describe. `settings.host` must be set.
Host MakeSelf(const Settings& settings);

}  // namespace sassafras

#endif  // DECISIONS_TOPOLOGY_SETTINGS_H_
