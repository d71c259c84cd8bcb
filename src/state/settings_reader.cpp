// Checked reading of TOML settings by toml++.
#include "state/settings_reader.h"

#include <toml++/toml.h>

#include <fstream>
#include <optional>
#include <set>
#include <sstream>

namespace jackdaw::state {

using protocol::duration;
using protocol::error_kind;
using protocol::makeError;
using protocol::result;

class settings_reader::impl {
public:
    toml::table document;
    std::string fileName;
    std::set<std::string, std::less<>> knownKeys; // every key that was asked for
    std::optional<protocol::error> failure; // the first one

    const toml::node* find(std::string_view key)
    {
        knownKeys.emplace(key);
        return document.at_path(key).node();
    }

    void failAt(const toml::node* node, std::string_view reason)
    {
        if (failure)
            return;
        std::string place = fileName;
        if (node)
            place += ':' + std::to_string(node->source().begin.line);
        failure = makeError(error_kind::malformed_request, place + ": " + std::string(reason));
    }

    void failMissing(std::string_view key) { failAt(nullptr, "'" + std::string(key) + "' is missing"); }

    void failValue(const toml::node* node, std::string_view key, const std::string& wanted)
    {
        failAt(node, "'" + std::string(key) + "' is not " + wanted);
    }

    std::int64_t integer(const toml::node* node, std::string_view key, std::int64_t low, std::int64_t high)
    {
        const auto value = node->value_exact<std::int64_t>();
        if (value && *value >= low && *value <= high)
            return *value;
        failValue(node, key, "a whole number from " + std::to_string(low) + " to " + std::to_string(high));
        return low;
    }

    void failOnUnknownKeys(const toml::table& table, const std::string& prefix)
    {
        for (const auto& [name, node] : table) {
            const std::string key = prefix + std::string(name.str());
            if (knownKeys.contains(key))
                continue;
            if (const toml::table* inner = node.as_table(); inner && !inner->empty())
                failOnUnknownKeys(*inner, key + '.');
            else
                failAt(&node, "unknown key '" + key + "'");
        }
    }
};

settings_reader::settings_reader()
    : m_impl(std::make_unique<impl>())
{
}
settings_reader::settings_reader(settings_reader&&) noexcept = default;
settings_reader& settings_reader::operator=(settings_reader&&) noexcept = default;
settings_reader::~settings_reader() = default;

result<settings_reader> settings_reader::parse(std::string_view text, std::string fileName)
{
    settings_reader reader;
    reader.m_impl->fileName = std::move(fileName);
    try {
        reader.m_impl->document = toml::parse(text);
    } catch (const toml::parse_error& parseError) {
        return makeError(error_kind::malformed_request,
            reader.m_impl->fileName + ':' + std::to_string(parseError.source().begin.line) + ": " + std::string(parseError.description()));
    }
    return reader;
}

result<settings_reader> settings_reader::open(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        return makeError(error_kind::malformed_request, path + ": can't be read");
    return parse(text.str(), path);
}

std::string settings_reader::requiredString(std::string_view key)
{
    if (!m_impl->find(key))
        m_impl->failMissing(key);
    return stringOr(key, {});
}

std::string settings_reader::stringOr(std::string_view key, std::string_view fallback)
{
    const toml::node* node = m_impl->find(key);
    if (!node)
        return std::string(fallback);
    if (const auto* text = node->as_string())
        return text->get();
    m_impl->failValue(node, key, "a string");
    return std::string(fallback);
}

std::int64_t settings_reader::requiredInteger(std::string_view key, std::int64_t low, std::int64_t high)
{
    if (const toml::node* node = m_impl->find(key))
        return m_impl->integer(node, key, low, high);
    m_impl->failMissing(key);
    return low;
}

std::int64_t settings_reader::integerOr(std::string_view key, std::int64_t fallback, std::int64_t low, std::int64_t high)
{
    const toml::node* node = m_impl->find(key);
    return node ? m_impl->integer(node, key, low, high) : fallback;
}

double settings_reader::numberOr(std::string_view key, double fallback, double low, double high)
{
    const toml::node* node = m_impl->find(key);
    if (!node)
        return fallback;
    const auto value = node->is_number() ? node->value<double>() : std::nullopt;
    if (value && *value >= low && *value <= high)
        return *value;
    std::ostringstream wanted;
    wanted << "a number from " << low << " to " << high;
    m_impl->failValue(node, key, wanted.str());
    return fallback;
}

bool settings_reader::booleanOr(std::string_view key, bool fallback)
{
    const toml::node* node = m_impl->find(key);
    if (!node)
        return fallback;
    if (const auto* value = node->as_boolean())
        return value->get();
    m_impl->failValue(node, key, "true or false");
    return fallback;
}

duration settings_reader::millisecondsOr(std::string_view key, duration fallback, duration low, duration high)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    return milliseconds(integerOr(key, duration_cast<milliseconds>(fallback).count(), duration_cast<milliseconds>(low).count(),
        duration_cast<milliseconds>(high).count()));
}

std::vector<std::string> settings_reader::stringsOr(std::string_view key, std::vector<std::string> fallback)
{
    const toml::node* node = m_impl->find(key);
    if (!node)
        return fallback;
    const toml::array* array = node->as_array();
    if (!array || (!array->empty() && !array->is_homogeneous(toml::node_type::string))) {
        m_impl->failValue(node, key, "an array of strings");
        return fallback;
    }
    std::vector<std::string> values;
    for (const toml::node& element : *array)
        values.push_back(element.as_string()->get());
    return values;
}

void settings_reader::fail(std::string_view key, std::string_view reason)
{
    m_impl->failAt(m_impl->find(key), "'" + std::string(key) + "' " + std::string(reason));
}

result<void> settings_reader::finish()
{
    m_impl->failOnUnknownKeys(m_impl->document, {});
    if (m_impl->failure)
        return *m_impl->failure;
    return boost::outcome_v2::success();
}

} // namespace jackdaw::state
