// Tells whether a list is whole that has passed over names.
//
// If the last name on a page cannot be sent to any store, a list goes on after
// a later name that it can send (ListWay::kNextPlainName). That passes over
// objects if the order of the store is not that of bytes. So such a list is
// read a second time, by the names as they are written. Objects exist if either
// reading shows them. The list is whole if the second reading can be ended, and
// one that is whole shows all that the other one does.
#ifndef ROUTING_LIST_CONFIRMATION_H_
#define ROUTING_LIST_CONFIRMATION_H_

#include <optional>
#include <set>
#include <string>

#include "routing/list_reading.h"

namespace sassafras {

struct ConfirmedList {
  ListReading reading;
  // Both readings begin with these; see ListReading.
  std::set<std::string> known_names;
  std::set<std::string> expected_names;
  // The first reading, while the second one goes on.
  std::optional<ListReading> first;
  bool is_first_whole = false;
};

ConfirmedList BeginList(std::set<std::string> known_names,
                        std::set<std::string> expected_names);

// Handles the step to which the last page, object or failure has led. Returns
// the step to take for the list as a whole. On kReadAgain, the objects in
// `first` should be used as those of a partial list, since the second reading
// may take longer. On kWhole and kPartial, `reading` holds the objects of both.
ListStep ConfirmList(ConfirmedList& list, ListStep step);

}  // namespace sassafras

#endif  // ROUTING_LIST_CONFIRMATION_H_
