#include "decisions/store_calls.h"

#include "decisions/json_forms.h"

namespace sassafras {

namespace {

bool IsPlatformKind(DocumentKind kind) {
  return kind == DocumentKind::kHosts || kind == DocumentKind::kEndpoints;
}

}  // namespace

std::optional<Document> DocumentOf(DocumentKind kind,
                                   const StoreObject& object) {
  Document document;
  document.key = {kind, object.name};
  document.payload = object.value;
  if (IsPlatformKind(kind)) {
    document.version = Version(object.revision);
    return document;
  }
  const Json json = Json::parse(object.value, nullptr, false);
  const auto it = json.is_object() ? json.find("version") : json.end();
  if (!json.is_object() || it == json.end() || !it->is_number_unsigned())
    return std::nullopt;
  document.version = it->get<Version>();
  return document;
}

}  // namespace sassafras
