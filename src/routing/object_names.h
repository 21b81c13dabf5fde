// Names of store objects that are read alike wherever they are written.
//
// Other writers may give an object any name. Some characters have a meaning in
// a URL or a header field, and stores differ in how they decode them. Plain
// names have none of them.
#ifndef ROUTING_OBJECT_NAMES_H_
#define ROUTING_OBJECT_NAMES_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace sassafras {

inline constexpr size_t kMaxPlainNameBytes = 1 << 10;

// Whether `name` consists of 1 to kMaxPlainNameBytes unreserved characters of
// RFC 3986, and is not one of its dot segments, "." and "..".
bool IsPlainName(const std::string& name);

// The first plain name after `name` in the order of bytes; nothing if there is
// none.
std::optional<std::string> NextPlainName(const std::string& name);

// The plain names that consist of `prefix`, which is plain or empty, and one
// character more. In the order of bytes.
std::vector<std::string> PlainNamesWithPrefix(const std::string& prefix);

// Some plain names behind `name`, which may be empty, in the order of bytes:
// those that begin as `name` or the next plain name does and have one other
// character behind that.
std::vector<std::string> PlainNamesBehind(const std::string& name);

}  // namespace sassafras

#endif  // ROUTING_OBJECT_NAMES_H_
