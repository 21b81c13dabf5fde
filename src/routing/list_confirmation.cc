#include "routing/list_confirmation.h"

#include <algorithm>
#include <utility>

namespace sassafras {

namespace {

ListReading SecondReading(const ConfirmedList& list, const ListReading& first) {
  ListReading reading;
  reading.prefers_written_names = true;
  reading.begun_at = first.begun_at;
  reading.failures_by_way = first.failures_by_way;
  reading.found_by_search = first.found_by_search;
  reading.known_names = list.known_names;
  reading.expected_names = list.expected_names;
  return reading;
}

// Whether `list` shows all objects of `other` that are not newer than itself.
bool ShowsAllOf(const ListReading& list, const ListReading& other) {
  return std::all_of(other.revisions.begin(), other.revisions.end(),
                     [&](const auto& it) {
                       return list.revisions.count(it.first) > 0 ||
                              it.second > list.as_of.revision();
                     });
}

// Adds the objects of `first` to those of `reading`.
void AddReading(ListReading& reading, ListReading first) {
  for (StoreObject& it : first.objects) {
    uint64_t& revision = reading.revisions[it.name];
    if (revision >= it.revision)
      continue;
    revision = it.revision;
    reading.objects.push_back(std::move(it));
  }
  reading.as_of =
      reading.pages == 0 ? first.as_of : std::min(reading.as_of, first.as_of);
  reading.newest_as_of = std::max(reading.newest_as_of, first.newest_as_of);
}

}  // namespace

ConfirmedList BeginList(std::set<std::string> known_names,
                        std::set<std::string> expected_names) {
  ConfirmedList list;
  list.reading.known_names = known_names;
  list.reading.expected_names = expected_names;
  list.known_names = std::move(known_names);
  list.expected_names = std::move(expected_names);
  return list;
}

ListStep ConfirmList(ConfirmedList& list, ListStep step) {
  const bool has_ended = step == ListStep::kWhole || step == ListStep::kPartial;
  ListReading& reading = list.reading;
  if (!list.first) {
    if (!has_ended || reading.skips == 0)
      return step;
    list.is_first_whole = step == ListStep::kWhole;
    list.first = std::move(reading);
    reading = SecondReading(list, *list.first);
    return ListStep::kReadAgain;
  }
  // The first reading is not lost if the second one cannot be begun.
  const bool cannot_begin = step == ListStep::kFailed && reading.pages == 0;
  if (!has_ended && !cannot_begin)
    return step;
  ListReading first = std::move(*list.first);
  list.first.reset();
  if (reading.pages > 0 && reading.as_of.era() != first.as_of.era())
    return step;
  const bool is_whole = step == ListStep::kWhole &&
                        (ShowsAllOf(reading, first) ||
                         (list.is_first_whole && ShowsAllOf(first, reading)));
  AddReading(reading, std::move(first));
  return is_whole ? ListStep::kWhole : ListStep::kPartial;
}

}  // namespace sassafras
