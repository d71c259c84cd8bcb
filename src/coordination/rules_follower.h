// An entry host's side of the configuration: applies pushed rules, pulls newer ones, and never reverts to an older version.
//
// Performs no I/O and reads no clock: messages are sent through a hook, and the time is a parameter.
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
    std::function<void(std::shared_ptr<const rules> inForce)> apply; // called with each version that is newer than all before
};

using protocol::time_point;

class rules_follower {
public:
    rules_follower(std::vector<std::string> controlHosts, duration pullInterval, rules_follower_hooks hooks);

    // Handles a push from a control host, or at start the copy on the host's own disk (with an empty sender). Older and equal
    // versions are only acknowledged. On malformed_request (the text can't be parsed, for example because a newer release
    // wrote it) the rules in force are unchanged.
    protocol::result<void> onPush(std::string_view sender, const protocol::rules_push& push);

    // Reports that another host has this version in force, and pulls if it is newer. Hints are repeated, so an unanswered pull
    // is sent again on a later hint.
    void onHint(time_point now, std::uint64_t version);

    // Sends a pull when one is due, to the control hosts in turn. Must be called every few hundred milliseconds.
    void advance(time_point now);

    std::uint64_t version() const { return m_version; } // 0: no rules yet

private:
    void pull(time_point now);

    std::vector<std::string> m_controlHosts;
    duration m_pullInterval;
    rules_follower_hooks m_hooks;
    std::uint64_t m_version = 0; // never decreases
    std::size_t m_nextHost = 0;
    time_point m_lastPull; // the clock's epoch before the first pull
};

} // namespace jackdaw::coordination
