// The wiring of jackdaw-entry: threads, servers, dispatcher, and the order of start and stop.
#pragma once

#include "apps/entry/entry_settings.h"
#include "protocol/result.h"

#include <memory>
#include <string>

namespace jackdaw::entry {

class entry_process {
public:
    entry_process(entry_settings settings, std::string settingsFile);
    ~entry_process();

    // Opens the ports. Errors name the port that could not be opened.
    protocol::result<void> open();

    // Serves until a drain that SIGTERM or SIGINT starts is over.
    void run();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::entry
