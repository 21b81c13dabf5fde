#include "routing/restored_state.h"

namespace sassafras {

bool UndoesLeaving(const EndpointSet& set, const EndpointRecord& record) {
  if (set.ended.count(IncarnationOf(record)) > 0)
    return true;
  const auto it = set.by_id.find(record.id);
  return it != set.by_id.end() && !record.draining &&
         it->second->incarnation == IncarnationOf(record) &&
         it->second->state == EndpointState::kDraining;
}

void HoldItem(RestoredState& state,
              const CacheItem& item,
              Duration time,
              Time now) {
  CacheItem held = item;
  held.is_restored = false;
  state.held[{item.kind, item.name}] = {std::move(held), now + time};
}

void DropHeldItem(RestoredState& state, const CacheItem& item) {
  state.held.erase({item.kind, item.name});
}

std::vector<CacheItem> TakeDueItems(RestoredState& state, Time now) {
  std::vector<CacheItem> due;
  for (auto it = state.held.begin(); it != state.held.end();) {
    if (now < it->second.due) {
      ++it;
      continue;
    }
    due.push_back(std::move(it->second.item));
    it = state.held.erase(it);
  }
  return due;
}

}  // namespace sassafras
