#include "routing/relay_choice.h"

#include <algorithm>
#include <string_view>

#include "base/hash.h"

namespace sassafras {

namespace {

constexpr std::string_view kTopic = "relay";

struct Candidate {
  uint64_t rank = 0;
  const HostNotice* notice = nullptr;
};

bool IsAvoided(const FeedChoice& choice, const HostId& host, Time now) {
  const auto it = choice.avoided.find(host);
  return it != choice.avoided.end() && now - it->second < kRelayAvoided;
}

// How many relays to follow: one that is left is replaced by one, several in a
// row by more each time, since the next may be cut off as well.
size_t RelaysWanted(const FeedChoice& choice, Time now) {
  const auto left = static_cast<size_t>(std::count_if(
      choice.avoided.begin(), choice.avoided.end(),
      [&](const auto& it) { return now - it.second < kRelayAvoided; }));
  return kRelays + (left > 1 ? std::min(left - 1, kMostSpareRelays) : 0);
}

enum class Tier {
  kReachesStore,  // Knows everything and learns what is new.
  kReady,         // Knows what was; better than nothing.
  kAny,           // May know nothing yet.
};

bool IsInTier(const HostNotice& host, Tier tier) {
  switch (tier) {
    case Tier::kReachesStore:
      return host.phase == HostPhase::kReady && host.reaches_store;
    case Tier::kReady:
      return host.phase == HostPhase::kReady;
    case Tier::kAny:
      return host.phase != HostPhase::kLeaving;
  }
  return false;
}

std::vector<Candidate> RankCandidates(const FeedInput& input,
                                      const FeedChoice& choice,
                                      Tier tier,
                                      Time now) {
  const uint64_t seed = HashText(kTopic);
  std::vector<Candidate> out;
  const auto add = [&](const HostNotice& it) {
    if (IsInTier(it, tier))
      out.push_back({HashText(it.id.value(), seed), &it});
  };
  add(input.members->self);
  for (const auto& [id, member] : input.members->others) {
    if (IsAlive(member, now) && !IsAvoided(choice, id, now))
      add(member.notice);
  }
  std::sort(out.begin(), out.end(), [](const Candidate& a, const Candidate& b) {
    return a.rank > b.rank;
  });
  return out;
}

RegionId RegionOf(const std::map<ZoneId, RegionId>& regions,
                  const ZoneId& zone) {
  const auto it = regions.find(zone);
  return it == regions.end() ? RegionId() : it->second;
}

template <typename T>
bool Contains(const std::vector<T>& list, const T& item) {
  return std::find(list.begin(), list.end(), item) != list.end();
}

// Leaves relays that have fallen silent; true if none of them is heard.
bool DropSilent(FeedChoice& choice, Time now) {
  bool is_any_heard = false;
  for (auto it = choice.relays.begin(); it != choice.relays.end();) {
    if (now - it->second.heard <= kRelaySilence) {
      is_any_heard = true;
      ++it;
      continue;
    }
    choice.avoided[it->first] = now;
    it = choice.relays.erase(it);
  }
  return !is_any_heard;
}

// True if the choice changes.
bool Choose(FeedChoice& choice,
            FeedSource source,
            const std::vector<HostId>& relays,
            Time now) {
  bool changed =
      choice.source != source || choice.relays.size() != relays.size();
  choice.source = source;
  std::map<HostId, FollowedRelay> chosen;
  for (const HostId& it : relays) {
    const auto known = choice.relays.find(it);
    const bool is_new = known == choice.relays.end();
    chosen[it] = is_new ? FollowedRelay{now, std::nullopt} : known->second;
    changed = changed || is_new;
  }
  choice.relays = std::move(chosen);
  return changed;
}

}  // namespace

std::vector<HostId> FindRelays(const FeedInput& input,
                               const FeedChoice& choice,
                               Time now) {
  std::vector<Candidate> ranked;
  for (const Tier it : {Tier::kReachesStore, Tier::kReady, Tier::kAny}) {
    if (ranked.empty())
      ranked = RankCandidates(input, choice, it, now);
  }
  const size_t wanted = RelaysWanted(choice, now);
  std::vector<HostId> relays;
  std::vector<RegionId> used;
  // A second pass fills up from regions that have one already.
  for (const bool any_region : {false, true}) {
    for (const Candidate& it : ranked) {
      const RegionId region = RegionOf(*input.regions, it.notice->zone);
      if (relays.size() >= wanted)
        return relays;
      if (Contains(relays, it.notice->id) ||
          (Contains(used, region) && !any_region))
        continue;
      relays.push_back(it.notice->id);
      used.push_back(region);
    }
  }
  return relays;
}

bool UpdateFeedChoice(FeedChoice& choice, const FeedInput& input, Time now) {
  const bool is_alone = CountAlive(*input.members, now) == 1;
  if (is_alone && choice.source == FeedSource::kNone &&
      now - input.started < kFirstChoice)
    return false;
  const bool had_relays = choice.source == FeedSource::kRelays;
  const bool is_cut_off = had_relays && DropSilent(choice, now);
  auto relays = FindRelays(input, choice, now);
  const auto self =
      std::find(relays.begin(), relays.end(), input.members->self.id);
  const bool is_relay = self != relays.end();
  if (is_relay)
    relays.erase(self);
  if (is_alone || is_cut_off || is_relay || relays.empty() ||
      input.has_followers)
    choice.store_needed = now;
  // A host that follows the store hears relays as well: the store may answer
  // this host late and others in time.
  const bool stays = choice.source == FeedSource::kStore &&
                     now - choice.store_needed < kStoreStay;
  const FeedSource source = choice.store_needed == now || stays
                                ? FeedSource::kStore
                                : FeedSource::kRelays;
  return Choose(choice, source, relays, now);
}

void OnRelayHeard(FeedChoice& choice,
                  const HostId& relay,
                  Duration store_age,
                  Duration doubt,
                  Time now) {
  const auto it = choice.relays.find(relay);
  if (it == choice.relays.end())
    return;
  it->second.doubt_until = now + doubt;
  if (store_age <= kRelaySilence)
    it->second.heard = now;
}

Duration CommonDoubt(const FeedChoice& choice, Time now) {
  std::optional<Duration> common;
  for (const auto& [relay, it] : choice.relays) {
    if (!it.doubt_until)
      continue;
    const Duration own = std::max(*it.doubt_until - now, Duration(0));
    common = std::min(common.value_or(own), own);
  }
  return common.value_or(Duration(0));
}

}  // namespace sassafras
