// Reads a rules file line by line; each line is a TOML document of its own.
#include "state/rules_file.h"

#include "state/internal/rule_values.h"

#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace jackdaw::state {

using protocol::error_kind;
using protocol::makeError;
using protocol::result;

namespace {

    constexpr std::size_t maxAuthorBytes = 200;
    constexpr std::size_t maxNamePartBytes = 64;
    constexpr std::string_view authorPrefix = "asked for by";
    constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";
    constexpr std::string_view blanks = " \t\r";

    std::string_view trimmed(std::string_view text)
    {
        const auto first = text.find_first_not_of(blanks);
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(blanks) - first + 1);
    }

    bool isPlainNamePart(std::string_view part)
    {
        return !part.empty() && part.size() <= maxNamePartBytes && std::all_of(part.begin(), part.end(), [](unsigned char c) {
            return std::isalnum(c) != 0 || c == '-' || c == '_';
        });
    }

    // Bytes from 0x80 on belong to letters beyond ASCII: the TOML parser has checked that the text is UTF-8.
    bool hasLetter(std::string_view text)
    {
        return std::any_of(text.begin(), text.end(), [](unsigned char c) { return std::isalpha(c) != 0 || c >= 0x80; });
    }

    std::string_view authorIn(std::string_view comment)
    {
        const bool hasPrefix = comment.size() >= authorPrefix.size()
            && std::equal(authorPrefix.begin(), authorPrefix.end(), comment.begin(), [](char expected, unsigned char c) { return expected == std::tolower(c); });
        return trimmed(hasPrefix ? comment.substr(authorPrefix.size()) : comment);
    }

    // A line without its trailing comment.
    struct split_line {
        std::string_view rule;
        std::string_view comment; // without the number sign; empty when there is none
    };

    // A number sign begins the comment if what stands before it is whole TOML: within a string or table it is not.
    split_line splitComment(std::string_view line)
    {
        for (auto sign = line.find('#'); sign != std::string_view::npos; sign = line.find('#', sign + 1)) {
            try {
                static_cast<void>(toml::parse(line.substr(0, sign)));
                return { line.substr(0, sign), trimmed(line.substr(sign + 1)) };
            } catch (const toml::parse_error&) {
                continue;
            }
        }
        return { line, {} };
    }

    class rules_parser {
    public:
        explicit rules_parser(const std::string& fileName)
            : m_fileName(fileName)
        {
        }

        void takeLine(std::string_view line)
        {
            ++m_line;
            const std::string_view content = trimmed(line);
            if (content.empty())
                return;
            try {
                const toml::table table = toml::parse(content);
                takeTable(content, table);
            } catch (const toml::parse_error& error) {
                fail("not a rule on one line: " + std::string(error.description()));
            }
        }

        void fail(const std::string& reason)
        {
            if (m_errorCount++ < maxReportedRuleErrors)
                m_errors += (m_errors.empty() ? "" : "\n") + m_fileName + ':' + std::to_string(std::max<std::size_t>(m_line, 1)) + ": " + reason;
        }

        result<rules_document> finish()
        {
            if (m_errorCount > 0)
                return makeError(error_kind::malformed_request, std::move(m_errors));
            return std::move(m_document);
        }

    private:
        void takeTable(std::string_view content, const toml::table& table)
        {
            if (content.front() == '[')
                return fail("sections are not allowed: a rule is one line with its full name");
            if (table.empty())
                return; // only a comment
            std::vector<std::string> path;
            const toml::node* value = &table;
            while (value->is_table() && !value->as_table()->is_inline()) {
                const auto only = value->as_table()->begin();
                if (!isPlainNamePart(only->first.str()))
                    return fail("a rule's name has parts of at most 64 letters, digits, '-' and '_'");
                path.emplace_back(only->first.str());
                value = &only->second;
            }
            takeRule(content, path, *value);
        }

        void takeRule(std::string_view content, const std::vector<std::string>& path, const toml::node& value)
        {
            const split_line split = splitComment(content);
            const std::string_view author = authorIn(split.comment);
            if (!hasLetter(author))
                return fail("no comment beside the rule names who asked for it");
            if (author.size() > maxAuthorBytes)
                return fail("the comment is over " + std::to_string(maxAuthorBytes) + " bytes");
            if (std::string reason = internal::takeRule(path, value, m_document); !reason.empty())
                return fail(reason);

            rule_line line;
            for (const std::string& part : path)
                line.name += (line.name.empty() ? "" : ".") + part;
            line.value = trimmed(split.rule.substr(split.rule.find('=') + 1));
            line.author = author;
            line.line = m_line;
            const auto [first, isNew] = m_linesByName.emplace(line.name, m_line);
            if (!isNew)
                return fail("'" + line.name + "' stands on line " + std::to_string(first->second) + " already");
            m_document.lines.push_back(std::move(line));
        }

        const std::string& m_fileName;
        std::size_t m_line = 0;
        std::size_t m_errorCount = 0;
        std::string m_errors;
        std::map<std::string, std::size_t> m_linesByName;
        rules_document m_document;
    };

} // namespace

result<rules_document> parseRules(std::string_view text, const std::string& fileName)
{
    rules_parser parser(fileName);
    if (text.size() > maxRulesFileBytes) {
        parser.fail("the file is over " + std::to_string(maxRulesFileBytes) + " bytes");
        return parser.finish();
    }
    if (text.starts_with(byteOrderMark))
        text.remove_prefix(byteOrderMark.size());
    while (!text.empty()) {
        const auto end = text.find('\n');
        parser.takeLine(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return parser.finish();
}

result<std::string> readRulesText(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || (file.peek() != std::ifstream::traits_type::eof() && !(text << file.rdbuf())))
        return makeError(error_kind::unknown_resource, path + ": can't be read");
    return text.str();
}

result<rules_document> openRules(const std::string& path)
{
    const auto text = readRulesText(path);
    if (!text)
        return text.error();
    return parseRules(text.value(), path);
}

} // namespace jackdaw::state
