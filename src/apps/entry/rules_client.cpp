// Rules in force on an entry host.
#include "apps/entry/rules_client.h"

#include "coordination/rules_conversion.h"
#include "state/log.h"
#include "state/rules_file.h"
#include "state/snapshot_file.h"

#include <optional>
#include <utility>

namespace jackdaw::entry {

using protocol::config_message;
using protocol::rules_pull;
using protocol::rules_push;
using state::log_level;
using state::logEvent;

class rules_client::impl {
public:
    impl(std::vector<std::string> controlNames, std::string file, hooks clientHooks)
        : controls(std::move(controlNames))
        , actions(std::move(clientHooks))
        , storedRulesFile(std::move(file))
    {
    }

    // False when the text can't be read; the rules in force stay.
    bool apply(const rules_push& push)
    {
        const auto document = state::parseRules(push.text, "rules version " + std::to_string(push.version));
        if (!document) {
            logEvent(log_level::error, "rules_refused", { { "version", std::to_string(push.version) }, { "reason", document.error().detail } });
            return false;
        }
        version = push.version;
        actions.onRules(std::make_shared<const coordination::rules>(coordination::toRules(document.value(), push.version)));
        logEvent(log_level::info, "rules_in_force", { { "version", std::to_string(push.version) } });
        return true;
    }

    void take(const std::string& controlName, const config_message& message)
    {
        if (std::holds_alternative<protocol::drain_request>(message))
            return actions.onDrain();
        const auto* push = std::get_if<rules_push>(&message);
        if (!push)
            return;
        if (push->version > version && apply(*push)) {
            unstored = *push;
            store();
        }
        actions.send(controlName, rules_pull { version });
    }

    // A failed store is repeated with the next pull.
    void store()
    {
        if (storedRulesFile.empty() || !unstored)
            return;
        if (const auto done = state::snapshot_file(storedRulesFile).store(protocol::encodeConfigMessage(*unstored)); !done)
            return logEvent(log_level::error, "rules_not_stored", { { "version", std::to_string(unstored->version) }, { "reason", done.error().detail } });
        unstored.reset();
    }

    void restore()
    {
        if (storedRulesFile.empty())
            return;
        const auto bytes = state::snapshot_file(storedRulesFile).load();
        if (!bytes)
            return logEvent(log_level::error, "stored_rules_refused", { { "reason", bytes.error().detail } });
        if (!bytes.value())
            return;
        const auto message = protocol::decodeConfigMessage(*bytes.value());
        const auto* push = message ? std::get_if<rules_push>(&message.value()) : nullptr;
        if (push)
            apply(*push);
    }

    void pull()
    {
        store();
        for (const std::string& control : controls)
            actions.send(control, rules_pull { version });
    }

    const std::vector<std::string> controls;
    const hooks actions;
    const std::string storedRulesFile; // empty: the rules are not stored here
    std::optional<rules_push> unstored; // rules in force that a failed disk did not take
    std::uint64_t version = 0; // only goes up
};

rules_client::rules_client(std::vector<std::string> controlNames, const std::string& storedRulesFile, hooks clientHooks)
    : m_impl(std::make_unique<impl>(std::move(controlNames), storedRulesFile, std::move(clientHooks)))
{
}

rules_client::~rules_client() = default;

void rules_client::start()
{
    m_impl->restore();
    m_impl->pull();
}

void rules_client::take(const std::string& controlName, std::string_view bytes)
{
    const auto message = protocol::decodeConfigMessage(bytes);
    if (!message)
        return logEvent(log_level::warning, "message_refused", { { "peer", controlName }, { "reason", message.error().detail } });
    m_impl->take(controlName, message.value());
}

void rules_client::hearVersion(std::uint64_t version)
{
    if (version > m_impl->version)
        m_impl->pull();
}

void rules_client::pull()
{
    m_impl->pull();
}

std::uint64_t rules_client::version() const
{
    return m_impl->version;
}

} // namespace jackdaw::entry
