#include "routing/name_search.h"

#include <utility>

#include "routing/object_names.h"

namespace sassafras {

namespace {

size_t MiddleOf(const NameSearch& search) {
  return search.first + (search.last - search.first) / 2;
}

void BeginRound(NameSearch& search, std::vector<std::string> names) {
  search.names = std::move(names);
  search.first = 0;
  search.last = search.names.size();
  ++search.round;
}

}  // namespace

void BeginSearch(NameSearch& search, const std::string& from) {
  search.from = from;
  search.round = 0;
  search.found.clear();
  BeginRound(search, PlainNamesBehind(from));
}

void TryFoundName(NameSearch& search, const std::string& name) {
  search.found.clear();
  BeginRound(search, {name});
  search.round = kNameSearchRounds;
}

std::optional<std::string> NextSearchName(NameSearch& search) {
  while (search.first == search.last) {
    // Nothing lies between `from` and the first name of a round.
    if (search.first == 0 || search.round >= kNameSearchRounds)
      return std::nullopt;
    if (search.found.empty())
      return std::nullopt;
    search.from = search.names[search.first - 1];
    BeginRound(search, PlainNamesWithPrefix(search.from));
  }
  if (search.pages >= kMaxSearchPages)
    return std::nullopt;
  ++search.pages;
  return search.names[MiddleOf(search)];
}

void OnSearchResult(NameSearch& search, bool leads_on) {
  const size_t middle = MiddleOf(search);
  if (leads_on) {
    search.found = search.names[middle];
    search.last = middle;
  } else {
    search.first = middle + 1;
  }
}

}  // namespace sassafras
