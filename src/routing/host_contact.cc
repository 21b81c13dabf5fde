#include "routing/host_contact.h"

#include <algorithm>

namespace sassafras {

namespace {

// Hosts that were ready when last heard.
bool KnowsOtherHosts(const HostMembers& members) {
  return std::any_of(members.others.begin(), members.others.end(),
                     [](const auto& it) {
                       return it.second.notice.phase == HostPhase::kReady;
                     });
}

}  // namespace

StateKnowledge KnowledgeOfState(const HostContact& contact,
                                const HostMembers& members,
                                Time now) {
  if (!contact.is_confirmed)
    return StateKnowledge::kUnconfirmed;
  const Time heard = std::max(contact.host_heard, contact.store_answered);
  const bool is_silent = now - heard >= kMaxSilence;
  const bool relies_on_store = !KnowsOtherHosts(members);
  if (is_silent &&
      !(relies_on_store && now - contact.store_tried < kMaxSilence))
    return StateKnowledge::kSilent;
  return members.self.config_version < NewestKnownVersion(members)
             ? StateKnowledge::kOutdated
             : StateKnowledge::kCurrent;
}

}  // namespace sassafras
