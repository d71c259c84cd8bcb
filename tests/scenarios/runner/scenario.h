// The state behind the verbs of one scenario: its processes and the answers that are still to come.
#pragma once

#include "apps/entry/tests/processes/cluster.h"

#include <memory>
#include <span>
#include <string>
#include <vector>

namespace jackdaw::scenarios {

class scenario {
public:
    // Once, before all other calls.
    void createHosts(std::span<const tests::zone_hosts> zones, bool areLinksRelayed);

    tests::cluster& processes();

    // Both directions of a link between two hosts.
    void setCut(const std::string& first, const std::string& second, bool isCut);
    void silence(const std::string& first, const std::string& second);

    // Cuts or joins every link between two zones.
    void setZonesCut(const std::string& first, const std::string& second, bool isCut);

    // Keeps an answer that is to come, and returns its number.
    std::size_t keep(tests::pending_answer answer);
    const tests::pending_answer& kept(std::size_t number) const;

private:
    const std::vector<std::string>& hostsOf(const std::string& zone) const;

    std::unique_ptr<tests::cluster> m_processes;
    std::vector<tests::zone_hosts> m_zones;
    std::vector<tests::pending_answer> m_answers;
};

} // namespace jackdaw::scenarios
