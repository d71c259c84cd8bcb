// Sends the jobs of a load at their times, whatever the answers (open loop), and tallies the answers.
#pragma once

#include "apps/load/load_settings.h"
#include "apps/load/tally.h"
#include "transport/event_loop.h"

#include <memory>
#include <span>

namespace jackdaw::load {

class job_sender {
public:
    // The loop and the settings must outlive this object.
    job_sender(transport::event_loop& loop, const load_settings& settings, std::uint64_t seed, duration roundTrip);
    ~job_sender();

    // Runs the loop until every job was answered or timed out.
    void run();

    tally& counts();

    // The submissions all of whose answers said that nothing ran.
    std::span<const protocol::submission_id> toldNotRun() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::load
