// State of a scenario.
#include "tests/scenarios/runner/scenario.h"

#include <stdexcept>

namespace jackdaw::scenarios {

void scenario::createHosts(std::span<const tests::zone_hosts> zones, bool areLinksRelayed)
{
    m_zones.assign(zones.begin(), zones.end());
    m_processes = std::make_unique<tests::cluster>(zones);
    if (areLinksRelayed)
        m_processes->relayLinks();
}

tests::cluster& scenario::processes()
{
    if (!m_processes)
        throw std::runtime_error("no hosts yet: call hosts{} first");
    return *m_processes;
}

void scenario::setCut(const std::string& first, const std::string& second, bool isCut)
{
    processes().relay(first, second).setCut(isCut);
    processes().relay(second, first).setCut(isCut);
}

void scenario::silence(const std::string& first, const std::string& second)
{
    processes().relay(first, second).silencePresent();
    processes().relay(second, first).silencePresent();
}

void scenario::setZonesCut(const std::string& first, const std::string& second, bool isCut)
{
    for (const std::string& left : hostsOf(first)) {
        for (const std::string& right : hostsOf(second))
            setCut(left, right, isCut);
    }
}

std::size_t scenario::keep(tests::pending_answer answer)
{
    m_answers.push_back(std::move(answer));
    return m_answers.size() - 1;
}

const tests::pending_answer& scenario::kept(std::size_t number) const
{
    return m_answers.at(number);
}

const std::vector<std::string>& scenario::hostsOf(const std::string& zone) const
{
    for (const tests::zone_hosts& each : m_zones) {
        if (each.zone == zone)
            return each.hosts;
    }
    throw std::runtime_error("no zone " + zone);
}

} // namespace jackdaw::scenarios
