// Reads and validates the members of one JSON object; keeps the first failure.
#pragma once

#include "protocol/job.h"
#include "protocol/result.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jackdaw::protocol::internal {

constexpr double millicoresPerCore = 1000.0;

class json_reader {
public:
    // Parses the text; fails when it is not a JSON object.
    explicit json_reader(std::string_view text);

    // Reads an object that is part of a larger document, which must outlive the reader. The path prefixes error texts, for
    // example "tasks[3].".
    json_reader(const nlohmann::json& object, std::string path);

    std::string requiredString(const char* member);
    std::string stringOr(const char* member, std::string fallback);
    std::uint64_t requiredInteger(const char* member, std::uint64_t low, std::uint64_t high);
    std::uint64_t integerOr(const char* member, std::uint64_t fallback, std::uint64_t low, std::uint64_t high);
    bool booleanOr(const char* member, bool fallback);

    // The members cores, memory_mb and accelerators; an absent member has the value of the fallback.
    resources resourcesOr(resources fallback);

    const nlohmann::json& array(const char* member);

    // Records a failure unless one is recorded already.
    void fail(std::string_view detail);
    bool hasFailed() const { return m_failure.has_value(); }
    error takeError() { return std::move(*m_failure); }

private:
    const nlohmann::json* find(const char* member) const;
    std::uint64_t readInteger(const nlohmann::json& value, const char* member, std::uint64_t low, std::uint64_t high);

    nlohmann::json m_document; // empty when the object belongs to a larger document
    const nlohmann::json* m_object = &m_document;
    std::string m_path;
    std::optional<error> m_failure;
};

} // namespace jackdaw::protocol::internal
