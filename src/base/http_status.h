// Status codes of HTTP answers, by their usual names.
#ifndef BASE_HTTP_STATUS_H_
#define BASE_HTTP_STATUS_H_

namespace sassafras {

constexpr int kHttpOk = 200;
constexpr int kHttpCreated = 201;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpMethodNotAllowed = 405;
constexpr int kHttpRequestTimeout = 408;
constexpr int kHttpConflict = 409;
constexpr int kHttpGone = 410;
constexpr int kHttpTooLarge = 413;
constexpr int kHttpMisdirected = 421;
constexpr int kHttpUnprocessable = 422;
constexpr int kHttpTooMany = 429;
constexpr int kHttpHeadTooLarge = 431;
constexpr int kHttpServerFault = 500;
constexpr int kHttpBadGateway = 502;
constexpr int kHttpUnavailable = 503;
constexpr int kHttpTimeout = 504;

constexpr bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

}  // namespace sassafras

#endif  // BASE_HTTP_STATUS_H_
