// The event loop of a process, based on libev: socket readiness, timers,
// signals and deferred calls. All callbacks run on the single thread of the
// loop.
#ifndef BASE_LOOP_H_
#define BASE_LOOP_H_

#include <functional>
#include <memory>

#include "base/time.h"

struct ev_loop;

namespace sassafras {

class Loop;

// A subscription to socket readiness, to a timer or to a signal. Destroying
// it ends the subscription.
class Watch {
 public:
  virtual ~Watch() = default;
};

enum class Ready { kRead, kWrite, kReadWrite };

class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  // Runs until Stop().
  void Run();
  void Stop();

  // Calls `fn(readable, writable)` whenever `fd` is ready.
  std::unique_ptr<Watch> OnSocket(int fd,
                                  Ready ready,
                                  std::function<void(bool, bool)> fn);
  // Calls `fn` once after `delay`.
  std::unique_ptr<Watch> After(Duration delay, std::function<void()> fn);
  // Calls `fn` every `period`.
  std::unique_ptr<Watch> Every(Duration period, std::function<void()> fn);
  std::unique_ptr<Watch> OnSignal(int signal, std::function<void()> fn);
  // Runs `fn` in a later iteration of the loop, after the current callback has
  // returned. This avoids re-entrant calls between parts of the program. Call
  // it on the thread of the loop only.
  void Post(std::function<void()> fn);

  // Current monotonic time.
  Time Now() const { return MonotonicNow(); }

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sassafras

#endif  // BASE_LOOP_H_
