// One stand-in upstream: serves POST /run, GET /tasks/{id} and DELETE /tasks/{id} on a port of its own, and runs tasks
// as timers. Lives on the thread of its event loop.
#pragma once

#include "apps/upstream/fault.h"
#include "apps/upstream/start_register.h"
#include "protocol/announcement.h"
#include "protocol/result.h"
#include "transport/event_loop.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace jackdaw::upstream {

struct instance_settings {
    protocol::announcement identity; // port 0 takes any free port
    double speed = 1; // a task's work is divided by it
    std::size_t maxRecords = 1'000'000; // task ids remembered
};

struct instance_counters {
    std::uint64_t started = 0;
    std::uint64_t startedLate = 0; // more than a ttl after the upstream began to leave
    std::uint64_t finished = 0;
    std::uint64_t failed = 0;
    std::uint64_t stopped = 0; // by DELETE or at the end of the lease
    std::uint64_t overSlots = 0; // refused because every slot was taken
    std::uint64_t refused = 0; // for any reason, overSlots included
    std::uint64_t running = 0;
    std::uint64_t messagesIn = 0; // requests
    std::uint64_t messagesOut = 0; // replies

    instance_counters& operator+=(const instance_counters& other);
};

class upstream_instance {
public:
    // The loop and the register must outlive this object.
    upstream_instance(transport::event_loop& loop, start_register& starts, instance_settings settings);
    ~upstream_instance();

    protocol::result<void> listen();

    // What the instance says of itself now, with its true port.
    const protocol::announcement& identity() const;
    bool isAnnouncing() const;
    double speed() const;

    void setFault(fault what);

    // Announces as leaving for good. Tasks are still served.
    void leave();

    const instance_counters& counters() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::upstream
