// How long each source of a host's state takes to deliver versions of the
// configuration: the store, and each relay that the host follows. For logs and
// metrics; decides nothing.
#ifndef ROUTING_CONFIG_DELIVERY_H_
#define ROUTING_CONFIG_DELIVERY_H_

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "decisions/store_position.h"

namespace sassafras {

struct ConfigDelivery {
  struct Version {
    uint64_t number = 0;
    StorePosition position;
    Time known_at;  // When the first source delivered it.
    // Before the first source delivered it: time since the state was last known
    // to be current.
    Duration state_age{};
    std::set<std::string> delivered_by;
  };
  std::deque<Version> versions;  // Oldest first.
};

// Later deliveries of versions before these are not reported.
inline constexpr size_t kTrackedVersions = 16;

// A source has delivered a version that no source had delivered before.
// `state_age`: time since the host's state was last known to be current.
void OnNewVersion(ConfigDelivery& delivery,
                  uint64_t number,
                  const StorePosition& position,
                  Duration state_age,
                  Time now);

struct DeliveredVersion {
  uint64_t number = 0;
  bool is_first = false;  // No other source had delivered it before.
  // Since the first source delivered it; for the first one, the time that it
  // took at most.
  Duration time{};
};

// `source` has delivered all changes of the configuration up to `as_of`.
// Returns the versions that it had not delivered before.
std::vector<DeliveredVersion> OnDelivered(ConfigDelivery& delivery,
                                          const std::string& source,
                                          const StorePosition& as_of,
                                          Time now);

}  // namespace sassafras

#endif  // ROUTING_CONFIG_DELIVERY_H_
