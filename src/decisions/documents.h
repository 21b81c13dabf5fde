// Versioned documents and the replica of them that each process keeps.
//
// A replica never replaces a document by a lower version, even if the store was
// restored to an older state or a peer sends an old copy.
#ifndef DECISIONS_DOCUMENTS_H_
#define DECISIONS_DOCUMENTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/names_table.h"
#include "base/time.h"

namespace sassafras {

enum class DocumentKind {
  kHosts,      // The platform's list of entry hosts.
  kEndpoints,  // The platform's list of endpoints, one document per service.
  kIntent,     // The configuration that operators declared.
  kPlan,       // The shares of the zones, one document per service.
  kViews,      // The holders of the key shards, one document per region.
};

template <>
struct NamesTable<DocumentKind> {
  static constexpr EnumName<DocumentKind> kNames[] = {
      {DocumentKind::kHosts, "hosts"},
      {DocumentKind::kEndpoints, "endpoints"},
      {DocumentKind::kIntent, "intent"},
      {DocumentKind::kPlan, "plan"},
      {DocumentKind::kViews, "views"},
  };
};
SASSAFRAS_ENUM_JSON(DocumentKind);

constexpr DocumentKind kAllDocumentKinds[] = {
    DocumentKind::kHosts, DocumentKind::kEndpoints, DocumentKind::kIntent,
    DocumentKind::kPlan, DocumentKind::kViews};

// Name of the document of a kind that has only one: the intent and the host
// list.
inline constexpr char kSoleDocument[] = "current";

struct DocumentKey {
  DocumentKind kind = DocumentKind::kHosts;
  std::string name;

  friend bool operator<(const DocumentKey& a, const DocumentKey& b) {
    return a.kind != b.kind ? a.kind < b.kind : a.name < b.name;
  }
  friend bool operator==(const DocumentKey& a, const DocumentKey& b) {
    return a.kind == b.kind && a.name == b.name;
  }
};

struct Document {
  DocumentKey key;
  Version version;
  std::string payload;  // JSON text.
};

struct DocumentVersion {
  DocumentKey key;
  Version version;
};

// A process's copy of all documents.
struct Replica {
  struct Entry {
    Document document;
    Time first_seen;  // When this process received this version.
  };
  std::map<DocumentKey, Entry> entries;
  // Hash of all keys and versions, independent of their order. Replicas with
  // the same versions have the same digest.
  uint64_t digest = 0;
};

// Stores `document` if it is newer than the replica's copy. Returns whether it
// was stored.
bool Accept(Replica& replica, const Document& document, Time now);

// The replica's copy of `key`, or null.
const Replica::Entry* Find(const Replica& replica, const DocumentKey& key);

// The replica's version of `key`; zero if there is none.
Version VersionOf(const Replica& replica, const DocumentKey& key);

// All keys of the replica with their versions.
std::vector<DocumentVersion> Summarize(const Replica& replica);

// The documents that a process with the versions `theirs` does not have or has
// in an older version.
std::vector<Document> NewerThan(const Replica& replica,
                                const std::vector<DocumentVersion>& theirs);

// Whether `theirs` contains a newer version than `replica` has.
bool LacksAny(const Replica& replica,
              const std::vector<DocumentVersion>& theirs);

}  // namespace sassafras

#endif  // DECISIONS_DOCUMENTS_H_
