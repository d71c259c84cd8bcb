// Settings of jackdaw-burn.
#pragma once

#include "protocol/result.h"
#include "protocol/time.h"
#include "state/settings_reader.h"
#include "transport/http_client.h"

#include <string>
#include <vector>

namespace jackdaw::burn {

struct burn_settings {
    std::vector<transport::endpoint> operators; // operators' ports of the entry hosts; never empty
    protocol::duration interval {}; // between two readings
    std::string historyFile; // readings of earlier runs, appended to; empty: none
    std::string htmlFile; // empty: no page
    double windowDivisor = 1; // shortens the windows, for trials
};

// Reads and checks everything; the reader's finish() is called here.
protocol::result<burn_settings> readBurnSettings(state::settings_reader& reader);

} // namespace jackdaw::burn
