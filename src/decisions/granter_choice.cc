#include "decisions/granter_choice.h"

#include <algorithm>
#include <cmath>

namespace sassafras {

namespace granter_choice {

namespace {

Time EarliestConnectTime(const Granter::EndpointState& state,
                         const HostId& host) {
  return state.connected.count(host) ? Time() : state.next_connect;
}

bool CanRun(const Granter& g,
            const Granter::EndpointState& state,
            const HostId& host,
            bool suspect,
            Time now) {
  if (state.runs_suspect || (suspect && !state.running.empty()))
    return false;
  if (state.running.size() >= UsableSlots(g, state, now))
    return false;
  return EarliestConnectTime(state, host) <= now;
}

}  // namespace

size_t UsableSlots(const Granter& g,
                   const Granter::EndpointState& state,
                   Time now) {
  const auto it = g.health.find(state.endpoint.id);
  if (state.endpoint.leaving || it == g.health.end())
    return 0;
  if (IsEjected(it->second, now) || IsDown(it->second, now))
    return 0;
  const double warm = WarmShare(it->second, g.limits.health, now);
  const double recovered =
      state.observed_slots +
      g.limits.slot_recovery * Seconds(now - state.observed_at);
  const double found = std::min<double>(state.endpoint.slots, recovered);
  const double slots = found * warm * g.slot_share;
  return static_cast<size_t>(std::max(1.0, std::floor(slots)));
}

void OnShed(Granter& g, const EndpointId& endpoint, Time now) {
  const auto it = g.endpoints.find(endpoint);
  if (it == g.endpoints.end())
    return;
  Granter::EndpointState& state = it->second;
  // The other running requests are the slots that the endpoint provided.
  const double given = static_cast<double>(state.running.size()) - 1.0;
  state.observed_slots = std::max(1.0, given);
  state.observed_at = now;
}

Choice ChooseEndpoint(Granter& g,
                      const HostId& host,
                      Fingerprint fingerprint,
                      bool suspect,
                      Time now) {
  Choice choice;
  const auto copies = g.copies.find(fingerprint);
  if (copies != g.copies.end()) {
    // Only one copy of a suspect runs at a time, and copies of any request run
    // on few endpoints, so that they cannot crash many endpoints at once.
    if (suspect)
      return choice;
    for (const auto& [id, count] : copies->second) {
      const auto it = g.endpoints.find(id);
      if (it != g.endpoints.end() && CanRun(g, it->second, host, false, now))
        return Choice{&it->second};
    }
    if (copies->second.size() >= g.limits.max_copy_endpoints)
      return choice;
  }
  double best_load = 0;
  for (auto& [id, state] : g.endpoints) {
    if (!CanRun(g, state, host, suspect, now))
      continue;
    const double load = static_cast<double>(state.running.size()) /
                        static_cast<double>(state.endpoint.slots);
    if (!choice.endpoint || load < best_load) {
      choice.endpoint = &state;
      best_load = load;
    }
  }
  return choice;
}

}  // namespace granter_choice

double HealthySlots(const Granter& g, Time now) {
  double slots = 0;
  for (const auto& [id, state] : g.endpoints)
    slots += static_cast<double>(granter_choice::UsableSlots(g, state, now));
  return slots;
}

}  // namespace sassafras
