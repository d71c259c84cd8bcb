// Requests around a load.
#include "apps/load/service_probe.h"

#include "protocol/job_codec.h"
#include "protocol/json_document.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <thread>

namespace jackdaw::load {
namespace {

    using protocol::error_kind;
    using protocol::makeError;
    using protocol::result;
    using transport::request_outcome;

    constexpr int statusOk = 200;
    constexpr std::size_t roundTripSamples = 51;
    constexpr duration probeInterval = std::chrono::milliseconds(50);
    constexpr duration probeDeadline = std::chrono::seconds(2);

    protocol::submission_id randomSubmission()
    {
        static thread_local std::mt19937_64 random { std::random_device()() };
        const std::uint64_t high = random();
        return protocol::makeSubmissionId(protocol::unixNow(), high, random());
    }

    std::string describe(const transport::endpoint& target)
    {
        return target.host + ':' + std::to_string(target.port);
    }

} // namespace

service_probe::service_probe(transport::event_loop& loop, const load_settings& settings)
    : m_settings(settings)
    , m_client(loop)
{
}

bool service_probe::completesJob(const apps::zone_address& entry)
{
    protocol::job_request request;
    request.submission = randomSubmission();
    request.client = m_settings.load.client;
    request.team = m_settings.load.teams.front();
    request.zone = entry.zone;
    request.deadline = probeDeadline;
    request.idempotent = true;
    request.tasks.resize(1);
    request.tasks.front().payload = R"({"work_ms": 0, "echo": "probe"})";
    transport::http_call call;
    call.method = transport::http_method::put;
    call.path = "/v1/jobs/" + protocol::toText(request.submission);
    call.body = toJson(request);
    call.headers = { { "Content-Type", "application/json" }, { "First-Attempt", "true" } };
    const auto answer = m_client.await(entry.address, std::move(call));
    return answer.outcome == request_outcome::answered && answer.response.status == statusOk;
}

bool service_probe::isReady(const transport::endpoint& target)
{
    transport::http_call call;
    call.path = "/readyz";
    return fetch(target, std::move(call)).has_value();
}

result<void> service_probe::awaitServing(duration limit)
{
    const auto end = protocol::steadyNow() + limit;
    const auto await = [end](const auto& isDone, const transport::endpoint& target) -> result<void> {
        while (!isDone()) {
            if (protocol::steadyNow() > end)
                return makeError(error_kind::timed_out, "entry host " + describe(target) + " is not ready");
            std::this_thread::sleep_for(probeInterval);
        }
        return boost::outcome_v2::success();
    };
    for (const transport::endpoint& target : m_settings.operators) {
        if (auto ready = await([&] { return isReady(target); }, target); !ready)
            return ready;
    }
    for (const apps::zone_address& entry : m_settings.entries) {
        if (auto serving = await([&] { return completesJob(entry); }, entry.address); !serving)
            return serving;
    }
    return boost::outcome_v2::success();
}

result<duration> service_probe::roundTrip()
{
    std::vector<duration> samples;
    for (std::size_t i = 0; i < roundTripSamples; ++i) {
        transport::http_call call;
        call.path = "/v1/jobs/" + protocol::toText(randomSubmission());
        const auto begin = protocol::steadyNow();
        const auto answer = m_client.await(m_settings.entries.front().address, std::move(call));
        if (answer.outcome != request_outcome::answered)
            return makeError(error_kind::timed_out, "no round trip to " + describe(m_settings.entries.front().address));
        samples.push_back(protocol::steadyNow() - begin);
    }
    std::ranges::nth_element(samples, samples.begin() + roundTripSamples / 2);
    return samples[roundTripSamples / 2];
}

result<std::string> service_probe::fetch(const transport::endpoint& target, transport::http_call call)
{
    const std::string path = call.path;
    auto answer = m_client.await(target, std::move(call));
    if (answer.outcome != request_outcome::answered || answer.response.status != statusOk)
        return makeError(error_kind::timed_out, describe(target) + " does not answer " + path);
    return std::move(answer.response.body);
}

result<message_counts> service_probe::messages()
{
    message_counts sum;
    for (const transport::endpoint& target : m_settings.operators) {
        transport::http_call call;
        call.path = "/metrics";
        const auto page = fetch(target, std::move(call));
        if (!page)
            return page.error();
        sum += parseMessageCounts(page.value());
    }
    return sum;
}

result<upstream_counts> service_probe::upstreams()
{
    upstream_counts sum;
    for (const transport::endpoint& target : m_settings.upstreamControls) {
        transport::http_call call;
        call.path = "/stats";
        const auto page = fetch(target, std::move(call));
        if (!page)
            return page.error();
        const auto counts = parseUpstreamCounts(page.value());
        if (!counts)
            return counts.error();
        sum += counts.value();
    }
    return sum;
}

result<std::size_t> service_probe::countStarted(std::span<const protocol::submission_id> submissions)
{
    nlohmann::json texts = nlohmann::json::array();
    for (const auto& submission : submissions)
        texts.push_back(protocol::toText(submission));
    const std::string body = nlohmann::json { { "submissions", std::move(texts) } }.dump();
    std::size_t sum = 0;
    for (const transport::endpoint& target : m_settings.upstreamControls) {
        transport::http_call call;
        call.method = transport::http_method::post;
        call.path = "/started";
        call.body = body;
        const auto answer = fetch(target, std::move(call));
        if (!answer)
            return answer.error();
        const auto json = protocol::parseJsonOrDiscard(answer.value());
        if (!json.is_object() || !json.contains("started"))
            return makeError(error_kind::malformed_request, describe(target) + " gives no list of submissions");
        sum += json["started"].size();
    }
    return sum;
}

} // namespace jackdaw::load
