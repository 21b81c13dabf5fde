// Harms connections of processes that this one has started, from outside of
// them. Unlike FaultProxy, it needs no part in how they connect, so it reaches
// connections between two gateways.
#ifndef STANDINS_CONNECTION_FAULTS_H_
#define STANDINS_CONNECTION_FAULTS_H_

#include <sys/types.h>

#include <cstddef>
#include <functional>

#include "base/address.h"

namespace sassafras {

enum class ConnectionFault {
  kReset,  // Both ends see a reset; what they have not read is lost.
  // Nothing more arrives at this end. The connection is silent only if both of
  // its ends are harmed.
  kSilence,
};

using ConnectionFilter =
    std::function<bool(const Address& local, const Address& remote)>;

// Harms the open TCP connections of `process` that `is_hit` accepts. Returns
// how many. Aborts if the system does not let this process do so.
size_t HarmConnections(pid_t process,
                       ConnectionFault fault,
                       const ConnectionFilter& is_hit);

}  // namespace sassafras

#endif  // STANDINS_CONNECTION_FAULTS_H_
