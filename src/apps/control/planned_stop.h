// The planned stop of a control host: leadership is handed on, the rest of the group goes on without its vote where it can spare
// it, and open requests are answered. Has no timer of its own.
#pragma once

#include "apps/control/control_node.h"

#include <functional>

namespace jackdaw::control {

class planned_stop {
public:
    static constexpr duration checkInterval = std::chrono::milliseconds(50);

    // Begins the stop. The node must outlive this object.
    planned_stop(control_node& node, time_point now);

    // Goes on with the stop; to be called every checkInterval until it returns true: the process may end. The hook says that no
    // request is open. It is asked once the group can go on without this host.
    bool mayEnd(time_point now, const std::function<bool()>& hasNoRequest);

    // The host must no longer tell the others that it is alive, or the leader takes it in again.
    bool hasAskedToLeave() const { return m_hasAskedToLeave; }

private:
    void leaveGroup(time_point now);

    control_node& m_node;
    time_point m_transferEnd; // until then a leader waits for its successor
    time_point m_checkedAt;
    duration m_requestTime {}; // that open requests have had
    bool m_isLeaving = false; // the removal is requested, and not committed yet
    bool m_hasAskedToLeave = false;
};

} // namespace jackdaw::control
