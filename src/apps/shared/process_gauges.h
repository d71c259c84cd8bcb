// Gauges of what a process holds of its machine: threads, descriptors, memory and links.
#pragma once

#include "state/metrics.h"
#include "transport/mesh.h"

namespace jackdaw::apps {

class process_gauges {
public:
    explicit process_gauges(state::metrics& all);

    void update(const transport::mesh& links);

private:
    state::gauge& m_threads;
    state::gauge& m_descriptors;
    state::gauge& m_residentBytes;
    state::gauge& m_openLinks;
    state::gauge& m_acceptedLinks;
};

} // namespace jackdaw::apps
