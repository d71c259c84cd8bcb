// Settings of jackdawctl: where the control hosts are, and the operator's token.
#pragma once

#include "protocol/result.h"
#include "protocol/time.h"
#include "transport/http_client.h"

#include <string>
#include <vector>

namespace jackdaw::ctl {

struct ctl_settings {
    std::vector<transport::endpoint> control; // operators' ports of the control hosts; at least one
    std::string tokenFile; // empty: reads only
    protocol::duration timeout {}; // for a whole command, all tries together
};

protocol::result<ctl_settings> readCtlSettings(const std::string& path);

// The first word of the token file. malformed_request when there is none.
protocol::result<std::string> readToken(const std::string& path);

} // namespace jackdaw::ctl
