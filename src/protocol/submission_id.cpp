// Text representation and fields of submission ids.
#include "protocol/submission_id.h"

#include <boost/uuid/string_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <algorithm>

namespace jackdaw::protocol {
namespace {

    constexpr std::size_t canonicalLength = 36;
    constexpr std::size_t timestampBytes = 6;
    constexpr unsigned version = 7;

    bool isCanonical(std::string_view text)
    {
        if (text.size() != canonicalLength)
            return false;
        for (std::size_t i = 0; i < text.size(); ++i) {
            const bool isDashPosition = i == 8 || i == 13 || i == 18 || i == 23;
            const bool isHex = std::isxdigit(static_cast<unsigned char>(text[i])) != 0;
            if (isDashPosition ? text[i] != '-' : !isHex)
                return false;
        }
        return true;
    }

} // namespace

result<submission_id> parseSubmissionId(std::string_view text)
{
    if (!isCanonical(text))
        return makeError(error_kind::malformed_request, "submission id is not a UUID");
    const submission_id id = boost::uuids::string_generator()(text.begin(), text.end());
    if (id.data[6] >> 4 != version || id.data[8] >> 6 != 2)
        return makeError(error_kind::malformed_request, "submission id is not a UUIDv7");
    return id;
}

std::string toText(const submission_id& id)
{
    return boost::uuids::to_string(id);
}

unix_milliseconds creationTime(const submission_id& id)
{
    std::int64_t milliseconds = 0;
    for (std::size_t i = 0; i < timestampBytes; ++i)
        milliseconds = (milliseconds << 8) | id.data[i];
    return unix_milliseconds(milliseconds);
}

submission_id makeSubmissionId(unix_milliseconds created, std::uint64_t randomHigh, std::uint64_t randomLow)
{
    submission_id id;
    for (std::size_t i = 0; i < 8; ++i) {
        id.data[i] = static_cast<std::uint8_t>(randomHigh >> (8 * i));
        id.data[8 + i] = static_cast<std::uint8_t>(randomLow >> (8 * i));
    }
    for (std::size_t i = 0; i < timestampBytes; ++i)
        id.data[i] = static_cast<std::uint8_t>(created.count() >> (8 * (timestampBytes - 1 - i)));
    id.data[6] = static_cast<std::uint8_t>((version << 4) | (id.data[6] & 0x0f));
    id.data[8] = static_cast<std::uint8_t>(0x80 | (id.data[8] & 0x3f));
    return id;
}

} // namespace jackdaw::protocol
