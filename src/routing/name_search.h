// Searches for a name after which a list goes on behind a page without readable
// names.
//
// The list was continued after `from`. If it is in the order of bytes, there is
// a plain name (routing/object_names.h) such that it shows other objects after
// that name and all later ones, but not after earlier ones. A binary search
// over a few hundred names comes close to it, and searches over the names that
// begin with the last one that is too early come closer.
#ifndef ROUTING_NAME_SEARCH_H_
#define ROUTING_NAME_SEARCH_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace sassafras {

// Binary searches in one search. Each tells names apart by one more character.
inline constexpr int kNameSearchRounds = 3;
// Pages that may be read for all searches of a list.
inline constexpr int kMaxSearchPages = 100;

struct NameSearch {
  std::string from;                // Too early.
  std::vector<std::string> names;  // Of this round, in ascending order.
  // The first of `names` that is not too early is at one of these indices or
  // between them; names.size(): all are too early.
  size_t first = 0;
  size_t last = 0;
  int round = 0;
  std::string found;  // The earliest that was not too early; empty: none.
  int pages = 0;      // In all searches of the list.
};

void BeginSearch(NameSearch& search, const std::string& from);
// Begins with `name` only, which an earlier search has found.
void TryFoundName(NameSearch& search, const std::string& name);
// The name to try next; nothing if the search has ended, at `found`.
std::optional<std::string> NextSearchName(NameSearch& search);
// After the last name that was to be tried, the list shows other objects or its
// end.
void OnSearchResult(NameSearch& search, bool leads_on);

}  // namespace sassafras

#endif  // ROUTING_NAME_SEARCH_H_
