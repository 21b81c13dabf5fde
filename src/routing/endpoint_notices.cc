#include "routing/endpoint_notices.h"

namespace sassafras {

bool RecordLeaving(EndpointNotices& notices, uint64_t incarnation, Time now) {
  auto& entries = notices.by_incarnation;
  if (entries.count(incarnation) > 0 || entries.size() >= kMaxNotices)
    return false;
  entries[incarnation] = {{now}, now + kNoticeLifetime};
  return true;
}

}  // namespace sassafras
