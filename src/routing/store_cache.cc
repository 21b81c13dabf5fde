#include "routing/store_cache.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace sassafras {

namespace {

// Whether the cache meets the era of `position` with it.
bool MeetsNewEra(const CachedKind& kind, const StorePosition& position) {
  return kind.as_of.is_known() && kind.as_of.era() < position.era();
}

// Applies one item; returns false if it does not change the cache.
bool ApplyItem(CachedKind& kind, const CacheItem& item) {
  const auto it = kind.objects.find(item.name);
  if (item.removed) {
    // A lagging relay may report a removal after which the object was created
    // again.
    if (it == kind.objects.end() || item.position < it->second.position)
      return false;
    kind.objects.erase(it);
    return true;
  }
  if (it == kind.objects.end()) {
    kind.objects[item.name] = item;
    return true;
  }
  if (it->second.position >= item.position)
    return false;
  // A new era gives new positions to objects that have not changed.
  const bool has_changed = it->second.position.era() == item.position.era() ||
                           it->second.value != item.value;
  it->second = item;
  return has_changed;
}

// Applies `item` and adds it to `applied` if it changes the cache.
void ApplyItemTo(CachedKind& kind,
                 const CacheItem& item,
                 std::vector<CacheItem>& applied) {
  const auto it = kind.objects.find(item.name);
  const bool is_of_earlier_era =
      it != kind.objects.end() &&
      it->second.position.era() < item.position.era();
  if (!ApplyItem(kind, item))
    return;
  applied.push_back(item);
  applied.back().is_restored = is_of_earlier_era ||
                               MeetsNewEra(kind, item.position) ||
                               kind.unlisted_era == item.position.era();
}

// The removals and gaps of earlier eras say nothing about the new one.
// `is_listed`: a whole list of the new era is applied.
void BeginEra(CachedKind& kind, const StorePosition& as_of, bool is_listed) {
  if (!is_listed)
    kind.unlisted_era = as_of.era();
  kind.removals.clear();
  kind.gaps.clear();
  kind.removals_since = as_of;
}

// Records a removal for followers, also that of an object that is not cached
// here: other hosts may have it cached.
void RecordRemoval(CachedKind& kind, const CacheItem& item) {
  kind.removals.push_back(item);
  while (kind.removals.size() > kMaxRemovals) {
    kind.removals_since =
        std::max(kind.removals_since, kind.removals.front().position);
    kind.removals.pop_front();
  }
}

// Applies a full list: `listed` holds the names of all objects of the kind,
// `items` at least those that are new or have changed.
std::vector<CacheItem> ApplyFullList(CachedKind& kind,
                                     const std::vector<CacheItem>& items,
                                     const std::set<std::string>& listed,
                                     const std::string& name,
                                     const StorePosition& as_of) {
  std::vector<CacheItem> applied;
  for (const CacheItem& it : items)
    ApplyItemTo(kind, it, applied);
  const bool is_new_era = MeetsNewEra(kind, as_of);
  std::vector<CacheItem> removed;
  for (const auto& [object, it] : kind.objects) {
    // The list cannot tell of objects that are newer than itself.
    if (listed.count(object) == 0 && it.position <= as_of)
      removed.push_back(
          {name, object, as_of, true, "", it.position.era() < as_of.era()});
  }
  for (const CacheItem& it : removed) {
    kind.objects.erase(it.name);
    RecordRemoval(kind, it);
    applied.push_back(it);
  }
  // Hosts that have a part of the objects, as this one did, need a list.
  if (is_new_era) {
    BeginEra(kind, as_of, true);
  } else if (!kind.as_of.is_known() || kind.is_partial) {
    kind.removals_since = as_of;
  } else if (kind.as_of < as_of) {
    kind.gaps.push_back({kind.as_of, as_of});
    while (kind.gaps.size() > kMaxGaps) {
      kind.removals_since = std::max(kind.removals_since, kind.gaps.front().to);
      kind.gaps.pop_front();
    }
  }
  kind.is_partial = false;
  kind.unlisted_era.reset();
  return applied;
}

std::vector<CacheItem> ApplyChanges(CachedKind& kind,
                                    const std::vector<CacheItem>& items) {
  std::vector<CacheItem> applied;
  for (const CacheItem& it : items) {
    if (it.removed)
      RecordRemoval(kind, it);
    ApplyItemTo(kind, it, applied);
  }
  return applied;
}

// A removal gets the position `as_of`, at which the object is known to be gone.
CacheItem ToCacheItem(const std::string& kind,
                      const StoreObject& object,
                      const StorePosition& as_of) {
  const bool removed = object.revision == 0;
  const StorePosition position =
      removed ? as_of : StorePosition(as_of.era(), object.revision);
  return {kind, object.name, position, removed, removed ? "" : object.value};
}

StorePosition PositionOf(const CacheFollow& follow, const std::string& kind) {
  for (const CachePosition& it : follow.positions) {
    if (it.kind == kind)
      return it.as_of;
  }
  return {};
}

bool HasLostPush(const CacheFollow& follow, const std::string& kind) {
  return std::any_of(follow.positions.begin(), follow.positions.end(),
                     [&](const CachePosition& it) {
                       return it.kind == kind && it.has_lost_push;
                     });
}

// Whether `a` has a later position than `b` for any kind.
bool IsAheadOf(const CacheFollow& a, const CacheFollow& b) {
  return std::any_of(a.positions.begin(), a.positions.end(),
                     [&](const CachePosition& it) {
                       return it.as_of > PositionOf(b, it.kind);
                     });
}

// Returns the later position of each kind.
CacheFollow MaxPositions(const CacheFollow& a, const CacheFollow& b) {
  CacheFollow out = a;
  for (CachePosition& it : out.positions)
    it.as_of = std::max(it.as_of, PositionOf(b, it.kind));
  return out;
}

// Whether all removals after `from` are known. A host whose position
// lies inside a gap may have an object whose removal is unknown here.
bool KnowsRemovalsSince(const CachedKind& kind, const StorePosition& from) {
  return from >= kind.removals_since &&
         std::none_of(kind.gaps.begin(), kind.gaps.end(),
                      [&](const HistoryGap& it) {
                        return from > it.from && from < it.to;
                      });
}

bool IsKnownToBeGone(const CachedKind& kind, const CacheItem& item) {
  return std::any_of(
      kind.removals.begin(), kind.removals.end(), [&](const CacheItem& it) {
        return it.name == item.name && it.position >= item.position;
      });
}

// Adds the objects among `items` that are not cached.
std::vector<CacheItem> AddMissing(CachedKind& kind,
                                  const std::vector<CacheItem>& items) {
  std::vector<CacheItem> applied;
  for (const CacheItem& it : items) {
    if (!it.removed && kind.objects.count(it.name) == 0 &&
        !IsKnownToBeGone(kind, it))
      ApplyItemTo(kind, it, applied);
  }
  return applied;
}

// The names of all objects that the sender of `span` knows; `items` are those
// of the span. Nothing if the span does not tell.
std::optional<std::set<std::string>> NamesIn(
    const CacheSpan& span,
    const std::vector<CacheItem>& items) {
  if (span.is_list)
    return std::set<std::string>(span.names.begin(), span.names.end());
  if (span.from.is_known() || span.is_partial)
    return std::nullopt;
  std::set<std::string> names;
  for (const CacheItem& it : items) {
    if (!it.removed)
      names.insert(it.name);
  }
  return names;
}

// Adds the changes of `kind` after `from` to the push.
void AddSpan(const std::string& name,
             const CachedKind& kind,
             const StorePosition& from,
             CachePush& push) {
  if (!kind.as_of.is_known())
    return;
  CacheSpan span{name, from, kind.as_of, false, {}, kind.is_partial};
  if (from < kind.as_of) {
    span.is_list = !kind.is_partial && !KnowsRemovalsSince(kind, from);
    // An object that was created again needs no removal: its new revision
    // replaces the old one.
    for (const CacheItem& it : kind.removals) {
      if (!span.is_list && it.position > from &&
          kind.objects.count(it.name) == 0)
        push.items.push_back(it);
    }
    for (const auto& [object, it] : kind.objects) {
      if (span.is_list)
        span.names.push_back(object);
      if (it.position > from)
        push.items.push_back(it);
    }
  }
  push.spans.push_back(std::move(span));
}

}  // namespace

