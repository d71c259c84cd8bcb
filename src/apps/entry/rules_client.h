// Keeps the operators' rules in force on this host: takes pushes from the control hosts, pulls when a peer has a newer
// version, and stores the last version where a file is set. Versions only go up. Lives on the decision loop's thread.
#pragma once

#include "coordination/rules.h"
#include "protocol/config_messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::entry {

class rules_client {
public:
    struct hooks {
        std::function<void(std::shared_ptr<const coordination::rules> rules)> onRules;
        std::function<void(const std::string& controlName, const protocol::config_message& message)> send;
        std::function<void()> onDrain; // an operator wants this host to stop
    };

    // The names of the control hosts in the mesh. No file: the rules are not stored here.
    rules_client(std::vector<std::string> controlNames, const std::string& storedRulesFile, hooks clientHooks);
    ~rules_client();

    // Puts the stored rules in force, and asks the control hosts for newer ones.
    void start();

    // A message from a control host.
    void take(const std::string& controlName, std::string_view bytes);

    // A peer has this version in force.
    void hearVersion(std::uint64_t version);

    // Tells the control hosts that this host lives and which version it has. To be called about once a second.
    void pull();

    std::uint64_t version() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::entry
