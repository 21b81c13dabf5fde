#include "gateway/reserves.h"

#include "base/log.h"

namespace sassafras {

void RefreshReserves(GatewayState& state) {
  if (!state.config)
    return;
  const Time now = state.loop.Now();
  state.members.own_demands.clear();
  for (const auto& [service, rank] : state.config->long_ranks) {
    ServiceDemand& demand = state.demands[service];
    state.members.own_demands.push_back({ShortHash(service),
                                         DemandedSlots(demand.urgent, now),
                                         DemandedSlots(demand.long_work, now)});
    const FleetDemand fleet =
        EstimateFleetDemand(demand, service, state.members, now);
    const double slots = SlotsInUse(state.endpoints, service);
    const double before = demand.reserved_share;
    if (!UpdateReserve(demand, fleet, slots))
      continue;
    LogLine(LogLevel::kInfo, "placing", "Reserve of urgent requests changed.")
        .With("service", service)
        .With("share", demand.reserved_share)
        .With("before", before)
        .With("urgent_slots", fleet.urgent_slots)
        .With("long_slots", fleet.long_slots)
        .With("slots", slots)
        .With("long_rank", rank)
        .With("hosts", state.AliveHosts());
  }
}

}  // namespace sassafras