StoreCache MakeStoreCache(const std::vector<std::string>& kinds) {
  StoreCache cache;
  for (const std::string& it : kinds)
    cache.kinds[it];
  return cache;
}

bool IsComplete(const StoreCache& cache) {
  return std::all_of(
      cache.kinds.begin(), cache.kinds.end(), [](const auto& it) {
        return it.second.as_of.is_known() || it.second.is_partial;
      });
}

std::set<std::string> NamesOf(const StoreCache& cache,
                              const std::string& kind) {
  std::set<std::string> names;
  const auto known = cache.kinds.find(kind);
  if (known == cache.kinds.end())
    return names;
  for (const auto& [name, it] : known->second.objects)
    names.insert(name);
  return names;
}

CacheFollow PositionsOf(const StoreCache& cache) {
  CacheFollow out;
  for (const auto& [name, kind] : cache.kinds)
    out.positions.push_back({name, kind.as_of});
  return out;
}

std::vector<CacheItem> ApplyStoreChange(StoreCache& cache,
                                        const std::string& kind,
                                        const StoreChange& change) {
  CachedKind& known = cache.kinds[kind];
  // The answer to a call from before the era began may arrive late.
  if (change.as_of.era() < known.as_of.era())
    return {};
  std::vector<CacheItem> items;
  for (const StoreObject& it : change.objects)
    items.push_back(ToCacheItem(kind, it, change.as_of));
  std::vector<CacheItem> applied;
  if (!change.complete) {
    applied = ApplyChanges(known, items);
    if (MeetsNewEra(known, change.as_of))
      BeginEra(known, change.as_of, false);
    known.is_partial = known.is_partial || change.is_partial_list;
  } else if (change.as_of >= known.as_of) {
    // A list from a replica of the store may be older than the cached state.
    std::set<std::string> listed;
    for (const CacheItem& it : items)
      listed.insert(it.name);
    applied = ApplyFullList(known, items, listed, kind, change.as_of);
  }
  known.as_of = std::max(known.as_of, change.as_of);
  return applied;
}

