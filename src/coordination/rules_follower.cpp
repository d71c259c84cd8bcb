// Handling of pushes and hints, and periodic pulls.
#include "coordination/rules_follower.h"

#include "coordination/rules_conversion.h"
#include "state/rules_file.h"

#include <utility>

namespace jackdaw::coordination {

using protocol::result;

namespace {

    constexpr duration minHintedPullInterval = std::chrono::milliseconds(250); // before a hint may trigger another pull

} // namespace

rules_follower::rules_follower(std::vector<std::string> controlHosts, duration pullInterval, rules_follower_hooks hooks)
    : m_controlHosts(std::move(controlHosts))
    , m_pullInterval(pullInterval)
    , m_hooks(std::move(hooks))
{
}

result<void> rules_follower::onPush(std::string_view sender, const protocol::rules_push& push)
{
    if (push.version > m_version) {
        const auto document = state::parseRules(push.text, "version " + std::to_string(push.version));
        if (!document)
            return document.error();
        m_version = push.version;
        m_hooks.apply(std::make_shared<const rules>(toRules(document.value(), push.version)));
    }
    if (!sender.empty())
        m_hooks.send(std::string(sender), protocol::rules_pull { m_version });
    return boost::outcome_v2::success();
}

void rules_follower::onHint(time_point now, std::uint64_t version)
{
    if (version > m_version && now >= m_lastPull + minHintedPullInterval)
        pull(now);
}

void rules_follower::advance(time_point now)
{
    if (now >= m_lastPull + m_pullInterval)
        pull(now);
}

void rules_follower::pull(time_point now)
{
    m_lastPull = now;
    if (m_controlHosts.empty())
        return;
    m_hooks.send(m_controlHosts[m_nextHost++ % m_controlHosts.size()], protocol::rules_pull { m_version });
}

} // namespace jackdaw::coordination
