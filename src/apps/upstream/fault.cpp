// Text form of faults.
#include "apps/upstream/fault.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace jackdaw::upstream {
namespace {

    using protocol::error_kind;
    using protocol::makeError;
    using protocol::result;

    struct mode_name {
        fault_mode mode;
        std::string_view name;
    };

    constexpr std::array modeNames {
        mode_name { fault_mode::none, "none" },
        mode_name { fault_mode::fail_all, "fail_all" },
        mode_name { fault_mode::slow, "slow" },
        mode_name { fault_mode::silent, "silent" },
        mode_name { fault_mode::refuse, "refuse" },
        mode_name { fault_mode::leave, "leave" },
        mode_name { fault_mode::mute, "mute" },
    };

    template <typename Number>
    std::optional<Number> parseNumber(std::string_view text)
    {
        Number number {};
        const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (code != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return number;
    }

    std::optional<protocol::duration> parseMilliseconds(std::string_view text)
    {
        const auto number = parseNumber<std::uint32_t>(text);
        if (!number)
            return std::nullopt;
        return std::chrono::milliseconds(*number);
    }

    // Cuts the text behind the separator off and returns it; nothing when the separator is absent.
    std::optional<std::string_view> cutTail(std::string_view& text, std::string_view separator)
    {
        const auto place = text.find(separator);
        if (place == std::string_view::npos)
            return std::nullopt;
        const std::string_view tail = text.substr(place + separator.size());
        text = text.substr(0, place);
        return tail;
    }

    bool readTimes(std::string_view text, fault_step& out)
    {
        if (const auto endText = cutTail(text, "..")) {
            out.end = parseMilliseconds(*endText);
            if (!out.end)
                return false;
        }
        const auto begin = parseMilliseconds(text);
        out.begin = begin.value_or(protocol::duration());
        return begin && (!out.end || *out.end > *begin);
    }

} // namespace

std::string_view toText(fault_mode mode)
{
    const auto* const found = std::ranges::find(modeNames, mode, &mode_name::mode);
    return found == modeNames.end() ? "none" : found->name;
}

std::optional<fault_mode> parseFaultMode(std::string_view text)
{
    const auto* const found = std::ranges::find(modeNames, text, &mode_name::name);
    if (found == modeNames.end())
        return std::nullopt;
    return found->mode;
}

result<fault_step> parseFaultStep(std::string_view text)
{
    const auto malformed = [whole = std::string(text)] {
        return makeError(error_kind::malformed_request, "'" + whole + "' is not instance=mode[*factor][@begin_ms[..end_ms]]");
    };
    fault_step out;
    const auto times = cutTail(text, "@");
    const auto factor = cutTail(text, "*");
    const auto mode = cutTail(text, "=");
    const auto known = parseFaultMode(mode.value_or(""));
    if (!known || text.empty() || (times && !readTimes(*times, out)))
        return malformed();
    out.instance = text;
    out.what.mode = *known;
    if (!factor)
        return out;
    out.what.factor = parseNumber<double>(*factor).value_or(0);
    if (!(out.what.factor >= 1 && out.what.factor <= maxSlowFactor))
        return malformed();
    return out;
}

} // namespace jackdaw::upstream
