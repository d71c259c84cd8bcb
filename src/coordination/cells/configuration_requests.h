// Decides when a host asks for a configuration that it may lack, and whom.
//
// Load pattern: a configuration of hundreds of routes has 300 KB, and a link of 19 Mbit/s carries one copy in 130 ms. The leader
// sends each host a new version at once. A host that asks everybody meanwhile gets copies faster than its link carries them, and
// the next version waits behind them.
#pragma once

#include "protocol/time.h"

#include <cstdint>
#include <set>
#include <string>
#include <utility>

namespace jackdaw::cells {

class configuration_requests {
public:
    // Hosts begin with different control hosts.
    explicit configuration_requests(std::string self)
        : m_lastControlHost(std::move(self))
    {
    }

    // The control host that is asked with this round of directory requests: each in turn. Empty: there is none.
    std::string nextControlHost(protocol::time_point now, const std::set<std::string>& controlHosts);

    // True: the host that has just announced a version is asked for it now.
    bool isPullDue(protocol::time_point now, std::uint64_t ownVersion, std::uint64_t heardVersion);

private:
    std::string m_lastControlHost;
    protocol::time_point m_askedAt;
    std::uint64_t m_newestHeard = 0;
    protocol::time_point m_behindSince;
};

} // namespace jackdaw::cells
