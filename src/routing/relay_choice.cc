#include "routing/relay_choice.h"

#include <algorithm>
#include <string_view>

#include "base/hash.h"

namespace sassafras {

namespace {

constexpr std::string_view kTopic = "relay";

// Hosts with at least this share of the largest host's CPU share and bandwidth
// are preferred as relays.
constexpr double kMinRelayCapacityShare = 0.5;

struct Candidate {
  uint64_t rank = 0;
  const HostNotice* notice = nullptr;
  bool is_large = true;  // Of the preferred capacity.
};

void MarkLargeHosts(std::vector<Candidate>& candidates) {
  double max_cpu = 0;
  double max_link = 0;
  for (const Candidate& it : candidates) {
    max_cpu = std::max(max_cpu, it.notice->cpu_share);
    max_link = std::max(max_link, it.notice->link_mbps);
  }
  for (Candidate& it : candidates) {
    it.is_large = it.notice->cpu_share >= kMinRelayCapacityShare * max_cpu &&
                  it.notice->link_mbps >= kMinRelayCapacityShare * max_link;
  }
  // The widest links may belong to other hosts than the largest CPU shares.
  const bool has_large =
      std::any_of(candidates.begin(), candidates.end(),
                  [](const Candidate& it) { return it.is_large; });
  for (Candidate& it : candidates)
    it.is_large = it.is_large || !has_large;
}

bool IsAvoided(const FeedChoice& choice, const HostId& host, Time now) {
  const auto it = choice.avoided.find(host);
  return it != choice.avoided.end() && now - it->second < kRelayAvoidanceTime;
}

// Number of relays to follow. A single dropped relay is replaced by one other;
// for each further one, an additional relay is followed, since the next
// replacement may be disconnected as well.
size_t RelaysToFollow(const FeedChoice& choice, Time now) {
  const auto recently_dropped = static_cast<size_t>(std::count_if(
      choice.avoided.begin(), choice.avoided.end(),
      [&](const auto& it) { return now - it.second < kRelayAvoidanceTime; }));
  return kRelayCount + (recently_dropped > 1
                            ? std::min(recently_dropped - 1, kMaxExtraRelays)
                            : 0);
}

enum class Tier {
  kReachesStore,  // Has all objects and receives changes.
  kReady,         // Has possibly outdated objects.
  kAny,           // May have no objects yet.
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
  MarkLargeHosts(out);
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

// Drops relays that have timed out; returns true if none remains.
bool DropTimedOutRelays(FeedChoice& choice, Time now) {
  bool is_any_heard = false;
  for (auto it = choice.relays.begin(); it != choice.relays.end();) {
    if (now - it->second.heard <= kRelayTimeout) {
      is_any_heard = true;
      ++it;
      continue;
    }
    choice.avoided[it->first] = now;
    it = choice.relays.erase(it);
  }
  return !is_any_heard;
}

// Whether a relay may be as new as the store. A relay that has lost the store
// goes on sending messages.
bool HasCurrentRelay(const FeedChoice& choice, Time now) {
  return now - choice.store_answered <= kRelayTimeout;
}

// Returns true if the choice changes.
bool ApplyChoice(FeedChoice& choice,
                 FeedSource source,
                 const std::vector<HostId>& relays,
                 Time now) {
  bool changed =
      choice.source != source || choice.relays.size() != relays.size();
  if (choice.source != FeedSource::kRelays)
    choice.store_answered = now;
  choice.source = source;
  std::map<HostId, FollowedRelay> chosen;
  for (const HostId& it : relays) {
    const auto known = choice.relays.find(it);
    const bool is_new = known == choice.relays.end();
    chosen[it] = is_new ? FollowedRelay{now, std::nullopt, {}} : known->second;
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
  const size_t wanted = RelaysToFollow(choice, now);
  std::vector<HostId> relays;
  std::vector<RegionId> used_regions;
  const auto add = [&](bool is_large, bool any_region) {
    for (const Candidate& it : ranked) {
      const RegionId region = RegionOf(*input.regions, it.notice->zone);
      if (relays.size() >= wanted)
        return;
      if (it.is_large != is_large || Contains(relays, it.notice->id) ||
          (Contains(used_regions, region) && !any_region))
        continue;
      relays.push_back(it.notice->id);
      used_regions.push_back(region);
    }
  };
  for (const bool is_large : {true, false}) {
    for (const bool any_region : {false, true})
      add(is_large, any_region);
  }
  return relays;
}

bool UpdateFeedChoice(FeedChoice& choice, const FeedInput& input, Time now) {
  const bool is_alone = CountAlive(*input.members, now) == 1;
  if (is_alone && choice.source == FeedSource::kNone &&
      now - input.started < kStartupWait)
    return false;
  const bool had_relays = choice.source == FeedSource::kRelays;
  const bool is_cut_off = had_relays && (DropTimedOutRelays(choice, now) ||
                                         !HasCurrentRelay(choice, now));
  auto relays = FindRelays(input, choice, now);
  const auto self =
      std::find(relays.begin(), relays.end(), input.members->self.id);
  const bool is_relay = self != relays.end();
  if (is_relay)
    relays.erase(self);
  if (is_alone || is_cut_off || is_relay || relays.empty() ||
      input.has_followers)
    choice.store_needed = now;
  // A host that follows the store also follows relays: the store may answer
  // this host late but others in time.
  const bool lingers = choice.source == FeedSource::kStore &&
                       now - choice.store_needed < kStoreFollowLinger;
  const FeedSource source = choice.store_needed == now || lingers
                                ? FeedSource::kStore
                                : FeedSource::kRelays;
  return ApplyChoice(choice, source, relays, now);
}

std::optional<Duration> TimeUntilCutOff(const FeedChoice& choice, Time now) {
  if (choice.source != FeedSource::kRelays)
    return std::nullopt;
  // HasCurrentRelay() is false only after the timeout.
  return choice.store_answered + kRelayTimeout + std::chrono::milliseconds(1) -
         now;
}

void OnRelayHeard(FeedChoice& choice,
                  const HostId& relay,
                  Duration store_age,
                  Duration unreliable_for,
                  Time now) {
  const auto it = choice.relays.find(relay);
  if (it == choice.relays.end())
    return;
  it->second.unreliable_until = now + unreliable_for;
  choice.store_answered = std::max(choice.store_answered, now - store_age);
  if (store_age <= kRelayTimeout)
    it->second.heard = now;
}

bool MayAskAgain(FeedChoice& choice, const HostId& relay, Time now) {
  const auto it = choice.relays.find(relay);
  if (it == choice.relays.end() ||
      now - it->second.asked_again_at < kMinAskAgainInterval)
    return false;
  it->second.asked_again_at = now;
  return true;
}

Duration MinUnreliableFor(const FeedChoice& choice, Time now) {
  std::optional<Duration> minimum;
  for (const auto& [relay, it] : choice.relays) {
    if (!it.unreliable_until)
      continue;
    const Duration remaining =
        std::max(*it.unreliable_until - now, Duration(0));
    minimum = std::min(minimum.value_or(remaining), remaining);
  }
  return minimum.value_or(Duration(0));
}

}  // namespace sassafras
