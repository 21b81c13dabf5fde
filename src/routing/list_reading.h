// Reads a list of store objects page by page.
//
// Handles lists that cannot be continued: a page that cannot be read, or one
// whose names lead to no further page. What was read of such a list is used,
// but it does not show that other objects are gone.
//
// A list goes on after plain names only (routing/object_names.h), since stores
// may read other names differently. On a page that has none, everything between
// its last name and the next possible plain name is skipped. Lists are taken to
// be in the order of bytes for that, which no store states; so such a list does
// not show either that other objects are gone.
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
  size_t skips = 0;      // Pages after which a range of names was skipped.
  int failed_calls = 0;  // For the next page.
};

// Calls for a page after the first one that may fail before the list is taken
// as one that cannot go on.
inline constexpr int kMaxFailedPageCalls = 3;

enum class ListStep {
  kReadOn,  // The next page must be read.
  // The object named `after` must be read, if it exists, and then the next
  // page, which begins behind it.
  kReadObjectAndOn,
  kWhole,    // The list is complete.
  kPartial,  // The list has ended, but other objects may exist.
  kFailed,   // The next page must be tried again.
  kRestart,  // The store began a new era; the list must be read anew.
};

template <>
struct NamesTable<ListStep> {
  static constexpr EnumName<ListStep> kNames[] = {
      {ListStep::kReadOn, "read_on"},
      {ListStep::kReadObjectAndOn, "read_object_and_on"},
      {ListStep::kWhole, "whole"},
      {ListStep::kPartial, "partial"},
      {ListStep::kFailed, "failed"},
      {ListStep::kRestart, "restart"},
  };
};

// Adds the next page.
ListStep OnPage(ListReading& list, ListPage page, ListFreshness freshness);
// The store has answered the call for the next page, but not with a page that
// can be read.
ListStep OnUnreadablePage(const ListReading& list);
// The call for the next page was lost, or the store could not answer it.
ListStep OnFailedPageCall(ListReading& list);

}  // namespace sassafras

#endif  // ROUTING_LIST_READING_H_
