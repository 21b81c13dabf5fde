// Errors that carry the step and the peer at which they arose, passed
// through Boost.LEAF results.
#ifndef BASE_ERROR_H_
#define BASE_ERROR_H_

#include <string>

#include <boost/leaf.hpp>

#include "base/names_table.h"

namespace sassafras {

namespace leaf = boost::leaf;

enum class ErrorCode {
  kBadInput,     // The input breaks its format.
  kUnavailable,  // The peer cannot be reached or answers with a fault.
  kConflict,     // A conditional update lost against another one.
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
  std::string step;  // What was being done, such as "store put".
  std::string peer;  // With whom, such as an address or a file.
  std::string reason;

  // One line for logs and the command line.
  std::string ToString() const {
    return step + " " + peer + ": " + std::string(NameOf(code)) + ": " + reason;
  }
};

template <typename T>
using Result = leaf::result<T>;

// Runs `fn`, a callable that returns Result<T>, and hands its error to
// `on_error(const Error&)`, whose T becomes the value.
template <typename Fn, typename OnError>
auto TryOr(Fn&& fn, OnError&& on_error) {
  return leaf::try_handle_all(
      std::forward<Fn>(fn), [&](const Error& e) { return on_error(e); },
      [&] {
        return on_error(Error{ErrorCode::kUnavailable, "step", "", "?"});
      });
}

}  // namespace sassafras

#endif  // BASE_ERROR_H_
