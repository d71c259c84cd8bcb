// The counts of all hosts over time. A host that is missing keeps what it had counted; one that restarted counts from
// zero again. Readings older than the longest window are thinned, so that a month of them stays small.
#pragma once

#include "apps/burn/answer_counts.h"
#include "protocol/result.h"
#include "protocol/time.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::burn {

using protocol::unix_milliseconds;

// One reading of one host.
struct host_reading {
    unix_milliseconds time {};
    std::string host;
    std::vector<answer_counts> counts; // for each objective, in their order
};

class burn_history {
public:
    // All readings are kept for fineRetention, and one for each coarseStep until retention.
    burn_history(unix_milliseconds retention, unix_milliseconds fineRetention, unix_milliseconds coarseStep);

    // Readings of one host come in the order of their times; older ones are ignored.
    void add(host_reading reading);

    // The answers of all hosts after the begin, up to the end. What is counted from one reading to the next belongs to the
    // later one's time; what a host counted before its first reading is left out.
    answer_counts between(std::size_t objective, unix_milliseconds begin, unix_milliseconds end) const;

    // The times of all readings, in order, without doubles.
    std::vector<unix_milliseconds> times() const;

    // The newest reading of each host.
    std::map<std::string, unix_milliseconds> lastReadings() const;

    // All readings, host by host.
    std::vector<host_reading> readings() const;

private:
    // One host's readings in the order of their times: the coarse ones, then the fine ones. Never empty.
    struct host_series {
        std::deque<host_reading> coarse;
        std::deque<host_reading> fine;
    };

    void thin(host_series& series) const;

    unix_milliseconds m_retention;
    unix_milliseconds m_fineRetention;
    unix_milliseconds m_coarseStep;
    std::map<std::string, host_series> m_hosts;
};

// One line of a history file. The key names the objectives: readings of other objectives must not be mixed in.
std::string toLine(const host_reading& reading, std::string_view objectivesKey);

// unknown_resource when the line belongs to other objectives.
protocol::result<host_reading> parseLine(std::string_view line, std::string_view objectivesKey);

} // namespace jackdaw::burn
