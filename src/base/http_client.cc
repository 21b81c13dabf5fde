#include "base/http_client.h"

#include <utility>
#include <vector>

namespace sassafras {

CurlDriver::CurlDriver(Loop& loop, long max_connections)
    : loop_(loop),
      multi_(curl_multi_init()),
      alive_(std::make_shared<bool>(true)) {
  curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &CurlDriver::OnSocket);
  curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &CurlDriver::OnTimer);
  curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, max_connections);
}

CurlDriver::~CurlDriver() {
  *alive_ = false;
  for (const auto& [easy, on_done] : transfers_)
    curl_multi_remove_handle(multi_, easy);
  curl_multi_cleanup(multi_);
}

void CurlDriver::Add(CURL* easy, std::function<void(CURLcode)> on_done) {
  transfers_[easy] = std::move(on_done);
  curl_multi_add_handle(multi_, easy);
}

void CurlDriver::Remove(CURL* easy) {
  if (transfers_.erase(easy) > 0)
    curl_multi_remove_handle(multi_, easy);
}

int CurlDriver::OnSocket(CURL*, curl_socket_t fd, int what, void* self, void*) {
  auto* driver = static_cast<CurlDriver*>(self);
  driver->sockets_.erase(fd);
  if (what == CURL_POLL_REMOVE)
    return 0;
  const Ready ready = what == CURL_POLL_IN    ? Ready::kRead
                      : what == CURL_POLL_OUT ? Ready::kWrite
                                              : Ready::kReadWrite;
  driver->sockets_[fd] = driver->loop_.OnSocket(
      fd, ready, [driver, fd](bool readable, bool writable) {
        int events = 0;
        if (readable)
          events |= CURL_CSELECT_IN;
        if (writable)
          events |= CURL_CSELECT_OUT;
        driver->Action(fd, events);
      });
  return 0;
}

int CurlDriver::OnTimer(CURLM*, long timeout_ms, void* self) {
  auto* driver = static_cast<CurlDriver*>(self);
  driver->timer_.reset();
  if (timeout_ms < 0)
    return 0;
  driver->timer_ =
      driver->loop_.After(std::chrono::milliseconds(timeout_ms),
                          [driver] { driver->Action(CURL_SOCKET_TIMEOUT, 0); });
  return 0;
}

void CurlDriver::Action(curl_socket_t fd, int events) {
  int running = 0;
  curl_multi_socket_action(multi_, fd, events, &running);
  CollectDone();
}

void CurlDriver::CollectDone() {
  int left = 0;
  std::vector<std::pair<CURL*, CURLcode>> done;
  while (CURLMsg* msg = curl_multi_info_read(multi_, &left)) {
    if (msg->msg == CURLMSG_DONE)
      done.emplace_back(msg->easy_handle, msg->data.result);
  }
  for (const auto& [easy, code] : done) {
    const auto it = transfers_.find(easy);
    if (it == transfers_.end())
      continue;
    auto on_done = std::move(it->second);
    transfers_.erase(it);
    curl_multi_remove_handle(multi_, easy);
    loop_.Post([alive = alive_, on_done = std::move(on_done), code = code] {
      if (*alive)
        on_done(code);
    });
  }
}

}  // namespace sassafras
