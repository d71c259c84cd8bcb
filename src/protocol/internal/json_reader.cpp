// Validated access to the members of a JSON object.
#include "protocol/internal/json_reader.h"

#include "protocol/json_document.h"

#include <cmath>

namespace jackdaw::protocol::internal {
namespace {

    constexpr double maxCores = 65536;
    constexpr std::uint64_t maxMemoryMb = 1U << 30;
    constexpr std::uint64_t maxAccelerators = 1024;

} // namespace

json_reader::json_reader(std::string_view text)
    : m_document(nlohmann::json::object())
{
    if (auto parsed = parseJsonObject(text))
        m_document = std::move(parsed.value());
    else
        fail(parsed.error().detail);
}

json_reader::json_reader(const nlohmann::json& object, std::string path)
    : m_object(&object)
    , m_path(std::move(path))
{
    if (!object.is_object())
        fail("is not an object");
}

void json_reader::fail(std::string_view detail)
{
    if (!m_failure)
        m_failure = makeError(error_kind::malformed_request, m_path + std::string(detail));
}

const nlohmann::json* json_reader::find(const char* member) const
{
    if (!m_object->is_object())
        return nullptr;
    const auto found = m_object->find(member);
    return found == m_object->end() ? nullptr : &*found;
}

std::string json_reader::requiredString(const char* member)
{
    if (!find(member))
        fail(std::string("'") + member + "' is missing");
    return stringOr(member, {});
}

std::string json_reader::stringOr(const char* member, std::string fallback)
{
    const nlohmann::json* value = find(member);
    if (!value)
        return fallback;
    if (!value->is_string()) {
        fail(std::string("'") + member + "' is not a string");
        return fallback;
    }
    return value->get<std::string>();
}

std::uint64_t json_reader::readInteger(const nlohmann::json& value, const char* member, std::uint64_t low, std::uint64_t high)
{
    if (value.is_number_unsigned()) {
        const auto number = value.get<std::uint64_t>();
        if (number >= low && number <= high)
            return number;
    }
    fail(std::string("'") + member + "' is not a whole number from " + std::to_string(low) + " to " + std::to_string(high));
    return low;
}

std::uint64_t json_reader::requiredInteger(const char* member, std::uint64_t low, std::uint64_t high)
{
    const nlohmann::json* value = find(member);
    if (value)
        return readInteger(*value, member, low, high);
    fail(std::string("'") + member + "' is missing");
    return low;
}

std::uint64_t json_reader::integerOr(const char* member, std::uint64_t fallback, std::uint64_t low, std::uint64_t high)
{
    const nlohmann::json* value = find(member);
    return value ? readInteger(*value, member, low, high) : fallback;
}

bool json_reader::booleanOr(const char* member, bool fallback)
{
    const nlohmann::json* value = find(member);
    if (!value)
        return fallback;
    if (!value->is_boolean()) {
        fail(std::string("'") + member + "' is not a boolean");
        return fallback;
    }
    return value->get<bool>();
}

resources json_reader::resourcesOr(resources fallback)
{
    resources out = fallback;
    if (const nlohmann::json* cores = find("cores")) {
        const double number = cores->is_number() ? cores->get<double>() : -1;
        if (!(number >= 0 && number <= maxCores))
            fail("'cores' is not a number from 0 to 65536");
        else
            out.millicores = static_cast<std::uint32_t>(std::lround(number * millicoresPerCore));
    }
    out.memoryMb = static_cast<std::uint32_t>(integerOr("memory_mb", fallback.memoryMb, 0, maxMemoryMb));
    out.accelerators = static_cast<std::uint32_t>(integerOr("accelerators", fallback.accelerators, 0, maxAccelerators));
    return out;
}

const nlohmann::json& json_reader::array(const char* member)
{
    static const nlohmann::json empty = nlohmann::json::array();
    const nlohmann::json* value = find(member);
    if (value && value->is_array())
        return *value;
    fail(std::string("'") + member + "' is not an array");
    return empty;
}

} // namespace jackdaw::protocol::internal
