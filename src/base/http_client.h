// HTTP requests through libcurl's multi interface on the event loop.
#ifndef BASE_HTTP_CLIENT_H_
#define BASE_HTTP_CLIENT_H_

#include <curl/curl.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/loop.h"

namespace sassafras {

// One HTTP exchange; it lives until its driver reports the end.
struct HttpTransfer {
  CURL* easy = curl_easy_init();
  curl_slist* headers = nullptr;
  std::string request;                            // Body that is sent.
  std::string response;                           // Body that was received.
  std::function<void(std::string_view)> on_data;  // Instead of `response`.
  std::chrono::seconds peer_timeout{};            // See EnableKeepAlive().

  HttpTransfer() = default;
  HttpTransfer(const HttpTransfer&) = delete;
  HttpTransfer& operator=(const HttpTransfer&) = delete;
  ~HttpTransfer();

  // Status of the answer; zero if there was none.
  long Status() const;
  void SetTimeout(Duration timeout);
  // Sends `body` as JSON by `method`.
  void SetJson(const char* method, std::string body);
  // Finds out within `longest` that the peer has vanished, also while no bytes
  // are due.
  void EnableKeepAlive(std::chrono::seconds timeout);
};

std::shared_ptr<HttpTransfer> MakeHttpTransfer(const std::string& url);

// Drives the transfers that are added to it.
class CurlDriver {
 public:
  // `max_connections` bounds the pool of kept connections.
  CurlDriver(Loop& loop, long max_connections);
  ~CurlDriver();
  CurlDriver(const CurlDriver&) = delete;
  CurlDriver& operator=(const CurlDriver&) = delete;

  // Starts a transfer. `on_done` is called once, on a later turn of the loop,
  // when it has ended; the handle is then no longer part of the driver.
  void Add(CURL* easy, std::function<void(CURLcode)> on_done);
  // Ends a transfer without calling its `on_done`.
  void Remove(CURL* easy);

 private:
  static int OnSocket(CURL*, curl_socket_t fd, int what, void* self, void*);
  static int OnTimer(CURLM*, long timeout_ms, void* self);
  void RunSocketAction(curl_socket_t fd, int events);
  void FinishCompletedTransfers();

  Loop& loop_;
  CURLM* multi_;
  std::map<curl_socket_t, std::unique_ptr<Watch>> sockets_;
  std::unique_ptr<Watch> timer_;
  std::unordered_map<CURL*, std::function<void(CURLcode)>> transfers_;
  // Ends callbacks that were posted before the driver's end.
  std::shared_ptr<bool> alive_;
};

}  // namespace sassafras

#endif  // BASE_HTTP_CLIENT_H_
