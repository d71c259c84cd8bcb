// An entry host's side of the configuration: takes pushed rules, asks for newer ones, and never goes back.
//
// Pure: messages leave through a hook, and time comes with the calls.
#pragma once

#include "coordination/rules.h"
#include "protocol/config_messages.h"
#include "protocol/result.h"
#include "protocol/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::coordination {

struct rules_follower_hooks {
    std::function<void(const std::string& controlHost, const protocol::config_message& message)> send;
    std::function<void(std::shared_ptr<const rules> inForce)> apply; // a newer version than ever before
};

using protocol::time_point;

class rules_follower {
public:
    rules_follower(std::vector<std::string> controlHosts, duration pullInterval, rules_follower_hooks hooks);

    // A push from a control host, or the copy kept on the host's own disk at the start (then with an empty sender).
    // Older and equal versions are only acknowledged. malformed_request when the text can't be read, for example because a
    // newer release wrote it: the rules in force stay.
    protocol::result<void> onPush(std::string_view sender, const protocol::rules_push& push);

    // Another host has this version in force. Hints are repeated: an unanswered pull is sent again on a later one.
    void onHint(time_point now, std::uint64_t version);

    // Pulls when it is due, from the control hosts in turn. To be called every few hundred milliseconds.
    void advance(time_point now);

    std::uint64_t version() const { return m_version; } // 0: none yet

private:
    void pull(time_point now);

    std::vector<std::string> m_controlHosts;
    duration m_pullInterval;
    rules_follower_hooks m_hooks;
    std::uint64_t m_version = 0; // only goes up
    std::size_t m_nextHost = 0;
    time_point m_lastPull; // the epoch: none yet
};

} // namespace jackdaw::coordination
