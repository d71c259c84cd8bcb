// Structured logs: formats key=value lines. Lines for standard output go to the line writer, lines for a file to easylogging++.
#include "state/log.h"

#include "protocol/time.h"
#include "state/internal/line_writer.h"

#include <easylogging++.h>

#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <ctime>
#include <mutex>
#include <optional>
#include <string>

INITIALIZE_EASYLOGGINGPP

namespace jackdaw::state {
namespace {

    std::atomic<log_level> lowestLevel { log_level::info };
    std::string programName = "jackdaw";

    std::mutex outputMutex;
    std::optional<internal::line_writer> output; // guarded by outputMutex; empty: the library writes to a file

    std::string_view toText(log_level level)
    {
        switch (level) {
        case log_level::debug:
            return "DEBUG";
        case log_level::warning:
            return "WARNING";
        case log_level::error:
            return "ERROR";
        case log_level::info:
            break;
        }
        return "INFO";
    }

    // The calendar fields are computed once a second, since each thread may write thousands of lines in it.
    void appendLocalTime(std::string& line)
    {
        constexpr std::int64_t msPerSecond = 1000;
        const std::int64_t ms = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        const std::time_t second = ms / msPerSecond;
        thread_local std::time_t formattedSecond = -1;
        thread_local char formatted[32] {};
        if (second != formattedSecond) {
            std::tm fields {};
            localtime_r(&second, &fields);
            std::strftime(formatted, sizeof(formatted), "%Y-%m-%dT%H:%M:%S.", &fields);
            formattedSecond = second;
        }
        line += formatted;
        const std::string fraction = std::to_string(ms % msPerSecond);
        line.append(3 - fraction.size(), '0');
        line += fraction;
    }

    // The library's own dispatch to standard output waits for the reader, and its formatting takes longer than the write.
    bool writeToOutput(log_level level, std::string_view text)
    {
        const std::lock_guard lock(outputMutex);
        if (!output)
            return false;
        std::string line = "time=";
        appendLocalTime(line);
        line += " level=";
        line += toText(level);
        line += ' ';
        line += text;
        output->write(line, level == log_level::warning || level == log_level::error, protocol::steadyNow());
        return true;
    }

    bool needsQuotes(std::string_view value)
    {
        if (value.empty())
            return true;
        for (const char c : value) {
            if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f)
                return true;
        }
        return false;
    }

    void appendEscaped(std::string& line, char c)
    {
        constexpr std::string_view hexDigits = "0123456789abcdef";
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            line += '\\';
            line += c;
        } else if (byte < ' ' || byte == 0x7f) {
            line += "\\x";
            line += hexDigits[byte >> 4];
            line += hexDigits[byte & 15];
        } else {
            line += c;
        }
    }

    void appendValue(std::string& line, std::string_view value)
    {
        if (!needsQuotes(value)) {
            line += value;
            return;
        }
        line += '"';
        for (const char c : value)
            appendEscaped(line, c);
        line += '"';
    }

    el::Level toLibraryLevel(log_level level)
    {
        switch (level) {
        case log_level::debug:
            return el::Level::Debug;
        case log_level::warning:
            return el::Level::Warning;
        case log_level::error:
            return el::Level::Error;
        case log_level::info:
            break;
        }
        return el::Level::Info;
    }

} // namespace

void configureLog(const log_settings& settings)
{
    lowestLevel = settings.level;
    programName = settings.program;
    el::Configurations configurations;
    configurations.setToDefault();
    configurations.setGlobally(el::ConfigurationType::Format, "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
    configurations.setGlobally(el::ConfigurationType::ToFile, settings.file.empty() ? "false" : "true");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    if (!settings.file.empty())
        configurations.setGlobally(el::ConfigurationType::Filename, settings.file);
    el::Loggers::reconfigureLogger("default", configurations);
    const std::lock_guard lock(outputMutex);
    output.reset();
    if (settings.file.empty())
        output.emplace(STDOUT_FILENO, settings.maxLinesPerSecond);
}

std::uint64_t logLinesLeftOut()
{
    const std::lock_guard lock(outputMutex);
    return output ? output->linesLeftOut() : 0;
}

bool isLogged(log_level level)
{
    return level >= lowestLevel.load(std::memory_order_relaxed);
}

void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (!isLogged(level))
        return;
    std::string line = "program=";
    appendValue(line, programName);
    line += " event=";
    appendValue(line, event);
    for (const log_field& field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        appendValue(line, field.value);
    }
    if (writeToOutput(level, line))
        return;
    el::base::Writer(toLibraryLevel(level), __FILE__, __LINE__, __func__).construct(1, el::base::consts::kDefaultLoggerId) << line;
}

log_level parseLogLevel(std::string_view name)
{
    if (name == "debug")
        return log_level::debug;
    if (name == "warning")
        return log_level::warning;
    if (name == "error")
        return log_level::error;
    return log_level::info;
}

} // namespace jackdaw::state
