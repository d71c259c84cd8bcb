// What the programs' settings files have in common: lists and addresses in strings, log levels, files and texts.
#pragma once

#include "state/log.h"
#include "state/settings_reader.h"
#include "transport/http_client.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jackdaw::apps {

// The parser yields a protocol::result<Value>; its failure is recorded at the key.
template <typename Value, typename Parser>
std::vector<Value> readList(state::settings_reader& reader, std::string_view key, Parser parse)
{
    std::vector<Value> out;
    for (const std::string& text : reader.stringsOr(key, {})) {
        auto value = parse(text);
        if (value)
            out.push_back(std::move(value.value()));
        else
            reader.fail(key, value.error().detail);
    }
    return out;
}

// Reads a required "ip:port".
transport::endpoint readEndpoint(state::settings_reader& reader, std::string_view key);

// Reads the name of a log level; "info" when the key is absent.
state::log_level readLogLevel(state::settings_reader& reader, std::string_view key);

// read(reader) reads the settings from the file's keys and yields a protocol::result.
template <typename Read>
auto readSettingsFile(const std::string& path, Read read) -> decltype(read(std::declval<state::settings_reader>()))
{
    auto reader = state::settings_reader::open(path);
    if (!reader)
        return reader.error();
    return read(std::move(reader.value()));
}

// The same from a text; the file's name is used in error texts only.
template <typename Read>
auto readSettingsText(std::string_view text, const std::string& fileName, Read read) -> decltype(read(std::declval<state::settings_reader>()))
{
    auto reader = state::settings_reader::parse(text, fileName);
    if (!reader)
        return reader.error();
    return read(std::move(reader.value()));
}

} // namespace jackdaw::apps
