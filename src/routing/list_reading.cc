#include "routing/list_reading.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

#include "routing/object_names.h"

namespace sassafras {

namespace {

// Names that are longer may not fit into a request.
constexpr size_t kMaxWrittenNameBytes = 4 << 10;
// A way with more failures is tried after the others. A call that is lost costs
// the time of its timeout.
constexpr int kMaxWayFailures = 1;
constexpr int kFailuresOfLostCall = 2;

// Up to which the page certainly includes all changes. A page
// that may be stale may name the store's present revision, which its content
// may not have; but it is as new as its newest object.
StorePosition PositionOf(const ListReading& list,
                         const ListPage& page,
                         ListFreshness freshness) {
  if (freshness == ListFreshness::kCurrent && page.as_of.is_known())
    return page.as_of;
  uint64_t newest_revision = 0;
  for (const StoreObject& it : page.objects)
    newest_revision = std::max(newest_revision, it.revision);
  const StorePosition newest(page.as_of.era(), newest_revision);
  if (freshness == ListFreshness::kCurrent)
    return std::max(newest, list.begun_at);
  return page.as_of.is_known() ? std::min(newest, page.as_of) : newest;
}

// The last plain name on the page; empty if there is none.
std::string LastPlainName(const ListPage& page) {
  if (IsPlainName(page.last_name))
    return page.last_name;
  const auto it = std::find_if(
      page.objects.rbegin(), page.objects.rend(),
      [](const StoreObject& object) { return IsPlainName(object.name); });
  return it == page.objects.rend() ? std::string() : it->name;
}

bool ShowsName(const ListPage& page, const std::string& name) {
  return page.last_name == name ||
         std::any_of(page.objects.begin(), page.objects.end(),
                     [&](const StoreObject& it) { return it.name == name; });
}

// Whether the page shows objects that the list has not shown before.
bool ShowsOthers(const ListReading& list, const ListPage& page) {
  return (!page.last_name.empty() &&
          list.revisions.count(page.last_name) == 0) ||
         std::any_of(page.objects.begin(), page.objects.end(),
                     [&](const StoreObject& it) {
                       return list.revisions.count(it.name) == 0;
                     });
}

// Whether the page that the list's way has led to continues the list.
bool LeadsOn(const ListReading& list, const ListPage& page) {
  if (!IsGuess(list) || ShowsOthers(list, page))
    return true;
  // The names that followed the plain one come again.
  return list.way == ListWay::kPlainName && ShowsName(page, list.last_name);
}

// Whether the names on the page that follows `after` ascend byte by byte.
bool IsInByteOrder(const std::string& after, const ListPage& page) {
  const std::string* previous = &after;
  for (const StoreObject& it : page.objects) {
    if (it.name <= *previous)
      return false;
    previous = &it.name;
  }
  return true;
}

void AddObject(ListReading& list, StoreObject object) {
  uint64_t& revision = list.revisions[object.name];
  if (revision > 0 && object.revision <= revision)
    return;
  revision = object.revision;
  list.objects.push_back(std::move(object));
}

void AddObjects(ListReading& list, ListPage& page) {
  for (StoreObject& it : page.objects)
    AddObject(list, std::move(it));
  if (!page.last_name.empty())
    list.revisions.try_emplace(page.last_name, 0);
}

// Reads the next object that the list may lack.
ListStep ReadNextMissing(ListReading& list) {
  std::set<std::string>& names =
      list.may_lack_objects ? list.expected_names : list.known_names;
  if (names.empty())
    return list.may_lack_objects ? ListStep::kPartial : ListStep::kWhole;
  list.next_object = names.extract(names.begin()).value();
  return ListStep::kReadObject;
}

ListStep EndPartialList(ListReading& list) {
  list.has_ended = true;
  list.may_lack_objects = true;
  for (const auto& [name, revision] : list.revisions) {
    if (revision > 0)
      list.expected_names.erase(name);
  }
  return ReadNextMissing(list);
}

// The store has named no further page.
ListStep EndList(ListReading& list) {
  if (list.may_lack_objects)
    return EndPartialList(list);
  list.has_ended = true;
  if (list.skips == 0 && list.names_written == 0)
    return ListStep::kWhole;
  // A page that may be stale and shows no object has no position.
  if ((list.skips > 0 && !list.is_in_byte_order) || !list.as_of.is_known())
    return EndPartialList(list);
  // The others cannot be named by any call.
  for (auto it = list.known_names.begin(); it != list.known_names.end();)
    it = IsPlainName(*it) ? std::next(it) : list.known_names.erase(it);
  list.known_names.insert(list.expected_names.begin(),
                          list.expected_names.end());
  for (const auto& [name, revision] : list.revisions) {
    if (revision > 0)
      list.known_names.erase(name);
  }
  if (list.known_names.size() > kMaxMissingObjectsRead)
    return EndPartialList(list);
  return ReadNextMissing(list);
}

// Lets the list go on after `name`; false if that would lead in a circle.
bool ContinueAfter(ListReading& list, const std::string& name) {
  if (!list.continued_after.insert(name).second)
    return false;
  list.after = name;
  return true;
}

// Lets the list go on behind the object `name`, which a page after `name` does
// not show.
ListStep ReadObjectAndContinueAfter(ListReading& list,
                                    const std::string& name) {
  list.after = name;
  list.next_object = name;
  return ListStep::kReadObject;
}

std::deque<ListWay> WaysBehind(const ListReading& list) {
  if (list.last_name.empty())
    return {ListWay::kSearch};
  if (list.last_name == list.last_plain_name)
    return {ListWay::kLastName};
  std::deque<ListWay> ways = {ListWay::kNextPlainName, ListWay::kWrittenName};
  if (list.prefers_written_names)
    std::swap(ways[0], ways[1]);
  if (!list.last_plain_name.empty())
    ways.push_front(ListWay::kPlainName);
  std::stable_partition(ways.begin(), ways.end(), [&](ListWay it) {
    const auto failures = list.failures_by_way.find(it);
    return failures == list.failures_by_way.end() ||
           failures->second <= kMaxWayFailures;
  });
  return ways;
}

ListStep TryNextWay(ListReading& list);

ListStep ContinueSearch(ListReading& list) {
  if (const auto name = NextSearchName(list.search)) {
    list.after = *name;
    return ListStep::kReadOn;
  }
  const std::string& found = list.search.found;
  if (found.empty() && list.found_by_search.erase(list.last_after) > 0) {
    BeginSearch(list.search, list.last_after);
    return ContinueSearch(list);
  }
  if (found.empty() || !list.continued_after.insert(found).second)
    return TryNextWay(list);
  list.found_by_search[list.last_after] = found;
  // Plain names may lie between those that were tried.
  list.may_lack_objects = true;
  list.way = ListWay::kLastName;
  return ReadObjectAndContinueAfter(list, found);
}

ListStep OnSearchPage(ListReading& list, ListPage& page) {
  const bool leads_on = !page.has_more || ShowsOthers(list, page);
  OnSearchResult(list.search, leads_on);
  // The page after the name that is found shows its objects.
  return ContinueSearch(list);
}

void BeginSearchBehind(ListReading& list) {
  list.last_after = list.after;
  const auto it = list.found_by_search.find(list.last_after);
  if (it == list.found_by_search.end())
    BeginSearch(list.search, list.last_after);
  else
    TryFoundName(list.search, it->second);
}

// Begins to go on in `way`; nothing if that is impossible.
std::optional<ListStep> TryWay(ListReading& list, ListWay way) {
  list.way = way;
  switch (way) {
    case ListWay::kLastName:
    case ListWay::kPlainName:
      if (!ContinueAfter(list, list.last_plain_name))
        return std::nullopt;
      return ListStep::kReadOn;
    case ListWay::kNextPlainName: {
      const auto next = NextPlainName(list.last_name);
      ++list.skips;
      if (!next)
        return EndList(list);
      if (!ContinueAfter(list, *next)) {
        --list.skips;
        return std::nullopt;
      }
      return ReadObjectAndContinueAfter(list, *next);
    }
    case ListWay::kWrittenName:
      if (list.last_name.size() > kMaxWrittenNameBytes ||
          !ContinueAfter(list, list.last_name))
        return std::nullopt;
      return ListStep::kReadOn;
    case ListWay::kSearch:
      BeginSearchBehind(list);
      return ContinueSearch(list);
  }
  return std::nullopt;
}

ListStep TryNextWay(ListReading& list) {
  while (!list.ways_left.empty()) {
    const ListWay way = list.ways_left.front();
    list.ways_left.pop_front();
    if (const auto step = TryWay(list, way))
      return *step;
  }
  return EndPartialList(list);
}

ListStep OnWayFailed(ListReading& list) {
  if (list.way == ListWay::kNextPlainName)
    --list.skips;
  return TryNextWay(list);
}

// The call for the page has failed, or its answer is no page.
ListStep OnGuessFailed(ListReading& list, int failures) {
  list.failures_by_way[list.way] += failures;
  return OnWayFailed(list);
}

}  // namespace

bool IsGuess(const ListReading& list) {
  return !list.has_ended && list.way != ListWay::kLastName;
}

ListStep OnPage(ListReading& list, ListPage page, ListFreshness freshness) {
  // Pages of two eras are no state that the store ever had.
  if (list.pages > 0 && page.as_of.era() != list.as_of.era()) {
    list = {};
    return ListStep::kRestart;
  }
  // The list as a whole has the position of its oldest page, since it may lack
  // changes that the other pages include.
  const StorePosition position = PositionOf(list, page, freshness);
  list.as_of = list.pages == 0 ? position : std::min(list.as_of, position);
  list.newest_as_of = std::max(list.newest_as_of, page.as_of);
  ++list.pages;
  list.failed_calls = 0;
  if (list.way == ListWay::kSearch)
    return OnSearchPage(list, page);
  // The page before this one said that there are others, so that an end of the
  // list without any is no end either.
  if (!LeadsOn(list, page))
    return OnWayFailed(list);
  list.failures_by_way[list.way] = 0;
  if (list.way == ListWay::kWrittenName)
    ++list.names_written;
  if (!IsInByteOrder(list.after, page))
    list.is_in_byte_order = false;
  list.last_name = page.last_name;
  list.last_plain_name = LastPlainName(page);
  AddObjects(list, page);
  if (!page.has_more)
    return EndList(list);
  list.ways_left = WaysBehind(list);
  return TryNextWay(list);
}

ListStep OnObject(ListReading& list, const StoreReply& reply) {
  const bool is_found = reply.status == StoreStatus::kOk &&
                        !reply.objects.empty() &&
                        reply.objects[0].name == list.next_object;
  if (is_found)
    AddObject(list, reply.objects[0]);
  else if (reply.status != StoreStatus::kNotFound)
    list.may_lack_objects = true;
  if (!list.has_ended) {
    // The store knows the name.
    if (is_found)
      list.way = ListWay::kLastName;
    return ListStep::kReadOn;
  }
  list.expected_names.erase(list.next_object);
  // Passed over by the list, which is not older than the object.
  if (is_found && reply.objects[0].revision <= list.as_of.revision())
    list.may_lack_objects = true;
  return ReadNextMissing(list);
}

ListStep OnUnreadablePage(ListReading& list) {
  if (IsGuess(list))
    return OnGuessFailed(list, 1);
  return list.pages == 0 ? ListStep::kFailed : EndPartialList(list);
}

ListStep OnFailedPageCall(ListReading& list, PageFailure failure) {
  if (IsGuess(list) && failure != PageFailure::kRateLimited) {
    return OnGuessFailed(
        list, failure == PageFailure::kLost ? kFailuresOfLostCall : 1);
  }
  ++list.failed_calls;
  return list.pages > 0 && list.failed_calls >= kMaxFailedPageCalls
             ? EndPartialList(list)
             : ListStep::kFailed;
}

}  // namespace sassafras
