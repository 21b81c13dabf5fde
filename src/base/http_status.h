// HTTP status codes, named as in RFC 9110 and RFC 6585.
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
constexpr int kHttpContentTooLarge = 413;
constexpr int kHttpMisdirectedRequest = 421;
constexpr int kHttpUnprocessableContent = 422;
constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpHeaderFieldsTooLarge = 431;
constexpr int kHttpInternalServerError = 500;
constexpr int kHttpBadGateway = 502;
constexpr int kHttpServiceUnavailable = 503;
constexpr int kHttpGatewayTimeout = 504;

constexpr bool IsHttpStatus(int status) {
  return status >= 100 && status < 600;
}

constexpr bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

}  // namespace sassafras

#endif  // BASE_HTTP_STATUS_H_
