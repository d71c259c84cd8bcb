// The stand-in's control port: PUT /faults sets an instance's fault, GET /stats counts, POST /started tells which of a
// list of submissions had a task started, GET /healthz.
#pragma once

#include "apps/upstream/start_register.h"
#include "apps/upstream/upstream_instance.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace jackdaw::upstream {

class control_server {
public:
    // Called after a fault was set, with the instance's place in the list.
    using fault_hook = std::function<void(std::size_t instance)>;

    // The loop, the instances and the register must outlive this object.
    control_server(transport::event_loop& loop, std::vector<std::unique_ptr<upstream_instance>>& instances,
        const start_register& starts, fault_hook onFault);
    ~control_server();

    // Port 0 takes any free port; port() tells which.
    protocol::result<void> listen(const transport::endpoint& address);
    std::uint16_t port() const;

    // False when there is no such instance.
    bool setFault(std::string_view instance, fault what);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::upstream
