#include "routing/belief_table.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sassafras {

namespace {

// Takes one object; false if it says nothing new.
bool ApplyItem(BeliefKind& kind, const CacheItem& item) {
  const auto it = kind.objects.find(item.name);
  if (item.removed) {
    // A relay that lags may report a removal before the object came back.
    if (it == kind.objects.end() || item.revision < it->second.revision)
      return false;
    kind.objects.erase(it);
    return true;
  }
  if (it != kind.objects.end() && it->second.revision >= item.revision)
    return false;
  kind.objects[item.name] = item;
  return true;
}

// Also keeps removals of objects that were not known here: other hosts may
// know them.
void KeepRemoval(BeliefKind& kind, const CacheItem& item) {
  kind.removals.push_back(item);
  while (kind.removals.size() > kMostRemovals) {
    kind.removals_since =
        std::max(kind.removals_since, kind.removals.front().revision);
    kind.removals.pop_front();
  }
}

// Takes the names of all objects of a kind, and those that are new or have
// changed.
std::vector<CacheItem> ApplyWhole(BeliefKind& kind,
                                  const std::vector<CacheItem>& items,
                                  const std::set<std::string>& listed,
                                  const std::string& name,
                                  uint64_t as_of) {
  std::vector<CacheItem> news;
  for (const CacheItem& it : items) {
    if (ApplyItem(kind, it))
      news.push_back(it);
  }
  std::vector<CacheItem> removed;
  for (const auto& [object, it] : kind.objects) {
    if (listed.count(object) == 0)
      removed.push_back({name, object, as_of, true, ""});
  }
  for (const CacheItem& it : removed) {
    kind.objects.erase(it.name);
    KeepRemoval(kind, it);
    news.push_back(it);
  }
  if (kind.as_of == 0) {
    kind.removals_since = as_of;
  } else if (kind.as_of < as_of) {
    kind.gaps.push_back({kind.as_of, as_of});
    while (kind.gaps.size() > kMostGaps) {
      kind.removals_since = std::max(kind.removals_since, kind.gaps.front().to);
      kind.gaps.pop_front();
    }
  }
  return news;
}

std::vector<CacheItem> ApplyPart(BeliefKind& kind,
                                 const std::vector<CacheItem>& items) {
  std::vector<CacheItem> news;
  for (const CacheItem& it : items) {
    if (it.removed)
      KeepRemoval(kind, it);
    if (ApplyItem(kind, it))
      news.push_back(it);
  }
  return news;
}

// A removal bears the revision at which it is known.
CacheItem ItemOf(const std::string& kind,
                 const StoreObject& object,
                 uint64_t as_of) {
  const bool removed = object.revision == 0;
  return {kind, object.name, removed ? as_of : object.revision, removed,
          removed ? "" : object.value};
}

uint64_t PositionOf(const CacheFollow& follow, const std::string& kind) {
  for (const CachePosition& it : follow.positions) {
    if (it.kind == kind)
      return it.as_of;
  }
  return 0;
}

// Whether `a` knows more of any kind than `b`.
bool IsAheadOf(const CacheFollow& a, const CacheFollow& b) {
  return std::any_of(a.positions.begin(), a.positions.end(),
                     [&](const CachePosition& it) {
                       return it.as_of > PositionOf(b, it.kind);
                     });
}

// The farther position of each kind.
CacheFollow Farthest(const CacheFollow& a, const CacheFollow& b) {
  CacheFollow out = a;
  for (CachePosition& it : out.positions)
    it.as_of = std::max(it.as_of, PositionOf(b, it.kind));
  return out;
}

// Whether all removals behind revision `from` are known. A host that learned
// of an object inside a gap may miss its removal.
bool KnowsRemovalsSince(const BeliefKind& kind, uint64_t from) {
  return from >= kind.removals_since &&
         std::none_of(kind.gaps.begin(), kind.gaps.end(),
                      [&](const BeliefGap& it) {
                        return from > it.from && from < it.to;
                      });
}

// Adds what lies behind `from` in `kind` to the push.
void AddSpan(const std::string& name,
             const BeliefKind& kind,
             uint64_t from,
             CachePush& push) {
  if (kind.as_of == 0)
    return;
  CacheSpan span{name, from, kind.as_of, false, {}};
  if (from < kind.as_of) {
    span.is_list = !KnowsRemovalsSince(kind, from);
    // An object that came back needs no removal: its new revision replaces it.
    for (const CacheItem& it : kind.removals) {
      if (!span.is_list && it.revision > from &&
          kind.objects.count(it.name) == 0)
        push.items.push_back(it);
    }
    for (const auto& [object, it] : kind.objects) {
      if (span.is_list)
        span.names.push_back(object);
      if (it.revision > from)
        push.items.push_back(it);
    }
  }
  push.spans.push_back(std::move(span));
}

}  // namespace

