// Reads /proc/self.
#include "apps/shared/process_gauges.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>

namespace jackdaw::apps {
namespace {

    // 0 if the folder can't be read.
    double countEntries(const char* folder)
    {
        std::error_code error;
        const std::filesystem::directory_iterator entries(folder, error);
        return error ? 0 : static_cast<double>(std::distance(begin(entries), end(entries)));
    }

    double readResidentBytes()
    {
        std::ifstream file("/proc/self/statm");
        std::size_t total = 0;
        std::size_t resident = 0;
        file >> total >> resident;
        return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE));
    }

} // namespace

process_gauges::process_gauges(state::metrics& all)
    : m_threads(all.addGauge("jackdaw_process_threads", "Threads of this process."))
    , m_descriptors(all.addGauge("jackdaw_process_descriptors", "Open files and connections of this process."))
    , m_residentBytes(all.addGauge("jackdaw_process_resident_bytes", "Memory of this process that is resident."))
    , m_openLinks(all.addGauge("jackdaw_links_open", "Links to other hosts on which the peer has answered."))
    , m_acceptedLinks(all.addGauge("jackdaw_links_accepted", "Links that other hosts have opened to this one."))
{
}

void process_gauges::update(const transport::mesh& links)
{
    m_threads.set(countEntries("/proc/self/task"));
    m_descriptors.set(countEntries("/proc/self/fd"));
    m_residentBytes.set(readResidentBytes());
    m_openLinks.set(static_cast<double>(links.openLinks()));
    m_acceptedLinks.set(static_cast<double>(links.acceptedConnections()));
}

} // namespace jackdaw::apps
