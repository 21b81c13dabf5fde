#include "decisions/poison.h"

namespace sassafras {

namespace {

constexpr size_t kQuarantineDeaths = 2;

bool IsQuarantined(const PoisonEntry& entry) {
  return entry.died.size() >= kQuarantineDeaths && entry.ran_alone;
}

Time ExpiryOf(const PoisonList& list, const PoisonEntry& entry, Time now) {
  return now + (IsQuarantined(entry) ? list.limits.quarantine_for
                                     : list.limits.suspect_for);
}

}  // namespace

PoisonStatus PoisonStatusOf(const PoisonList& list,
                            Fingerprint fingerprint,
                            Time now) {
  const auto it = list.entries.find(fingerprint);
  if (it == list.entries.end() || it->second.expires <= now)
    return PoisonStatus::kNotSuspect;
  return IsQuarantined(it->second) ? PoisonStatus::kQuarantined
                                   : PoisonStatus::kSuspect;
}

std::vector<PoisonNotice> OnEndpointDied(PoisonList& list,
                                         const DeathId& death,
                                         const std::set<Fingerprint>& running,
                                         Time now) {
  std::vector<PoisonNotice> notices;
  const bool alone = running.size() == 1;
  for (const Fingerprint it : running) {
    if (list.entries.size() >= list.limits.max_entries &&
        list.entries.count(it) == 0) {
      continue;
    }
    PoisonEntry& entry = list.entries[it];
    if (entry.expires <= now)
      entry = PoisonEntry{};
    if (!entry.died.insert(death).second)
      continue;
    entry.ran_alone = alone;
    entry.expires = ExpiryOf(list, entry, now);
    PoisonNotice notice;
    notice.fingerprint = it;
    notice.died.assign(entry.died.begin(), entry.died.end());
    notice.ran_alone = entry.ran_alone;
    notice.remaining_ms = Millis(entry.expires - now);
    notices.push_back(std::move(notice));
  }
  return notices;
}

void OnPoisonNotice(PoisonList& list, const PoisonNotice& notice, Time now) {
  if (notice.remaining_ms <= 0 ||
      list.entries.size() >= list.limits.max_entries) {
    return;
  }
  PoisonEntry& entry = list.entries[notice.fingerprint];
  if (entry.expires <= now)
    entry = PoisonEntry{};
  entry.died.insert(notice.died.begin(), notice.died.end());
  entry.ran_alone = entry.ran_alone || notice.ran_alone;
  const Time expires = now + std::chrono::milliseconds(notice.remaining_ms);
  if (entry.expires < expires)
    entry.expires = expires;
}

void ClearSuspect(PoisonList& list, Fingerprint fingerprint) {
  list.entries.erase(fingerprint);
}

void DropExpired(PoisonList& list, Time now) {
  for (auto it = list.entries.begin(); it != list.entries.end();) {
    if (it->second.expires <= now)
      it = list.entries.erase(it);
    else
      ++it;
  }
}

}  // namespace sassafras
