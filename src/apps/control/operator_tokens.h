// The operators who may change things, by their tokens.
#pragma once

#include "protocol/result.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::control {

class operator_tokens {
public:
    // One "NAME TOKEN" a line; empty lines and lines that begin with '#' are skipped. A token has at least 16 bytes.
    static protocol::result<operator_tokens> parse(std::string_view text, const std::string& fileName);
    static protocol::result<operator_tokens> open(const std::string& path);

    // The operator's name for the value of an Authorization header, "Bearer TOKEN". Takes equally long for any wrong token
    // of the same length.
    std::optional<std::string> operatorFor(std::string_view authorization) const;

private:
    struct entry {
        std::string name;
        std::string token;
    };
    std::vector<entry> m_entries;
};

} // namespace jackdaw::control
