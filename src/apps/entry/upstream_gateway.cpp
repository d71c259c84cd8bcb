// HTTP exchange with the upstreams on a few I/O threads.
#include "apps/entry/upstream_gateway.h"

#include "apps/entry/batch_channel.h"
#include "apps/entry/loop_thread.h"
#include "apps/entry/upstream_answer.h"
#include "transport/http_client.h"

#include <string>
#include <variant>
#include <vector>

namespace jackdaw::entry {

using coordination::settle_task;
using coordination::start_task;
using coordination::task_report;
using coordination::upstream_id;
using protocol::task_key;
using transport::http_call;
using transport::http_result;

namespace {

    // A start action with its own copy of the payload, as it crosses to an I/O thread.
    struct run_order {
        start_task action; // its payload view is not used
        std::string payload;
    };

    using order = std::variant<run_order, settle_task>;

    std::string leaseText(protocol::duration lease)
    {
        return std::to_string(std::chrono::ceil<std::chrono::milliseconds>(lease).count());
    }

    http_call runCall(run_order&& run, protocol::duration answerSlack)
    {
        http_call call;
        call.method = transport::http_method::post;
        call.path = "/run";
        call.headers = {
            { "Task-Id", protocol::toText(run.action.task) },
            { "Lease-Ms", leaseText(run.action.lease) },
            { "Idempotent", run.action.idempotent ? "true" : "false" },
        };
        call.body = std::move(run.payload);
        call.timeout = run.action.lease + answerSlack;
        return call;
    }

    http_call settleCall(const settle_task& action, protocol::duration timeout)
    {
        http_call call;
        call.method = transport::http_method::del;
        call.path = "/tasks/" + protocol::toText(action.task);
        call.timeout = timeout;
        call.onNewConnection = true;
        return call;
    }

    // The I/O of one share of the upstreams. Everything but the constructor and stop() runs on its own thread.
    class gateway_lane {
    public:
        gateway_lane(transport::event_loop& decisions, const gateway_settings& settings, const upstream_gateway::report_hook& onReport)
            : m_settings(settings)
            , m_client(m_thread.loop(), settings.maxConnections)
            , m_orders(decisions, m_thread.loop(), [this](std::vector<order> batch) { execute(std::move(batch)); })
            , m_reports(m_thread.loop(), decisions, [&onReport](std::vector<task_report> batch) {
                for (task_report& report : batch)
                    onReport(std::move(report));
            })
        {
            m_thread.start();
        }

        void send(order next) { m_orders.send(std::move(next)); }
        void stop() { m_thread.stop(); }

    private:
        void execute(std::vector<order> batch)
        {
            for (order& next : batch) {
                if (auto* run = std::get_if<run_order>(&next))
                    start(std::move(*run));
                else
                    settle(std::get<settle_task>(next));
            }
        }

        void start(run_order run)
        {
            const transport::endpoint target { run.action.host, run.action.port };
            const task_key task = run.action.task;
            const upstream_id upstream = run.action.upstream;
            m_client.call(target, runCall(std::move(run), m_settings.answerSlack), [this, target, task, upstream](http_result result) {
                run_answer answer = readRunAnswer(task, std::move(result));
                if (answer.isCrossed)
                    m_client.forget(target);
                m_reports.send({ task, upstream, answer.outcome, std::move(answer.body), answer.state });
            });
        }

        void settle(const settle_task& action)
        {
            const transport::endpoint target { action.host, action.port };
            m_client.call(target, settleCall(action, m_settings.settleTimeout),
                [this, task = action.task, upstream = action.upstream](http_result result) {
                    run_answer answer = readSettleAnswer(task, std::move(result));
                    m_reports.send({ task, upstream, answer.outcome, std::move(answer.body), answer.state });
                });
        }

        const gateway_settings m_settings;
        loop_thread m_thread;
        transport::http_client m_client;
        batch_channel<order> m_orders;
        batch_channel<task_report> m_reports;
    };

} // namespace

class upstream_gateway::impl {
public:
    impl(transport::event_loop& decisions, const gateway_settings& settings, entry_counters& counterPage, report_hook reportHook)
        : counters(counterPage)
        , onReport(std::move(reportHook))
    {
        for (std::uint32_t i = 0; i < settings.loops; ++i)
            lanes.push_back(std::make_unique<gateway_lane>(decisions, settings, onReport));
    }

    gateway_lane& laneOf(const upstream_id& upstream)
    {
        return *lanes[std::hash<std::string> {}(upstream.name) % lanes.size()];
    }

    entry_counters& counters;
    const report_hook onReport; // referred to by the lanes
    std::vector<std::unique_ptr<gateway_lane>> lanes;
};

upstream_gateway::upstream_gateway(transport::event_loop& decisions, gateway_settings settings, entry_counters& counters, report_hook onReport)
    : m_impl(std::make_unique<impl>(decisions, settings, counters, std::move(onReport)))
{
}

upstream_gateway::~upstream_gateway() = default;

void upstream_gateway::start(const start_task& action)
{
    constexpr std::uint64_t messagesPerExchange = 2;
    m_impl->counters.countStart();
    m_impl->counters.countMessages(action.task.attempt == 0 ? message_purpose::task : message_purpose::retry, messagesPerExchange);
    run_order run { action, std::string(action.payload) };
    run.action.payload = {};
    m_impl->laneOf(action.upstream).send(std::move(run));
}

void upstream_gateway::settle(const settle_task& action)
{
    constexpr std::uint64_t messagesPerExchange = 2;
    m_impl->counters.countMessages(message_purpose::settle, messagesPerExchange);
    m_impl->laneOf(action.upstream).send(action);
}

void upstream_gateway::stop()
{
    for (const auto& lane : m_impl->lanes)
        lane->stop();
}

} // namespace jackdaw::entry
