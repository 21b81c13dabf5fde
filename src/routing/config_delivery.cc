#include "routing/config_delivery.h"

namespace sassafras {

void OnNewVersion(ConfigDelivery& delivery,
                  uint64_t number,
                  const StorePosition& position,
                  Duration state_age,
                  Time now) {
  delivery.versions.push_back({number, position, now, state_age, {}});
  if (delivery.versions.size() > kTrackedVersions)
    delivery.versions.pop_front();
}

std::vector<DeliveredVersion> OnDelivered(ConfigDelivery& delivery,
                                          const std::string& source,
                                          const StorePosition& as_of,
                                          Time now) {
  std::vector<DeliveredVersion> out;
  for (ConfigDelivery::Version& it : delivery.versions) {
    if (as_of < it.position || as_of.era() != it.position.era())
      continue;
    const bool is_first = it.delivered_by.empty();
    if (it.delivered_by.insert(source).second)
      out.push_back(
          {it.number, is_first, is_first ? it.state_age : now - it.known_at});
  }
  return out;
}

}  // namespace sassafras