std::vector<CacheItem> ApplyPush(StoreCache& cache,
                                 const CachePush& push,
                                 CacheSource source) {
  std::map<std::string, std::vector<CacheItem>> by_kind;
  for (const CacheItem& it : push.items)
    by_kind[it.kind].push_back(it);
  std::vector<CacheItem> applied;
  for (const CacheSpan& span : push.spans) {
    const auto it = cache.kinds.find(span.kind);
    if (it == cache.kinds.end())
      continue;
    CachedKind& kind = it->second;
    // A span from the beginning shows what this cache lacks.
    if (kind.is_partial && !span.is_partial && span.from.is_known()) {
      kind.as_of = {};
      continue;
    }
    const std::vector<CacheItem>& items = by_kind[span.kind];
    const auto names = NamesIn(span, items);
    const bool shows_all = kind.is_partial && !span.from.is_known() &&
                           span.as_of.era() == kind.as_of.era();
    // What exists is known from any sender, as long as no list shows all.
    if (shows_all && (span.as_of < kind.as_of || !names)) {
      for (CacheItem& it : AddMissing(kind, items))
        applied.push_back(std::move(it));
    }
    // A lagging sender must not revert newer state.
    if (span.from > kind.as_of || span.as_of < kind.as_of ||
        (span.as_of == kind.as_of && !(shows_all && names)))
      continue;
    // The store itself will tell what the sender may lack.
    if (span.is_partial && !kind.is_partial && source == CacheSource::kStore &&
        span.as_of.era() == kind.as_of.era()) {
      for (CacheItem& it : ApplyChanges(kind, items))
        applied.push_back(std::move(it));
      continue;
    }
    // What a partial list has left open is settled only by all names.
    const bool replaces_all = span.is_list || (kind.is_partial && names);
    auto part = replaces_all
                    ? ApplyFullList(kind, items, *names, span.kind, span.as_of)
                    : ApplyChanges(kind, items);
    if (!replaces_all && MeetsNewEra(kind, span.as_of))
      BeginEra(kind, span.as_of, false);
    for (CacheItem& item : part)
      applied.push_back(std::move(item));
    kind.as_of = span.as_of;
    kind.is_partial = span.is_partial;
  }
  return applied;
}

