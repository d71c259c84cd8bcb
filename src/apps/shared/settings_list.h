// Reads arrays of strings in settings, each element by a parser of its own.
#pragma once

#include "state/settings_reader.h"

#include <string_view>
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

} // namespace jackdaw::apps
