// Look-up of a queue by host and longest path prefix.
#include "coordination/cells/queue_table.h"

#include <algorithm>

namespace jackdaw::cells {

std::string toComparableHost(std::string_view host)
{
    // Without the locale, on which tolower() depends.
    const auto toLower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; };
    std::string out(host);
    std::transform(out.begin(), out.end(), out.begin(), toLower);
    return out;
}

queue_table::queue_table(std::uint64_t version, std::vector<job_queue> queues)
    : m_version(version)
    , m_size(queues.size())
{
    for (job_queue& queue : queues) {
        std::vector<job_queue>& sameHost = m_byHost[toComparableHost(queue.host)];
        sameHost.push_back(std::move(queue));
    }
    for (auto& [host, sameHost] : m_byHost) {
        std::stable_sort(sameHost.begin(), sameHost.end(), [](const job_queue& left, const job_queue& right) {
            return left.pathPrefix.size() > right.pathPrefix.size();
        });
    }
}

const job_queue* queue_table::find(std::string_view host, std::string_view path) const
{
    const auto sameHost = m_byHost.find(toComparableHost(host.substr(0, host.find(':'))));
    if (sameHost == m_byHost.end())
        return nullptr;
    const auto found = std::find_if(sameHost->second.begin(), sameHost->second.end(), [path](const job_queue& queue) {
        return path.starts_with(queue.pathPrefix);
    });
    return found == sameHost->second.end() ? nullptr : &*found;
}

} // namespace jackdaw::cells
