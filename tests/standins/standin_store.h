// A small stand-in for the platform's store: objects with versions,
// conditional updates, lists and watches over HTTP, with faults on command.
//
// Objects live under /v1/objects/KIND/NAME. Faults are set by PUT /control
// with a JSON object of these fields, all optional:
//   refuse (bool)        answer 503 to every call without doing it
//   delay_ms (int)       wait before each answer
//   hang (bool)          take calls and never answer
//   lose_writes (int)    do this many writes and drop their answers
//   drop_watches (bool)  end all watches now
//   compact (bool)       watches from older versions get 410
//   calls_per_second (int) answer 429 above this rate; 0 for no limit
// GET /control tells the number of calls by kind of call.
#ifndef STANDINS_STANDIN_STORE_H_
#define STANDINS_STANDIN_STORE_H_

#include <memory>

#include "base/address.h"
#include "base/error.h"
#include "base/loop.h"

namespace sassafras {

class StandinStore {
 public:
  virtual ~StandinStore() = default;
};

Result<std::unique_ptr<StandinStore>> StartStandinStore(Loop& loop,
                                                        const Address& listen);

}  // namespace sassafras

#endif  // STANDINS_STANDIN_STORE_H_
