// Syntax of HTTP header fields, as in RFC 9110.
#ifndef BASE_HTTP_FIELDS_H_
#define BASE_HTTP_FIELDS_H_

#include <string_view>

namespace sassafras {

// Whether `text` is a token, as names of fields are.
bool IsFieldName(std::string_view text);

// Whether `text` can be the whole value of a field: it holds no control
// characters but tabs, and neither begins nor ends with a blank or tab.
bool IsFieldValue(std::string_view text);

}  // namespace sassafras

#endif  // BASE_HTTP_FIELDS_H_
