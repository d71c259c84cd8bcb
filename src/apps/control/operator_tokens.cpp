// Reads the tokens file and compares tokens in constant time.
#include "apps/control/operator_tokens.h"

#include <fstream>
#include <sstream>

namespace jackdaw::control {

using protocol::error_kind;
using protocol::makeError;
using protocol::result;

namespace {

    constexpr std::size_t minTokenBytes = 16;
    constexpr std::string_view scheme = "Bearer ";

    bool isEqual(std::string_view left, std::string_view right)
    {
        if (left.size() != right.size())
            return false;
        unsigned difference = 0;
        for (std::size_t i = 0; i < left.size(); ++i)
            difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
        return difference == 0;
    }

} // namespace

result<operator_tokens> operator_tokens::parse(std::string_view text, const std::string& fileName)
{
    operator_tokens tokens;
    std::istringstream lines { std::string(text) };
    std::string line;
    for (std::size_t number = 1; std::getline(lines, line); ++number) {
        if (line.empty() || line.front() == '#')
            continue;
        std::istringstream words(line);
        entry read;
        std::string more;
        if (!(words >> read.name >> read.token) || (words >> more) || read.token.size() < minTokenBytes)
            return makeError(error_kind::malformed_request, fileName + ':' + std::to_string(number) + ": not NAME TOKEN with a token of at least 16 bytes");
        tokens.m_entries.push_back(std::move(read));
    }
    return tokens;
}

result<operator_tokens> operator_tokens::open(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        return makeError(error_kind::malformed_request, path + ": can't be read, or is empty");
    return parse(text.str(), path);
}

std::optional<std::string> operator_tokens::operatorFor(std::string_view authorization) const
{
    if (!authorization.starts_with(scheme))
        return std::nullopt;
    std::optional<std::string> name;
    for (const entry& known : m_entries) {
        if (isEqual(authorization.substr(scheme.size()), known.token))
            name = known.name;
    }
    return name;
}

} // namespace jackdaw::control
