// HTTP interface and task timers of one stand-in upstream.
#include "apps/upstream/upstream_instance.h"

#include "apps/upstream/task_ledger.h"
#include "protocol/job.h"
#include "protocol/json_document.h"
#include "state/log.h"
#include "transport/http_server.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <unordered_map>

namespace jackdaw::upstream {
namespace {

    using protocol::duration;
    using protocol::task_key;
    using transport::http_method;
    using transport::http_request;
    using transport::http_response;

    using responder_ptr = std::shared_ptr<transport::http_responder>;

    constexpr std::string_view tasksPath = "/tasks/";
    constexpr duration defaultLease = std::chrono::minutes(10);
    constexpr int statusConflict = 409;
    constexpr int statusFailed = 500;
    constexpr int statusUnavailable = 503;

    // What a payload asks for.
    struct task_work {
        duration time {}; // at speed 1
        std::string echo;
    };

    std::optional<task_work> parseWork(const std::string& payload)
    {
        const auto json = protocol::parseJsonOrDiscard(payload);
        if (!json.is_object() || !json.contains("work_ms") || !json["work_ms"].is_number())
            return std::nullopt;
        const double milliseconds = json["work_ms"].get<double>();
        if (!(milliseconds >= 0 && milliseconds <= 1e7))
            return std::nullopt;
        const auto echo = json.find("echo");
        const bool hasEcho = echo != json.end() && echo->is_string();
        constexpr double microsecondsPerMillisecond = 1000;
        return task_work { duration(static_cast<std::int64_t>(milliseconds * microsecondsPerMillisecond)), hasEcho ? echo->get<std::string>() : "" };
    }

    duration parseLease(std::string_view text)
    {
        std::int64_t milliseconds = 0;
        const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
        if (code != std::errc() || end != text.data() + text.size() || milliseconds <= 0)
            return defaultLease;
        return std::chrono::milliseconds(milliseconds);
    }

    http_response describe(const task_key& key, const task_record& record)
    {
        nlohmann::json json { { "state", toText(record.state) } };
        if (record.state == task_state::finished)
            json["result"] = record.result;
        http_response response;
        response.headers.push_back({ "Task-Id", protocol::toText(key) });
        response.body = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        return response;
    }

    http_response refusal(std::string_view taskId, std::string_view reason)
    {
        http_response response;
        response.headers.push_back({ "Task-Id", std::string(taskId) });
        response.status = statusUnavailable;
        response.body = nlohmann::json { { "refused", reason } }.dump();
        response.headers.push_back({ "Not-Started", "true" });
        return response;
    }

} // namespace

instance_counters& instance_counters::operator+=(const instance_counters& other)
{
    started += other.started;
    startedLate += other.startedLate;
    finished += other.finished;
    failed += other.failed;
    stopped += other.stopped;
    overSlots += other.overSlots;
    refused += other.refused;
    running += other.running;
    messagesIn += other.messagesIn;
    messagesOut += other.messagesOut;
    return *this;
}

class upstream_instance::impl {
public:
    impl(transport::event_loop& eventLoop, start_register& startRegister, instance_settings instanceSettings)
        : loop(eventLoop)
        , starts(startRegister)
        , settings(std::move(instanceSettings))
        , ledger(settings.maxRecords)
        , server(eventLoop, limits(settings), [this](const http_request& request, responder_ptr responder) { handle(request, std::move(responder)); })
    {
    }

    static transport::http_server_limits limits(const instance_settings& settings)
    {
        transport::http_server_limits out;
        out.maxConnections = settings.identity.connections;
        return out;
    }

    void handle(const http_request& request, responder_ptr responder)
    {
        ++counters.messagesIn;
        const std::string_view path = request.path;
        if (request.method == http_method::post && path == "/run") {
            run(request, std::move(responder));
            return;
        }
        const auto key = path.starts_with(tasksPath) ? protocol::parseTaskKey(path.substr(tasksPath.size()))
                                                     : protocol::makeError(protocol::error_kind::unknown_resource, request.path);
        if (!key) {
            http_response response;
            response.status = protocol::errorAnswer(key.error().kind()).httpStatus;
            reply(*responder, std::move(response));
            return;
        }
        if (request.method == http_method::del)
            settle(key.value(), request.queryParameter("stop") == "1", *responder);
        else
            tell(key.value(), *responder);
    }

    void run(const http_request& request, responder_ptr responder)
    {
        const std::string taskId(request.header("Task-Id"));
        const auto key = protocol::parseTaskKey(taskId);
        if (!key) {
            refuse(taskId, "malformed Task-Id", *responder);
            return;
        }
        if (const task_record* seen = ledger.find(key.value())) {
            refuseSeen(key.value(), *seen, *responder);
            return;
        }
        if (isRefusing()) {
            // The refusal is final: a copy of the request that arrives later is refused as well.
            ledger.settle(key.value());
            refuse(taskId, currentFault.mode == fault_mode::refuse ? "fault" : "slots", *responder);
            return;
        }
        start(key.value(), request, std::move(responder));
    }

    bool isRefusing()
    {
        if (currentFault.mode == fault_mode::refuse)
            return true;
        if (tasks.size() < settings.identity.slots)
            return false;
        ++counters.overSlots;
        return true;
    }

    void refuse(std::string_view taskId, std::string_view reason, transport::http_responder& responder)
    {
        ++counters.refused;
        reply(responder, refusal(taskId, reason));
    }

