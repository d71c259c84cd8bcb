// Structured logs: formats key=value lines and hands them to easylogging++.
#include "state/log.h"

#include "protocol/time.h"
#include "state/internal/line_writer.h"

#include <easylogging++.h>

#include <unistd.h>

#include <atomic>
#include <mutex>
#include <optional>

INITIALIZE_EASYLOGGINGPP

namespace jackdaw::state {
namespace {

    std::atomic<log_level> lowestLevel { log_level::info };
    std::string programName = "jackdaw";

    std::mutex outputMutex;
    std::optional<internal::line_writer> output; // guarded by outputMutex; empty: the library writes to a file

    // Takes the place of the library's own dispatch to standard output, which waits for the reader.
    class output_dispatch final : public el::LogDispatchCallback {
    protected:
        void handle(const el::LogDispatchData* data) override
        {
            const el::LogMessage* message = data->logMessage();
            const std::string line = message->logger()->logBuilder()->build(message, false);
            const bool isUrgent = message->level() == el::Level::Warning || message->level() == el::Level::Error;
            const std::lock_guard lock(outputMutex);
            if (output)
                output->write(line, isUrgent, protocol::steadyNow());
        }
    };

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
    el::Helpers::installLogDispatchCallback<output_dispatch>("jackdaw_output");
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
