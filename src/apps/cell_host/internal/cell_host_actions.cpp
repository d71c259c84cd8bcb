// Carries out what the decisions ask for: calls to upstreams, messages to hosts, answers to callers.
#include "apps/cell_host/internal/cell_host_impl.h"

#include "state/log.h"

namespace jackdaw::cell_host {

using protocol::cell_message;
using protocol::steadyNow;
using state::log_level;
using state::logEvent;

void cell_host::impl::pump()
{
    if (isPumping)
        return;
    isPumping = true;
    while (pumpDispatchers() || pumpDesk()) { }
    isPumping = false;
}

bool cell_host::impl::pumpDispatchers()
{
    bool didAny = false;
    const auto copies = dispatchers; // an action may change the map
    for (const auto& [cell, dispatcher] : copies) {
        for (const cells::cell_action& action : dispatcher->takeActions()) {
            perform(dispatcher, action);
            didAny = true;
        }
    }
    return didAny;
}

bool cell_host::impl::pumpDesk()
{
    const std::vector<cells::desk_action> actions = desk.takeActions();
    for (const cells::desk_action& action : actions)
        perform(action);
    return !actions.empty();
}

void cell_host::impl::perform(const std::shared_ptr<cells::cell_dispatcher>& dispatcher, const cells::cell_action& action)
{
    // Hands the answer to the dispatcher that sent the order, unless the cell was given up meanwhile.
    const auto relay = [this, &dispatcher](const auto& order, auto onAnswer) {
        return [this, weak = std::weak_ptr(dispatcher), order, onAnswer](const auto& answer) {
            const auto held = weak.lock();
            if (!held)
                return;
            ((*held).*onAnswer)(steadyNow(), order, answer);
            pump();
        };
    };
    if (const auto* start = std::get_if<cells::start_order>(&action)) {
        metrics.starts.add();
        hooks.upstreams.start(*start, relay(*start, &cells::cell_dispatcher::onStart));
    } else if (const auto* stop = std::get_if<cells::stop_order>(&action)) {
        hooks.upstreams.stop(*stop, relay(*stop, &cells::cell_dispatcher::onStop));
    } else if (const auto* look = std::get_if<cells::look_order>(&action)) {
        hooks.upstreams.look(*look, relay(*look, &cells::cell_dispatcher::onLook));
    } else {
        answerDesks(std::get<cells::owner_answer>(action));
    }
}

void cell_host::impl::perform(const cells::desk_action& action)
{
    if (const auto* send = std::get_if<cells::send_order>(&action)) {
        const protocol::job_order& order = send->order;
        logEvent(log_level::info, "job_handed", { { "subject", order.id }, { "cell", order.cell }, { "owner", send->host }, { "token", std::to_string(order.fencingToken) }, { "hand_over", std::to_string(order.handOverCount) }, { "age_ms", std::to_string(order.ageMs) }, { "time_left_ms", std::to_string(order.timeLeftMs) } });
        if (send->host == settings.host)
            onOrder(send->order, settings.host);
        else
            sendTo(send->host, send->order);
        return;
    }
    if (const auto* cancel = std::get_if<cells::send_cancel>(&action)) {
        if (cancel->host != settings.host)
            return sendTo(cancel->host, protocol::job_cancel { cancel->job });
        for (const auto& [cell, dispatcher] : dispatchers)
            dispatcher->cancel(steadyNow(), cancel->job, settings.host);
        return;
    }
    const auto& answer = std::get<cells::answer_callers>(action);
    for (const cells::caller_number caller : answer.callers) {
        if (auto completion = completions.extract(caller); !completion.empty()) {
            metrics.countAnswer(answer.answer.outcome, steadyNow() - completion.mapped().since);
            completion.mapped().done(answer.answer);
        }
    }
}

void cell_host::impl::answerDesks(const cells::owner_answer& answer)
{
    for (const std::string& host : answer.desks) {
        if (host == settings.host)
            desk.onAnswer(steadyNow(), host, answer.answer);
        else
            sendTo(host, answer.answer);
    }
}

} // namespace jackdaw::cell_host
