// An HTTP/1.1 server that runs libmicrohttpd on the event loop. Request and
// response bodies can be streamed with back-pressure.
#ifndef BASE_HTTP_SERVER_H_
#define BASE_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/address.h"
#include "base/byte_pipe.h"
#include "base/error.h"
#include "base/loop.h"

namespace sassafras {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// One request of a client and its response, shared between the connection that
// serves it and its handler.
class HttpSession {
 public:
  virtual ~HttpSession() = default;

  virtual const std::string& method() const = 0;
  // Path and query, as the client sent them.
  virtual const std::string& target() const = 0;
  virtual const std::string& path() const = 0;
  // Value of a query argument; nullopt if it is missing.
  virtual std::optional<std::string> Argument(
      const std::string& name) const = 0;
  virtual std::optional<std::string> Header(const std::string& name) const = 0;
  virtual HttpHeaders Headers() const = 0;
  virtual std::string client_ip() const = 0;
  virtual bool has_body() const = 0;
  // Value of the Content-Length header; nullopt if it is missing or malformed.
  virtual std::optional<uint64_t> content_length() const = 0;

  // Reads the whole body, then calls `done(body)`. If the body is longer than
  // `limit` bytes, calls `done(nullopt)` instead.
  virtual void ReadBody(
      size_t limit,
      std::function<void(std::optional<std::string>)> done) = 0;
  // Streams the body into the returned pipe, which buffers `buffer_bytes`. A
  // body of more than `limit` bytes aborts the pipe.
  virtual std::shared_ptr<BytePipe> StreamBody(size_t buffer_bytes,
                                               uint64_t limit) = 0;

  // Sends a response with a complete body.
  virtual void Respond(int status,
                       const HttpHeaders& headers,
                       std::string body) = 0;
  // Sends a response whose body is read from `body` until its end. If the pipe
  // is aborted, the connection is closed early, so that the client sees an
  // incomplete response. Without `length` the size is unknown in advance.
  virtual void RespondStream(int status,
                             const HttpHeaders& headers,
                             std::optional<uint64_t> length,
                             std::shared_ptr<BytePipe> body) = 0;
  // Closes the connection without a response.
  virtual void AbortConnection() = 0;
  // Called when the connection ends before the client has received the whole
  // response.
  virtual void set_on_disconnect(std::function<void()> fn) = 0;
};

struct HttpServerConfig {
  Address listen;
  unsigned max_connections = 1000;
  std::chrono::seconds idle_timeout{60};
};

class HttpServer {
 public:
  // Called when the headers of a request have arrived. The handler must
  // eventually call Respond(), RespondStream() or AbortConnection().
  using OnRequest = std::function<void(std::shared_ptr<HttpSession>)>;

  virtual ~HttpServer() = default;
};

Result<std::unique_ptr<HttpServer>> StartHttpServer(
    Loop& loop,
    const HttpServerConfig& config,
    HttpServer::OnRequest on_request);

}  // namespace sassafras

#endif  // BASE_HTTP_SERVER_H_