    // Only a tombstone proves that the task was not started.
    void refuseSeen(const task_key& key, const task_record& seen, transport::http_responder& responder)
    {
        if (seen.state == task_state::unknown) {
            refuse(toText(key), "tombstone", responder);
            return;
        }
        ++counters.refused;
        http_response response = describe(key, seen);
        response.status = statusConflict;
        reply(responder, std::move(response));
    }

    void start(const task_key& key, const http_request& request, responder_ptr responder)
    {
        ledger.begin(key);
        countStart(key);
        tasks[key].responder = std::move(responder);
        const auto work = parseWork(request.body);
        if (!work || currentFault.mode == fault_mode::fail_all) {
            end(key, task_state::failed, {});
            return;
        }
        const double slowness = (currentFault.mode == fault_mode::slow ? currentFault.factor : 1) / settings.speed;
        const duration runTime(static_cast<std::int64_t>(static_cast<double>(work->time.count()) * slowness));
        const duration lease = parseLease(request.header("Lease-Ms"));
        if (runTime <= duration::zero())
            end(key, task_state::finished, work->echo);
        else if (runTime <= lease)
            tasks[key].timer = loop.after(runTime, [this, key, echo = work->echo] { end(key, task_state::finished, echo); });
        else
            tasks[key].timer = loop.after(lease, [this, key] { end(key, task_state::stopped, {}); });
    }

    void countStart(const task_key& key)
    {
        ++counters.started;
        starts.recordStart(key.submission, key.index);
        if (leavingSince && protocol::steadyNow() > *leavingSince + settings.identity.ttl)
            ++counters.startedLate;
        if (state::isLogged(state::log_level::debug))
            state::logEvent(state::log_level::debug, "task_started", { { "instance", settings.identity.name }, { "task", toText(key) } });
    }

    void end(const task_key& key, task_state how, std::string result)
    {
        const auto found = tasks.find(key);
        const running_task task = std::move(found->second);
        tasks.erase(found);
        countEnd(how);
        http_response response;
        response.headers.push_back({ "Task-Id", toText(key) });
        if (how == task_state::finished) {
            response.contentType = "application/octet-stream";
            response.body = result;
        } else {
            response.status = statusFailed;
            response.body = nlohmann::json { { "state", toText(how) } }.dump();
        }
        ledger.end(key, how, std::move(result));
        if (currentFault.mode != fault_mode::silent)
            reply(*task.responder, std::move(response));
    }

    void countEnd(task_state how)
    {
        if (how == task_state::finished)
            ++counters.finished;
        else if (how == task_state::failed)
            ++counters.failed;
        else
            ++counters.stopped;
    }

    void settle(const task_key& key, bool isStopWanted, transport::http_responder& responder)
    {
        if (isStopWanted && tasks.contains(key))
            end(key, task_state::stopped, {});
        reply(responder, describe(key, ledger.settle(key)));
    }

    void tell(const task_key& key, transport::http_responder& responder)
    {
        const task_record* record = ledger.find(key);
        reply(responder, describe(key, record ? *record : task_record()));
    }

    void reply(transport::http_responder& responder, http_response response)
    {
        ++counters.messagesOut;
        const bool isLeaving = settings.identity.state == protocol::upstream_state::leaving;
        response.headers.push_back({ "Upstream-State", isLeaving ? "leaving" : "serving" });
        responder.reply(std::move(response));
    }

    void setFault(fault what)
    {
        currentFault = what;
        if (isStopping)
            return;
        settings.identity.state = protocol::upstream_state::serving;
        leavingSince.reset();
        if (what.mode == fault_mode::leave)
            leave();
    }

    void leave()
    {
        settings.identity.state = protocol::upstream_state::leaving;
        leavingSince = protocol::steadyNow();
    }

    struct running_task {
        responder_ptr responder;
        std::unique_ptr<transport::event_loop::timer> timer; // ends the task
    };

    transport::event_loop& loop;
    start_register& starts;
    instance_settings settings;
    fault currentFault;
    bool isStopping = false; // leaves for good
    std::optional<protocol::time_point> leavingSince;
    task_ledger ledger;
    std::unordered_map<task_key, running_task> tasks; // the running ones
    instance_counters counters; // running is set when it is read
    transport::http_server server;
};

upstream_instance::upstream_instance(transport::event_loop& loop, start_register& starts, instance_settings settings)
    : m_impl(std::make_unique<impl>(loop, starts, std::move(settings)))
{
}

upstream_instance::~upstream_instance() = default;

protocol::result<void> upstream_instance::listen()
{
    auto& identity = m_impl->settings.identity;
    auto listening = m_impl->server.listen(identity.host, identity.port);
    if (listening)
        identity.port = m_impl->server.port();
    return listening;
}

const protocol::announcement& upstream_instance::identity() const
{
    return m_impl->settings.identity;
}

double upstream_instance::speed() const
{
    return m_impl->settings.speed;
}

bool upstream_instance::isAnnouncing() const
{
    return m_impl->currentFault.mode != fault_mode::mute;
}

void upstream_instance::setFault(fault what)
{
    m_impl->setFault(what);
}

void upstream_instance::leave()
{
    m_impl->isStopping = true;
    m_impl->leave();
}

const instance_counters& upstream_instance::counters() const
{
    m_impl->counters.running = m_impl->tasks.size();
    return m_impl->counters;
}

} // namespace jackdaw::upstream
