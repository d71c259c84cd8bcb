// Reads one TOML settings file with checks. An unknown key, a wrong type or a value out of range is an error that names
// file, line and reason.
#pragma once

#include "protocol/result.h"
#include "protocol/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::state {

class settings_reader {
public:
    // The file's name is used in error texts only.
    static protocol::result<settings_reader> parse(std::string_view text, std::string fileName);
    static protocol::result<settings_reader> open(const std::string& path);
    settings_reader(settings_reader&&) noexcept;
    settings_reader& operator=(settings_reader&&) noexcept;
    ~settings_reader();

    // Keys are dotted paths, "http.port". A required key that is absent is an error; the first error is kept.
    std::string requiredString(std::string_view key);
    std::string stringOr(std::string_view key, std::string_view fallback);
    std::int64_t requiredInteger(std::string_view key, std::int64_t low, std::int64_t high);
    std::int64_t integerOr(std::string_view key, std::int64_t fallback, std::int64_t low, std::int64_t high);
    double numberOr(std::string_view key, double fallback, double low, double high);
    bool booleanOr(std::string_view key, bool fallback);
    protocol::duration millisecondsOr(std::string_view key, protocol::duration fallback, protocol::duration low, protocol::duration high);
    std::vector<std::string> stringsOr(std::string_view key, std::vector<std::string> fallback);

    // Records a failure at the line of a key, for checks across keys.
    void fail(std::string_view key, std::string_view reason);

    // To be called last: the first failure, or an unknown key.
    protocol::result<void> finish();

private:
    settings_reader();
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::state
