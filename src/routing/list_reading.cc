#include "routing/list_reading.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

#include "routing/object_names.h"

namespace sassafras {

namespace {

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

// Lets the list go on after `name`; false if that would lead in a circle.
bool ContinueAfter(ListReading& list, const std::string& name) {
  if (!list.continued_after.insert(name).second)
    return false;
  list.after = name;
  return true;
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

// Reads the next of the known objects that the list lacks.
ListStep ReadNextMissing(ListReading& list) {
  if (list.may_lack_objects)
    return ListStep::kPartial;
  if (list.known_names.empty())
    return ListStep::kWhole;
  list.next_object = list.known_names.extract(list.known_names.begin()).value();
  return ListStep::kReadObject;
}

// All pages that can hold plain names have been read.
ListStep EndList(ListReading& list) {
  list.has_ended = true;
  if (list.skips == 0)
    return ListStep::kWhole;
  for (const StoreObject& it : list.objects)
    list.known_names.erase(it.name);
  // No call can name the others.
  for (auto it = list.known_names.begin(); it != list.known_names.end();)
    it = IsPlainName(*it) ? std::next(it) : list.known_names.erase(it);
  // A page that may be stale and shows no object has no position.
  if (!list.is_in_byte_order || !list.as_of.is_known() ||
      list.known_names.size() > kMaxMissingObjectsRead)
    list.may_lack_objects = true;
  return ReadNextMissing(list);
}

// Lets the list go on after a page that is not its last one, and that ends with
// `last_name`.
ListStep ContinueList(ListReading& list,
                      const std::string& last_name,
                      const std::string& last_plain_name) {
  // Objects behind the last plain name come again with the next page.
  if (!last_plain_name.empty() && ContinueAfter(list, last_plain_name))
    return ListStep::kReadOn;
  if (last_name.empty() || last_name == last_plain_name)
    return ListStep::kPartial;
  ++list.skips;
  const auto next = NextPlainName(last_name);
  if (!next)
    return EndList(list);
  if (!ContinueAfter(list, *next))
    return ListStep::kPartial;
  // The next page begins behind this name.
  list.next_object = list.after;
  return ListStep::kReadObject;
}

}  // namespace

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
  if (!IsInByteOrder(list.after, page))
    list.is_in_byte_order = false;
  const std::string last_plain_name = LastPlainName(page);
  list.objects.insert(list.objects.end(),
                      std::make_move_iterator(page.objects.begin()),
                      std::make_move_iterator(page.objects.end()));
  if (!page.has_more)
    return EndList(list);
  return ContinueList(list, page.last_name, last_plain_name);
}

ListStep OnObject(ListReading& list, const StoreReply& reply) {
  const bool is_found = reply.status == StoreStatus::kOk &&
                        !reply.objects.empty() &&
                        reply.objects[0].name == list.next_object;
  if (is_found)
    list.objects.push_back(reply.objects[0]);
  else if (reply.status != StoreStatus::kNotFound)
    list.may_lack_objects = true;
  if (!list.has_ended)
    return ListStep::kReadOn;
  // A skip has led past an object that is not newer than the list.
  if (is_found && reply.objects[0].revision <= list.as_of.revision())
    list.may_lack_objects = true;
  return ReadNextMissing(list);
}

ListStep OnUnreadablePage(const ListReading& list) {
  return list.pages == 0 ? ListStep::kFailed : ListStep::kPartial;
}

ListStep OnFailedPageCall(ListReading& list) {
  ++list.failed_calls;
  return list.pages > 0 && list.failed_calls >= kMaxFailedPageCalls
             ? ListStep::kPartial
             : ListStep::kFailed;
}

}  // namespace sassafras
