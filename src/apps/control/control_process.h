// Wires the control node to the mesh, the operators' HTTP port, timers and signals, on one event loop.
#pragma once

#include "apps/control/control_node.h"
#include "apps/control/control_settings.h"
#include "apps/control/operator_tokens.h"
#include "protocol/result.h"

#include <cstdint>
#include <memory>

namespace jackdaw::control {

class control_process {
public:
    control_process(control_settings settings, operator_tokens tokens, control_storage storage, std::uint64_t seed);
    ~control_process();

    // Opens the ports.
    protocol::result<void> open();

    // Runs until SIGTERM or SIGINT; leadership is handed on and open requests are answered first.
    void run();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::control
