// What a control host knows of the entry hosts, the other control hosts and the upstreams, and what it tells whom.
//
// Load pattern: some hundred reports a second from upstreams, links that lose a message now and then. Reports go out in
// batches; those of leaving upstreams are repeated, because work that is sent to one of them is lost with it.
#pragma once

#include "protocol/cell_messages.h"
#include "protocol/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::hub {

using protocol::duration;
using protocol::time_point;

class host_directory {
public:
    explicit host_directory(std::string self);

    // True when the host was not known, had not been heard for the silence limit, or is a new process.
    bool recordEntryHello(time_point now, const protocol::directory_request& hello);
    bool recordControlHello(time_point now, const protocol::control_heartbeat& hello);

    // False when an upstream said something newer before.
    bool recordUpstreamReport(time_point now, const protocol::upstream_report& report);

    // The upstream has ended.
    void deregisterUpstream(std::string_view id);

    // Everything, for an entry host that has just started: it must not wait until each upstream has reported again.
    protocol::directory_update fullUpdate(time_point now) const;

    // What is new since the last batch; empty reports when nothing is.
    protocol::directory_update takeBatch(time_point now);
    bool isBatchDue(time_point now) const;

    std::vector<std::string> liveEntryHosts(time_point now) const;
    std::vector<std::string> liveControlHosts(time_point now) const; // without this host
    std::string operatorAddressOf(std::string_view controlHost) const; // empty when unknown
    std::uint64_t configurationVersionOf(std::string_view entryHost) const;

private:
    // Hosts of one kind by their last hello.
    template <typename Hello>
    struct host_table {
        struct host_record {
            Hello hello;
            time_point receivedAt;
        };
        std::map<std::string, host_record, std::less<>> byName;

        bool record(time_point now, const Hello& hello); // as hearEntry()
        std::vector<std::string> live(time_point now) const;
        const Hello* find(std::string_view name) const; // null when it was never heard
    };

    struct upstream_record {
        protocol::upstream_report report;
        time_point receivedAt;
        bool isSent = false; // in a batch already
    };

    protocol::directory_update hostUpdate(time_point now) const;

    std::string m_self;
    host_table<protocol::directory_request> m_entryHosts;
    host_table<protocol::control_heartbeat> m_controlHosts;
    std::map<std::string, upstream_record, std::less<>> m_upstreams;
    bool m_hostsChanged = false;
    time_point m_lastBatchAt;
};

} // namespace jackdaw::hub
