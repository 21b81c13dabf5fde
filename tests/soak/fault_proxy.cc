#include "soak/fault_proxy.h"

#include <algorithm>
#include <cstdlib>
#include <string>
#include <utility>

namespace sassafras {

namespace {

// Between two pieces that are late, so that their order stays.
constexpr Duration kMinGap = std::chrono::milliseconds(1);

}  // namespace

FaultProxy::FaultProxy(Loop& loop, const Address& listen, Address target)
    : loop_(loop), target_(std::move(target)) {
  auto listener = Listen(listen);
  if (!listener)
    std::abort();
  listener_ = std::move(listener.value());
  accept_ = loop_.OnSocket(listener_.fd(), Ready::kRead,
                           [this](bool, bool) { Accept(); });
}

FaultProxy::~FaultProxy() {
  for (const LinkPtr& it : *links_) {
    it->is_open = false;
    it->delayed.clear();
    it->user.stream->Close();
    it->behind.stream->Close();
  }
}

void FaultProxy::SilenceAll() {
  for (const LinkPtr& it : *links_) {
    it->user.is_lossy = true;
    it->behind.is_lossy = true;
  }
}

bool FaultProxy::IsCut(bool towards) const {
  return mode_ == ProxyMode::kSilent ||
         mode_ == (towards ? ProxyMode::kCutTowards : ProxyMode::kCutBackward);
}

void FaultProxy::Accept() {
  Socket socket = AcceptConnection(listener_);
  if (!socket.valid() || mode_ == ProxyMode::kRefuse)
    return;
  auto behind = Stream::Connect(loop_, target_, "");
  if (!behind)
    return;
  auto link = std::make_shared<Link>();
  link->user.stream = Stream::Adopt(loop_, std::move(socket));
  link->behind.stream = std::move(behind.value());
  links_->push_back(link);
  const auto handlers = [this, link](Side& from, Side& to) {
    Stream::Handlers out;
    out.on_data = [this, link, &from, &to](std::string_view data) {
      Pass(link, from, to, data);
    };
    // A link that is cut passes no end on either.
    out.on_end = [this, link, &from](StreamEnd) {
      if (from.is_lossy || IsCut(&from == &link->user))
        return;
      const Duration left = from.due - loop_.Now();
      if (left <= Duration(0)) {
        Close(link);
        return;
      }
      // What it has sent arrives before its end.
      link->delayed.push_back(
          loop_.After(left + kMinGap, [this, link] { Close(link); }));
    };
    return out;
  };
  link->user.stream->Start(handlers(link->user, link->behind));
  link->behind.stream->Start(handlers(link->behind, link->user));
}

void FaultProxy::Pass(const LinkPtr& link,
                      Side& from,
                      Side& to,
                      std::string_view data) {
  from.is_lossy = from.is_lossy || IsCut(&from == &link->user);
  if (from.is_lossy || !link->is_open)
    return;
  const Time now = loop_.Now();
  const Time due = std::max(mode_ == ProxyMode::kDelay ? now + delay_ : now,
                            from.due > now ? from.due + kMinGap : now);
  if (due <= now) {
    to.stream->Write(data);
    return;
  }
  from.due = due;
  link->delayed.push_back(
      loop_.After(due - now, [link, &to, text = std::string(data)] {
        if (link->is_open)
          to.stream->Write(text);
      }));
}

void FaultProxy::Close(const LinkPtr& link) {
  if (!std::exchange(link->is_open, false))
    return;
  link->user.stream->CloseGracefully();
  link->behind.stream->Close();
  // The proxy may be gone by then.
  loop_.Post([links = links_, link] {
    link->delayed.clear();
    links->erase(std::remove(links->begin(), links->end(), link), links->end());
  });
}

void FaultProxy::ResetAll() {
  for (const LinkPtr& it : Links(*links_)) {
    it->user.stream->Close();
    Close(it);
  }
}

}  // namespace sassafras
