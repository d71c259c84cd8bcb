// Text representation of task keys.
#include "protocol/job.h"

#include <charconv>

namespace jackdaw::protocol {
namespace {

    std::optional<std::uint32_t> parseNumber(std::string_view text)
    {
        std::uint32_t number = 0;
        const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (code != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return number;
    }

} // namespace

std::string toText(const task_key& key)
{
    return toText(key.submission) + '.' + std::to_string(key.index) + '.' + std::to_string(key.attempt);
}

result<task_key> parseTaskKey(std::string_view text)
{
    const auto malformed = [] { return makeError(error_kind::malformed_request, "task id is not <submission>.<index>.<attempt>"); };
    const auto firstDot = text.find('.');
    const auto lastDot = text.rfind('.');
    if (firstDot == std::string_view::npos || firstDot == lastDot)
        return malformed();
    const auto submission = parseSubmissionId(text.substr(0, firstDot));
    const auto index = parseNumber(text.substr(firstDot + 1, lastDot - firstDot - 1));
    const auto attempt = parseNumber(text.substr(lastDot + 1));
    if (!submission || !index || !attempt)
        return malformed();
    return task_key { submission.value(), *index, *attempt };
}

} // namespace jackdaw::protocol
