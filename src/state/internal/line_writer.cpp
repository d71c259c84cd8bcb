// Log lines to a pipe, terminal or file.
#include "state/internal/line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <climits>

namespace jackdaw::state::internal {

line_writer::line_writer(int descriptor, std::uint32_t maxLinesPerSecond)
    : m_descriptor(descriptor)
    , m_maxLinesPerSecond(maxLinesPerSecond)
{
}

// A pipe that poll() reports as writable takes PIPE_BUF bytes without waiting.
bool line_writer::hasRoom() const
{
    pollfd entry { m_descriptor, POLLOUT, 0 };
    return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

bool line_writer::put(std::string_view text)
{
    if (!hasRoom())
        return false;
    std::string line(text.substr(0, PIPE_BUF - 1));
    if (line.empty() || line.back() != '\n')
        line += '\n';
    return ::write(m_descriptor, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

bool line_writer::reportLeftOut()
{
    if (m_overBound == 0 && m_unread == 0)
        return true;
    if (!put("level=WARNING event=log_lines_left_out over_bound=" + std::to_string(m_overBound) + " unread=" + std::to_string(m_unread)))
        return false;
    m_overBound = 0;
    m_unread = 0;
    return true;
}

bool line_writer::isOverBound(protocol::time_point now)
{
    if (m_maxLinesPerSecond == 0)
        return false;
    if (now - m_secondStart >= std::chrono::seconds(1)) {
        m_secondStart = now;
        m_linesInSecond = 0;
    }
    return ++m_linesInSecond > m_maxLinesPerSecond;
}

void line_writer::write(std::string_view line, bool isUrgent, protocol::time_point now)
{
    if (isOverBound(now) && !isUrgent) {
        ++m_overBound;
        ++m_leftOut;
        return;
    }
    if (reportLeftOut() && put(line))
        return;
    ++m_unread;
    ++m_leftOut;
}

} // namespace jackdaw::state::internal
