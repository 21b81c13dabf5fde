// Reads a list of store objects page by page.
//
// A list goes on after a name. The store's documentation leaves open how a name
// must be written, whether an object must have it, and how names are ordered,
// and other writers may give objects any name. So there are several ways to go
// on behind a page, each of which fails with some store. If the last name on
// the page is plain (routing/object_names.h), the list goes on after it.
// Otherwise the ways are tried in turn until one shows objects that the list
// has not shown before.
//
// What was read is used even if the list cannot go on, but it does not show
// that other objects are gone. See routing/list_confirmation.h for lists that
// have passed over names.
#ifndef ROUTING_LIST_READING_H_
#define ROUTING_LIST_READING_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/names_table.h"
#include "decisions/store_calls.h"
#include "routing/name_search.h"

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

// How a list goes on behind a page.
enum class ListWay {
  // After its last name, which is plain, or another plain name that an object
  // has; also: the first page.
  kLastName,
  kPlainName,  // After its last plain name, which other names follow.
  // After the next plain name that an object could have. Passes over the names
  // up to it, if the list is in the order of bytes.
  kNextPlainName,
  kWrittenName,  // After its last name, which is not plain.
  // After plain names that may lie behind a page without readable names, until
  // one of them shows other objects.
  kSearch,
};

template <>
struct NamesTable<ListWay> {
  static constexpr EnumName<ListWay> kNames[] = {
      {ListWay::kLastName, "last_name"},
      {ListWay::kPlainName, "plain_name"},
      {ListWay::kNextPlainName, "next_plain_name"},
      {ListWay::kWrittenName, "written_name"},
      {ListWay::kSearch, "search"},
  };
};

// A list of which some pages have been read.
struct ListReading {
  std::vector<StoreObject> objects;
  // Revisions of `objects`, by name; zero: an object that cannot be read.
  std::map<std::string, uint64_t> revisions;
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

  // The names on the page behind which the list goes on; empty if there are
  // none.
  std::string last_name;
  std::string last_plain_name;
  ListWay way = ListWay::kLastName;  // Of `after`.
  std::deque<ListWay> ways_left;     // Not tried yet behind that page.
  // Calls that failed since a way last led on. Ways that fail often are tried
  // last.
  std::map<ListWay, int> failures_by_way;
  bool prefers_written_names = false;  // To the next plain name.
  NameSearch search;
  std::string last_after;  // From which `search` was begun.
  // What searches have found, by the names from which they began. Remains valid
  // from one list to the next.
  std::map<std::string, std::string> found_by_search;

  size_t skips = 0;          // Pages behind which names were passed over.
  size_t names_written = 0;  // Pages behind which kWrittenName led on.
  bool is_in_byte_order = true;
  bool has_ended = false;  // No further page is to be read.
  // Objects other than those that were read may exist.
  bool may_lack_objects = false;
  std::string next_object;  // For ListStep::kReadObject.
  // Of the objects that were known before the list was begun. Once it has
  // ended, only of those that it lacks and that must still be read.
  std::set<std::string> known_names;
  // That objects may have, whether or not they are known. They are read by
  // themselves if the list may lack them.
  std::set<std::string> expected_names;
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
  // See ConfirmList(): the first page must be read again.
  kReadAgain,
};

template <>
struct NamesTable<ListStep> {
  static constexpr EnumName<ListStep> kNames[] = {
      {ListStep::kReadOn, "read_on"},
      {ListStep::kReadObject, "read_object"},
      {ListStep::kWhole, "whole"},
      {ListStep::kPartial, "partial"},
      {ListStep::kFailed, "failed"},
      {ListStep::kRestart, "restart"},
      {ListStep::kReadAgain, "read_again"},
  };
};

// Why a call for a page has brought no answer.
enum class PageFailure {
  kLost,
  kUnavailable,  // The store answered with a server error.
  kRateLimited,
};

// Whether the store may answer the next call for a page differently from others
// because of the name in it, so that a failure does not show its state.
bool IsGuess(const ListReading& list);

// Adds the next page.
ListStep OnPage(ListReading& list, ListPage page, ListFreshness freshness);
// The call for `next_object` has ended.
ListStep OnObject(ListReading& list, const StoreReply& reply);
// The store has answered the call for the next page, but not with a page that
// can be read.
ListStep OnUnreadablePage(ListReading& list);
// The call for the next page has failed.
ListStep OnFailedPageCall(ListReading& list,
                          PageFailure failure = PageFailure::kUnavailable);

}  // namespace sassafras

#endif  // ROUTING_LIST_READING_H_
