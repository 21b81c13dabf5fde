// Errors with the failed step and the peer involved, passed in Boost.LEAF
// results.
#ifndef BASE_ERROR_H_
#define BASE_ERROR_H_

#include <string>

#include <boost/leaf.hpp>

#include "base/names_table.h"

namespace sassafras {

namespace leaf = boost::leaf;

enum class ErrorCode {
  kBadInput,     // The input does not match its format.
  kUnavailable,  // The peer cannot be reached or returns an error.
  kConflict,     // A conditional update failed because of another update.
  kNotFound,
  kTimeout,
  kUnknownOutcome,  // The step may or may not have taken effect.
};

template <>
struct NamesTable<ErrorCode> {
  static constexpr EnumName<ErrorCode> kNames[] = {
      {ErrorCode::kBadInput, "bad_input"},
      {ErrorCode::kUnavailable, "unavailable"},
      {ErrorCode::kConflict, "conflict"},
      {ErrorCode::kNotFound, "not_found"},
      {ErrorCode::kTimeout, "timeout"},
      {ErrorCode::kUnknownOutcome, "unknown_outcome"},
  };
};

struct Error {
  ErrorCode code = ErrorCode::kUnavailable;
  std::string step;  // The operation that failed, such as "store put".
  std::string peer;  // The other side, such as an address or a file.
  std::string reason;

  // One line for logs and the command line.
  std::string ToString() const {
    return step + " " + peer + ": " + std::string(NameOf(code)) + ": " + reason;
  }
};

template <typename T>
using Result = leaf::result<T>;

// Runs `fn`, a callable that returns Result<T>, and returns its value. On
// failure it returns the T from `on_error(const Error&)`; a failure without an
// Error object is passed as kUnavailable.
template <typename Fn, typename OnError>
auto TryOr(Fn&& fn, OnError&& on_error) {
  return leaf::try_handle_all(
      std::forward<Fn>(fn), [&](const Error& e) { return on_error(e); },
      [&] {
        return on_error(
            Error{ErrorCode::kUnavailable, "step", "", "no error details"});
      });
}

}  // namespace sassafras

#endif  // BASE_ERROR_H_
