#include "base/loop.h"

#include <ev.h>

#include <utility>
#include <vector>

namespace sassafras {

namespace {

class SocketWatch : public Watch {
 public:
  SocketWatch(struct ev_loop* loop,
              int fd,
              int events,
              std::function<void(bool, bool)> fn)
      : loop_(loop), fn_(std::move(fn)) {
    ev_io_init(&io_, &SocketWatch::OnEvent, fd, events);
    io_.data = this;
    ev_io_start(loop_, &io_);
  }
  ~SocketWatch() override { ev_io_stop(loop_, &io_); }

 private:
  static void OnEvent(struct ev_loop*, ev_io* io, int events) {
    // The copy keeps the callback alive if it destroys this watch.
    const auto fn = static_cast<SocketWatch*>(io->data)->fn_;
    fn((events & EV_READ) != 0, (events & EV_WRITE) != 0);
  }

  struct ev_loop* loop_;
  ev_io io_;
  std::function<void(bool, bool)> fn_;
};

class TimerWatch : public Watch {
 public:
  TimerWatch(struct ev_loop* loop,
             Duration delay,
             Duration period,
             std::function<void()> fn)
      : loop_(loop), fn_(std::move(fn)) {
    // libev starts timers from the loop's cached time, which may be in the
    // past.
    ev_now_update(loop_);
    ev_timer_init(&timer_, &TimerWatch::OnEvent, Seconds(delay),
                  Seconds(period));
    timer_.data = this;
    ev_timer_start(loop_, &timer_);
  }
  ~TimerWatch() override { ev_timer_stop(loop_, &timer_); }

 private:
  static void OnEvent(struct ev_loop*, ev_timer* timer, int) {
    const auto fn = static_cast<TimerWatch*>(timer->data)->fn_;
    fn();
  }

  struct ev_loop* loop_;
  ev_timer timer_;
  std::function<void()> fn_;
};

class SignalWatch : public Watch {
 public:
  SignalWatch(struct ev_loop* loop, int signal, std::function<void()> fn)
      : loop_(loop), fn_(std::move(fn)) {
    ev_signal_init(&signal_, &SignalWatch::OnEvent, signal);
    signal_.data = this;
    ev_signal_start(loop_, &signal_);
  }
  ~SignalWatch() override { ev_signal_stop(loop_, &signal_); }

 private:
  static void OnEvent(struct ev_loop*, ev_signal* signal, int) {
    const auto fn = static_cast<SignalWatch*>(signal->data)->fn_;
    fn();
  }

  struct ev_loop* loop_;
  ev_signal signal_;
  std::function<void()> fn_;
};

}  // namespace

struct Loop::Impl {
  struct ev_loop* loop = ev_default_loop(EVFLAG_AUTO);
  ev_async wake;
  std::vector<std::function<void()>> posted_callbacks;

  static void OnWake(struct ev_loop*, ev_async* wake, int) {
    auto* impl = static_cast<Impl*>(wake->data);
    std::vector<std::function<void()>> batch;
    batch.swap(impl->posted_callbacks);
    for (auto& fn : batch)
      fn();
  }
};

Loop::Loop() : impl_(std::make_unique<Impl>()) {
  ev_async_init(&impl_->wake, &Impl::OnWake);
  impl_->wake.data = impl_.get();
  ev_async_start(impl_->loop, &impl_->wake);
}

Loop::~Loop() {
  ev_async_stop(impl_->loop, &impl_->wake);
}

void Loop::Run() {
  ev_run(impl_->loop, 0);
}

void Loop::Stop() {
  ev_break(impl_->loop, EVBREAK_ALL);
}

std::unique_ptr<Watch> Loop::OnSocket(int fd,
                                      Ready ready,
                                      std::function<void(bool, bool)> fn) {
  int events = 0;
  if (ready != Ready::kWrite)
    events |= EV_READ;
  if (ready != Ready::kRead)
    events |= EV_WRITE;
  return std::make_unique<SocketWatch>(impl_->loop, fd, events, std::move(fn));
}

std::unique_ptr<Watch> Loop::After(Duration delay, std::function<void()> fn) {
  return std::make_unique<TimerWatch>(impl_->loop, delay, Duration(0),
                                      std::move(fn));
}

std::unique_ptr<Watch> Loop::Every(Duration period, std::function<void()> fn) {
  return std::make_unique<TimerWatch>(impl_->loop, period, period,
                                      std::move(fn));
}

std::unique_ptr<Watch> Loop::OnSignal(int signal, std::function<void()> fn) {
  return std::make_unique<SignalWatch>(impl_->loop, signal, std::move(fn));
}

void Loop::Post(std::function<void()> fn) {
  impl_->posted_callbacks.push_back(std::move(fn));
  ev_async_send(impl_->loop, &impl_->wake);
}

}  // namespace sassafras
