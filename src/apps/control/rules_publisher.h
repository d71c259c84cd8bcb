// Brings the accepted rules to the entry hosts: a push at once, pushes again to those that are behind, and answers to pulls.
#pragma once

#include "protocol/config_messages.h"
#include "protocol/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::control {

// What an entry host last said it has in force.
struct entry_host_version {
    std::string host;
    std::uint64_t version = 0;
    bool isHeard = false; // within the silence limit
};

class rules_publisher {
public:
    using send_hook = std::function<void(const std::string& host, const protocol::config_message& message)>;

    rules_publisher(std::vector<std::string> entryHosts, send_hook send);

    // Another version is in force. Only a leader pushes, also to silent hosts; the others answer pulls.
    void publish(std::uint64_t version, std::string text, bool isLeader);

    // Unknown hosts are ignored.
    void onPull(protocol::time_point now, std::string_view host, std::uint64_t version);

    // Pushes again to heard hosts that are behind. To be called every few hundred milliseconds on the leader.
    void pushAgain(protocol::time_point now);

    std::vector<entry_host_version> versions(protocol::time_point now) const;

private:
    struct entry_state {
        std::uint64_t version = 0;
        protocol::time_point heardAt;
        bool wasHeard = false;
    };

    void push(const std::string& host);

    std::map<std::string, entry_state, std::less<>> m_entries;
    send_hook m_send;
    std::uint64_t m_version = 0;
    std::string m_text;
};

} // namespace jackdaw::control
