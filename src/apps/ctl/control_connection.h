// Calls to the control hosts: goes from host to host until one answers, and follows a follower's pointer to the leader.
#pragma once

#include "apps/ctl/ctl_settings.h"
#include "protocol/result.h"
#include "transport/http_client.h"

#include <memory>
#include <string>

namespace jackdaw::ctl {

class control_connection {
public:
    control_connection(ctl_settings settings, std::string token);
    ~control_connection();

    // Blocks until a host answers with anything but not_leader, and gives that answer. Refused and silent hosts are passed
    // over, so the request may reach several hosts: changes carry a change id. timed_out when the time is up.
    protocol::result<transport::http_response> call(transport::http_method method, const std::string& path, std::string body = {});

    void pause(protocol::duration time);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::ctl