BeliefTable MakeBeliefTable(const std::vector<std::string>& kinds) {
  BeliefTable table;
  for (const std::string& it : kinds)
    table.kinds[it];
  return table;
}

bool IsComplete(const BeliefTable& table) {
  return std::all_of(table.kinds.begin(), table.kinds.end(),
                     [](const auto& it) { return it.second.as_of > 0; });
}

CacheFollow PositionsOf(const BeliefTable& table) {
  CacheFollow out;
  for (const auto& [name, kind] : table.kinds)
    out.positions.push_back({name, kind.as_of});
  return out;
}

std::vector<CacheItem> ApplyStoreChange(BeliefTable& table,
                                        const std::string& kind,
                                        const StoreChange& change) {
  BeliefKind& known = table.kinds[kind];
  std::vector<CacheItem> items;
  for (const StoreObject& it : change.objects)
    items.push_back(ItemOf(kind, it, change.as_of));
  std::vector<CacheItem> news;
  if (!change.complete) {
    news = ApplyPart(known, items);
  } else if (change.as_of >= known.as_of) {
    // A replica's list may be older than what is known already.
    std::set<std::string> listed;
    for (const CacheItem& it : items)
      listed.insert(it.name);
    news = ApplyWhole(known, items, listed, kind, change.as_of);
  }
  known.as_of = std::max(known.as_of, change.as_of);
  return news;
}

std::vector<CacheItem> ApplyPush(BeliefTable& table, const CachePush& push) {
  std::map<std::string, std::vector<CacheItem>> by_kind;
  for (const CacheItem& it : push.items)
    by_kind[it.kind].push_back(it);
  std::vector<CacheItem> news;
  for (const CacheSpan& span : push.spans) {
    const auto it = table.kinds.find(span.kind);
    if (it == table.kinds.end())
      continue;
    BeliefKind& kind = it->second;
    // A sender that lags behind must not take anything back.
    if (span.from > kind.as_of || span.as_of <= kind.as_of)
      continue;
    auto part = span.is_list
                    ? ApplyWhole(kind, by_kind[span.kind],
                                 {span.names.begin(), span.names.end()},
                                 span.kind, span.as_of)
                    : ApplyPart(kind, by_kind[span.kind]);
    for (CacheItem& item : part)
      news.push_back(std::move(item));
    kind.as_of = span.as_of;
  }
  return news;
}

CachePush MakePush(const BeliefTable& table,
                   const CacheFollow& known,
                   Duration doubt) {
  CachePush push;
  push.doubt_ms = static_cast<uint64_t>(std::max<int64_t>(Millis(doubt), 0));
  for (const auto& [name, kind] : table.kinds)
    AddSpan(name, kind, PositionOf(known, name), push);
  return push;
}

CachePush OnFollow(BeliefFollowers& followers,
                   const BeliefTable& table,
                   const HostId& from,
                   const CacheFollow& follow,
                   Duration doubt,
                   Time now) {
  const auto [entry, is_new] = followers.try_emplace(from);
  BeliefFollower& it = entry->second;
  it.heard = now;
  // It has started anew.
  const bool is_back = IsAheadOf(it.acked, follow);
  const bool has_moved = is_new || is_back || IsAheadOf(follow, it.acked);
  const bool is_stuck = !has_moved && now - it.progressed >= kPushRepeat;
  it.acked = follow;
  if (has_moved || is_stuck)
    it.progressed = now;
  const CacheFollow known =
      is_new || is_back || is_stuck ? follow : Farthest(follow, it.sent);
  it.sent = Farthest(PositionsOf(table), known);
  return MakePush(table, known, doubt);
}

bool HasFollowers(const BeliefFollowers& followers, Time now) {
  return std::any_of(followers.begin(), followers.end(), [&](const auto& it) {
    return now - it.second.heard < kFollowerSilence;
  });
}

std::vector<AddressedPush> PushToAll(BeliefFollowers& followers,
                                     const BeliefTable& table,
                                     Duration doubt,
                                     Time now) {
  std::vector<AddressedPush> out;
  const CacheFollow own = PositionsOf(table);
  for (auto it = followers.begin(); it != followers.end();) {
    BeliefFollower& follower = it->second;
    if (now - follower.heard > kFollowerSilence) {
      it = followers.erase(it);
      continue;
    }
    out.push_back({it->first, MakePush(table, follower.sent, doubt)});
    follower.sent = Farthest(own, follower.sent);
    ++it;
  }
  return out;
}

}  // namespace sassafras
