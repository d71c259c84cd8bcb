// jackdaw-load: open-loop load on the entry hosts, with checks of every answer and the two measures.
#include "apps/load/comparison.h"
#include "apps/load/job_sender.h"
#include "apps/load/load_settings.h"
#include "apps/load/service_probe.h"
#include "apps/shared/command_line.h"

#include <nlohmann/json.hpp>

#include <boost/program_options/value_semantic.hpp>

#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

namespace {

using namespace jackdaw;
using namespace jackdaw::load;

constexpr std::string_view program = "jackdaw-load";
constexpr duration servingLimit = std::chrono::seconds(20);

int fail(const protocol::error& failure)
{
    std::cerr << program << ": " << failure.detail << '\n';
    return apps::exitFailed;
}

std::optional<std::string> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        return std::nullopt;
    return text.str();
}

int compare(const std::vector<std::string>& paths)
{
    if (paths.size() != 2) {
        std::cerr << program << ": --compare takes two result files\n";
        return apps::exitBadUsage;
    }
    const auto before = readFile(paths[0]);
    const auto after = readFile(paths[1]);
    if (!before || !after) {
        std::cerr << program << ": a result file can't be read\n";
        return apps::exitBadUsage;
    }
    const auto changes = compareResults(*before, *after);
    if (!changes)
        return fail(changes.error());
    std::cout << toTable(changes.value());
    return apps::exitDone;
}

// Counters of the whole service at one moment.
struct service_snapshot {
    message_counts messages;
    upstream_counts upstreams;
};

protocol::result<service_snapshot> takeSnapshot(service_probe& probe)
{
    auto messages = probe.messages();
    if (!messages)
        return messages.error();
    auto upstreams = probe.upstreams();
    if (!upstreams)
        return upstreams.error();
    return service_snapshot { std::move(messages.value()), upstreams.value() };
}

int report(const load_settings& settings, std::uint64_t seed, duration roundTrip, const tally& counts, const service_snapshot& before,
    const service_snapshot& after)
{
    constexpr double microsecondsPerMillisecond = 1000;
    const message_counts messages = after.messages - before.messages;
    const upstream_counts upstreams = after.upstreams - before.upstreams;
    nlohmann::ordered_json details = counts.details(messages, upstreams);
    details["seed"] = seed;
    details["round_trip_ms"] = static_cast<double>(roundTrip.count()) / microsecondsPerMillisecond;
    std::cout << "details " << details.dump() << '\n';
    std::cout << counts.summary(messages, upstreams).dump() << std::endl;
    if (!settings.resultsFile.empty()) {
        std::ofstream file(settings.resultsFile);
        if (!(file << details.dump(2) << '\n'))
            return fail(protocol::makeError(protocol::error_kind::storage_failed, settings.resultsFile + " can't be written"));
    }
    return counts.isSound() && upstreams.startedTwice == 0 ? apps::exitDone : apps::exitFailed;
}

// Fills in what the settings leave to the stand-ins.
void completeSettings(load_settings& settings, const upstream_counts& upstreams)
{
    if (settings.load.arrivals.capacity <= 0)
        settings.load.arrivals.capacity = upstreams.capacity;
    if (settings.fastestSpeed <= 0)
        settings.fastestSpeed = upstreams.fastestSpeed > 0 ? upstreams.fastestSpeed : 1;
}

int runLoad(load_settings settings)
{
    const std::uint64_t seed = settings.seed != 0 ? settings.seed : std::random_device()();
    std::cout << "seed " << seed << std::endl;
    transport::event_loop loop;
    service_probe probe(loop, settings);
    if (const auto serving = probe.awaitServing(servingLimit); !serving)
        return fail(serving.error());
    const auto roundTrip = probe.roundTrip();
    if (!roundTrip)
        return fail(roundTrip.error());
    const auto before = takeSnapshot(probe);
    if (!before)
        return fail(before.error());
    completeSettings(settings, before.value().upstreams);
    job_sender sender(loop, settings, seed, roundTrip.value());
    sender.run();
    const auto after = takeSnapshot(probe);
    if (!after)
        return fail(after.error());
    const auto untrue = probe.countStarted(sender.toldNotRun());
    if (!untrue)
        return fail(untrue.error());
    sender.counts().recordUntrueRefusals(untrue.value());
    return report(settings, seed, roundTrip.value(), sender.counts(), before.value(), after.value());
}

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    po::options_description options("Load");
    options.add_options()("compare", po::value<std::vector<std::string>>()->multitoken(), "compare two result files");
    const auto line = apps::readCommandLine({ program, "open-loop load on the entry hosts", false }, { argv, static_cast<std::size_t>(argc) }, options);
    if (line.exitCode)
        return *line.exitCode;
    if (line.values.contains("compare"))
        return compare(line.values["compare"].as<std::vector<std::string>>());
    auto reader = state::settings_reader::open(line.settingsPath);
    if (!reader)
        return apps::reportBadSettings(program, reader.error());
    auto settings = readLoadSettings(reader.value());
    if (!settings)
        return apps::reportBadSettings(program, settings.error());
    if (line.isCheckOnly)
        return apps::exitDone;
    state::configureLog(settings.value().log);
    return runLoad(std::move(settings.value()));
}
