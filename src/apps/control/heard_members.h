// Which members of the control group were heard lately: one incarnation of each host.
#pragma once

#include "protocol/raft_messages.h"
#include "protocol/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace jackdaw::control {

class heard_members {
public:
    // A member that was not heard for the limit is not live.
    heard_members(protocol::duration silenceLimit, protocol::time_point listeningSince);

    // The first message of a new incarnation replaces the host's former one. Late messages of a replaced incarnation are
    // ignored: it has ended, and must not be taken into the group again.
    void hear(protocol::time_point now, const protocol::raft_member_id& member);

    // The member is about to stop: it is silent, and not live, until it is heard again. False if that is known, or its host runs another
    // incarnation.
    bool hearStopping(const protocol::raft_member_id& member);

    std::vector<protocol::raft_member_id> live(protocol::time_point now) const;

    // Whether the member was not heard for the limit, of which all was spent listening, has said that it stops, or its host runs
    // another incarnation.
    bool isSilent(protocol::time_point now, const protocol::raft_member_id& member) const;

private:
    struct heard_host {
        std::uint64_t incarnation = 0;
        protocol::time_point heardAt;
        bool isStopping = false;
        std::deque<std::uint64_t> replaced; // former incarnations, newest last; bounded
    };

    std::map<std::string, heard_host> m_hosts;
    protocol::duration m_silenceLimit;
    protocol::time_point m_listeningSince;
};

} // namespace jackdaw::control
