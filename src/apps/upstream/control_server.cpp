// HTTP interface of the control port.
#include "apps/upstream/control_server.h"

#include "protocol/json_document.h"
#include "state/log.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace jackdaw::upstream {
namespace {

    using transport::http_method;
    using transport::http_request;
    using transport::http_response;

    nlohmann::json toJson(const instance_counters& counters)
    {
        return {
            { "started", counters.started },
            { "started_late", counters.startedLate },
            { "finished", counters.finished },
            { "failed", counters.failed },
            { "stopped", counters.stopped },
            { "over_slots", counters.overSlots },
            { "refused", counters.refused },
            { "running", counters.running },
            { "messages_in", counters.messagesIn },
            { "messages_out", counters.messagesOut },
        };
    }

    http_response error(int status, std::string_view text)
    {
        http_response response;
        response.status = status;
        response.body = nlohmann::json { { "error", text } }.dump();
        return response;
    }

} // namespace

class control_server::impl {
public:
    impl(transport::event_loop& loop, std::vector<std::unique_ptr<upstream_instance>>& instanceList,
        const start_register& startRegister, fault_hook faultHook)
        : instances(instanceList)
        , starts(startRegister)
        , onFault(std::move(faultHook))
        , server(loop, {}, [this](const http_request& request, const auto& responder) { responder->reply(handle(request)); })
    {
    }

    http_response handle(const http_request& request)
    {
        if (request.method == http_method::get && request.path == "/stats")
            return stats();
        if (request.method == http_method::get && request.path == "/healthz")
            return {};
        if (request.method == http_method::put && request.path == "/faults")
            return putFault(request.body);
        if (request.method == http_method::post && request.path == "/started")
            return started(request.body);
        return error(404, "unknown path");
    }

    http_response stats()
    {
        instance_counters total;
        double capacity = 0;
        double fastestSpeed = 0;
        nlohmann::json each = nlohmann::json::object();
        for (const auto& instance : instances) {
            total += instance->counters();
            capacity += instance->identity().slots * instance->speed();
            fastestSpeed = std::max(fastestSpeed, instance->speed());
            each[instance->identity().name] = toJson(instance->counters());
        }
        nlohmann::json json = toJson(total);
        json["capacity"] = capacity;
        json["fastest_speed"] = fastestSpeed;
        json["started_twice"] = starts.startedTwice();
        json["instances"] = std::move(each);
        http_response response;
        response.body = json.dump();
        return response;
    }

    http_response started(const std::string& body)
    {
        const auto json = protocol::parseJsonOrDiscard(body);
        if (!json.is_object() || !json.contains("submissions") || !json["submissions"].is_array())
            return error(400, "'submissions' must be an array");
        nlohmann::json found = nlohmann::json::array();
        for (const nlohmann::json& text : json["submissions"]) {
            const auto submission = protocol::parseSubmissionId(text.is_string() ? text.get<std::string>() : std::string());
            if (submission && starts.hasStarted(submission.value()))
                found.push_back(text);
        }
        http_response response;
        response.body = nlohmann::json { { "started", std::move(found) } }.dump();
        return response;
    }

    http_response putFault(const std::string& body)
    {
        const auto json = protocol::parseJsonOrDiscard(body);
        if (!json.is_object() || !json.contains("instance") || !json["instance"].is_string() || !json.contains("mode") || !json["mode"].is_string())
            return error(400, "'instance' and 'mode' must be strings");
        const auto mode = parseFaultMode(json["mode"].get<std::string>());
        const auto factor = json.find("factor");
        fault what;
        if (factor != json.end() && factor->is_number())
            what.factor = factor->get<double>();
        if (!mode || !(what.factor >= 1 && what.factor <= maxSlowFactor))
            return error(400, "unknown 'mode', or 'factor' out of range");
        what.mode = *mode;
        if (!setFault(json["instance"].get<std::string>(), what))
            return error(404, "no such instance");
        return {};
    }

    bool setFault(std::string_view name, fault what)
    {
        for (std::size_t i = 0; i < instances.size(); ++i) {
            if (instances[i]->identity().name != name)
                continue;
            instances[i]->setFault(what);
            state::logEvent(state::log_level::info, "fault_set", { { "instance", std::string(name) }, { "mode", std::string(toText(what.mode)) } });
            onFault(i);
            return true;
        }
        return false;
    }

    std::vector<std::unique_ptr<upstream_instance>>& instances;
    const start_register& starts;
    fault_hook onFault;
    transport::http_server server;
};

control_server::control_server(transport::event_loop& loop, std::vector<std::unique_ptr<upstream_instance>>& instances,
    const start_register& starts, fault_hook onFault)
    : m_impl(std::make_unique<impl>(loop, instances, starts, std::move(onFault)))
{
}

control_server::~control_server() = default;

protocol::result<void> control_server::listen(const transport::endpoint& address)
{
    return m_impl->server.listen(address.host, address.port);
}

std::uint16_t control_server::port() const
{
    return m_impl->server.port();
}

bool control_server::setFault(std::string_view instance, fault what)
{
    return m_impl->setFault(instance, what);
}

} // namespace jackdaw::upstream
