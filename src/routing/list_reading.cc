#include "routing/list_reading.h"

#include <algorithm>
#include <iterator>
#include <utility>

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
  list.objects.insert(list.objects.end(),
                      std::make_move_iterator(page.objects.begin()),
                      std::make_move_iterator(page.objects.end()));
  if (!page.has_more)
    return ListStep::kWhole;
  // The list would go round in a circle after a name that it has been
  // continued from before.
  if (page.last_name.empty() ||
      !list.continued_after.insert(page.last_name).second)
    return ListStep::kPartial;
  list.after = std::move(page.last_name);
  return ListStep::kReadOn;
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
