// Reads a list of store objects page by page.
//
// Handles lists that cannot be continued: a page that cannot be read, or one
// whose names lead to no further page. What was read of such a list is used,
// but it does not show that other objects are gone.
//
// A list goes on after plain names only (routing/object_names.h), since stores
// may read other names differently. After a page without plain names, all names
// up to the next possible plain one are skipped. That passes over no plain name
// if the list is in the order of bytes, but the order is unspecified. So such a
// list is whole only if its names are in that order, and if the known objects
// that it lacks are found to be gone.
#ifndef ROUTING_LIST_READING_H_
#define ROUTING_LIST_READING_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "base/names_table.h"
#include "decisions/store_calls.h"

namespace sassafras {

struct ListPage {
  std::vector<StoreObject> objects;  // Those that can be read.
  // Of the last object that has a readable name, even if the object itself
  // cannot be read. Empty if there is none.
  std::string last_name;
  bool has_more = false;
  // The store's position; of its era, but unknown, if it cannot be read. Its
  // era is also that of the objects' revisions.
  StorePosition as_of;
};

// A list of which some pages have been read.
struct ListReading {
  std::vector<StoreObject> objects;
  std::string after;  // The next page begins after this name.
  // Up to which the list certainly includes all changes. All pages are of its
  // era.
  StorePosition as_of;
  // Position that the store had reached before the list was begun. Pages that
  // name no revision are at least as new.
  StorePosition begun_at;
  StorePosition newest_as_of;  // Of the pages.
  size_t pages = 0;
  std::set<std::string> continued_after;
  int failed_calls = 0;  // For the next page.
  size_t skips = 0;      // Pages after which names were skipped.
  bool is_in_byte_order = true;
  bool has_ended = false;  // No further page is to be read.
  // Objects other than those that were read may exist.
  bool may_lack_objects = false;
  std::string next_object;  // For ListStep::kReadObject.
  // Of the objects that were known before the list was begun. Once it has
  // ended, only of those that it lacks and that must still be read.
  std::set<std::string> known_names;
};

// Calls for a page after the first one that may fail before the list is taken
// as one that cannot go on.
inline constexpr int kMaxFailedPageCalls = 3;
// A list that lacks more of the known objects is taken as partial, without a
// call for each of them.
inline constexpr size_t kMaxMissingObjectsRead = 100;

enum class ListStep {
  kReadOn,  // The next page must be read.
  // The object named `next_object` must be read, in its current state; then
  // OnObject() must be called.
  kReadObject,
  kWhole,    // The list is complete.
  kPartial,  // The list has ended, but other objects may exist.
  kFailed,   // The next page must be tried again.
  kRestart,  // The store began a new era; the list must be read anew.
};

template <>
struct NamesTable<ListStep> {
  static constexpr EnumName<ListStep> kNames[] = {
      {ListStep::kReadOn, "read_on"}, {ListStep::kReadObject, "read_object"},
      {ListStep::kWhole, "whole"},    {ListStep::kPartial, "partial"},
      {ListStep::kFailed, "failed"},  {ListStep::kRestart, "restart"},
  };
};

// Adds the next page.
ListStep OnPage(ListReading& list, ListPage page, ListFreshness freshness);
// The call for `next_object` has ended.
ListStep OnObject(ListReading& list, const StoreReply& reply);
// The store has answered the call for the next page, but not with a page that
// can be read.
ListStep OnUnreadablePage(const ListReading& list);
// The call for the next page was lost, or the store could not answer it.
ListStep OnFailedPageCall(ListReading& list);

}  // namespace sassafras

#endif  // ROUTING_LIST_READING_H_