bool IsUpToDate(const StoreCache& cache, const CachePush& push) {
  return push.spans.size() == cache.kinds.size() &&
         std::all_of(
             push.spans.begin(), push.spans.end(), [&](const CacheSpan& span) {
               const auto it = cache.kinds.find(span.kind);
               return it != cache.kinds.end() && it->second.as_of >= span.as_of;
             });
}

std::optional<CacheFollow> FollowAfterLoss(const StoreCache& cache,
                                           const CachePush& push) {
  CacheFollow follow = PositionsOf(cache);
  bool has_lost_push = false;
  for (const CacheSpan& span : push.spans) {
    for (CachePosition& it : follow.positions) {
      // A host that knows nothing of a kind reads the first list of it.
      it.has_lost_push =
          it.has_lost_push ||
          (it.kind == span.kind && it.as_of.is_known() && span.from > it.as_of);
      has_lost_push = has_lost_push || it.has_lost_push;
    }
  }
  return has_lost_push ? std::optional(std::move(follow)) : std::nullopt;
}

bool IsOfEarlierEra(const StoreCache& cache, const CachePush& push) {
  return std::any_of(push.spans.begin(), push.spans.end(),
                     [&](const CacheSpan& span) {
                       const auto it = cache.kinds.find(span.kind);
                       return it != cache.kinds.end() &&
                              span.as_of.era() < it->second.as_of.era();
                     });
}

CachePush MakePush(const StoreCache& cache,
                   const CacheFollow& known,
                   Duration unreliable_for) {
  CachePush push;
  push.doubt_ms =
      static_cast<uint64_t>(std::max<int64_t>(Millis(unreliable_for), 0));
  for (const auto& [name, kind] : cache.kinds)
    AddSpan(name, kind, PositionOf(known, name), push);
  return push;
}

CachePush OnFollow(CacheFollowers& followers,
                   const StoreCache& cache,
                   const HostId& from,
                   const CacheFollow& follow,
                   Duration unreliable_for,
                   Time now) {
  const auto [entry, is_new] = followers.try_emplace(from);
  CacheFollower& it = entry->second;
  it.heard = now;
  // A follower's positions only decrease when it restarts.
  const bool starts_anew = is_new || IsAheadOf(it.acked, follow);
  const CacheFollow acked = std::exchange(it.acked, follow);
  CacheFollow known = PositionsOf(cache);
  for (CachePosition& position : known.positions) {
    const StorePosition has = PositionOf(follow, position.kind);
    const bool has_moved =
        starts_anew || has != PositionOf(acked, position.kind);
    // Progress on other kinds does not show that this kind's push arrived.
    const bool is_lost = HasLostPush(follow, position.kind) ||
                         (!has_moved && now - it.progressed_at[position.kind] >=
                                            kPushRetryDelay);
    if (has_moved || is_lost)
      it.progressed_at[position.kind] = now;
    position.as_of = starts_anew || is_lost
                         ? has
                         : std::max(has, PositionOf(it.sent, position.kind));
  }
  it.sent = MaxPositions(PositionsOf(cache), known);
  return MakePush(cache, known, unreliable_for);
}

bool HasFollowers(const CacheFollowers& followers, Time now) {
  return std::any_of(followers.begin(), followers.end(), [&](const auto& it) {
    return now - it.second.heard < kFollowerTimeout;
  });
}

std::vector<AddressedPush> PushToAll(CacheFollowers& followers,
                                     const StoreCache& cache,
                                     Duration unreliable_for,
                                     Time now) {
  std::vector<AddressedPush> out;
  std::map<std::vector<StorePosition>, size_t> index_by_positions;
  const CacheFollow own = PositionsOf(cache);
  for (auto it = followers.begin(); it != followers.end();) {
    CacheFollower& follower = it->second;
    if (now - follower.heard > kFollowerTimeout) {
      it = followers.erase(it);
      continue;
    }
    std::vector<StorePosition> positions;
    for (const CachePosition& position : own.positions)
      positions.push_back(PositionOf(follower.sent, position.kind));
    const auto [group, is_new] =
        index_by_positions.try_emplace(std::move(positions), out.size());
    if (is_new)
      out.push_back({{}, MakePush(cache, follower.sent, unreliable_for)});
    out[group->second].to.push_back(it->first);
    follower.sent = MaxPositions(own, follower.sent);
    ++it;
  }
  return out;
}

}  // namespace sassafras
