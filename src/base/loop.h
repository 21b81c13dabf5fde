// The event loop of a process: socket readiness, timers, signals and
// deferred calls, on libev. All parts of a process run on its one thread.
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
  // Timer service: calls `fn` once after `delay`.
  std::unique_ptr<Watch> After(Duration delay, std::function<void()> fn);
  // Timer service: calls `fn` every `period`.
  std::unique_ptr<Watch> Every(Duration period, std::function<void()> fn);
  std::unique_ptr<Watch> OnSignal(int signal, std::function<void()> fn);
  // Mailbox of the thread: runs `fn` on a later turn of the loop. Parts use
  // it to pass messages to one another without re-entering.
  void Post(std::function<void()> fn);

  // Time at the start of the current turn.
  Time Now() const { return MonotonicNow(); }

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sassafras

#endif  // BASE_LOOP_H_
