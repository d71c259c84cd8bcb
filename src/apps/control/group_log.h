// Log lines on the state of a control member: leadership, membership, elections without a result, and its storage.
#pragma once

#include "apps/control/control_node.h"

#include <span>
#include <string>

namespace jackdaw::control {

// "HOST/INCARNATION HOST/INCARNATION"
std::string toText(std::span<const coordination::raft_member_id> members);

// Writes a line for each change between two states.
class group_log {
public:
    // To be called after each event of the member.
    void update(const control_node_status& status);

private:
    void logStorage(const control_node_status& status) const;
    void logLeadership(const control_node_status& status) const;
    void logElection(const control_node_status& status) const;

    control_node_status m_logged;
};

} // namespace jackdaw::control
