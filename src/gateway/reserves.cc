#include "gateway/reserves.h"

#include "base/log.h"

namespace sassafras {

void RefreshReserves(GatewayState& state) {
  if (!state.config)
    return;
  const Time now = state.loop.Now();
  state.members.own_demands = OwnDemands(state.demands, *state.config, now);
  const auto changes = UpdateReserves(state.demands, *state.config,
                                      state.endpoints, state.members, now);
  for (const ReserveChange& it : changes) {
    LogLine(LogLevel::kInfo, "placing",
            "Endpoint share reserved for urgent requests changed.")
        .With("service", it.service)
        .With("share", it.share)
        .With("before", it.before)
        .With("urgent_slots", it.fleet.urgent_slots)
        .With("long_slots", it.fleet.long_slots)
        .With("slots", it.slots)
        .With("hosts", CountAlive(state.members, now));
  }
}

}  // namespace sassafras
