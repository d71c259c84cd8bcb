// Performs requested actions: calls to upstreams, messages to other hosts, answers to callers.
#include "apps/cell_host/internal/cell_host_impl.h"

#include "state/log.h"

namespace jackdaw::cell_host {

using protocol::cell_message;
using protocol::steadyNow;
using state::log_level;
using state::logEvent;

void cell_host::impl::performActions()
{
    if (isPerformingActions)
        return;
    isPerformingActions = true;
    while (performDispatcherActions() || performRouterActions()) { }
    isPerformingActions = false;
}

bool cell_host::impl::performDispatcherActions()
{
    bool anyPerformed = false;
    const auto copies = dispatchers; // an action may change the map
    for (const auto& [cell, dispatcher] : copies) {
        for (const cells::cell_action& action : dispatcher->takeActions()) {
            perform(dispatcher, action);
            anyPerformed = true;
        }
    }
    return anyPerformed;
}

bool cell_host::impl::performRouterActions()
{
    for (const cells::cancel_search::question& question : cancelSearch.takeQuestions())
        sendTo(question.host, protocol::job_cancel { question.job, question.number });
    const std::vector<cells::router_action> actions = jobRouter.takeActions();
    for (const cells::router_action& action : actions)
        perform(action);
    return !actions.empty();
}

void cell_host::impl::perform(const std::shared_ptr<cells::cell_dispatcher>& dispatcher, const cells::cell_action& action)
{
    // Passes the answer to the dispatcher that sent the order, unless the cell was released in the meantime.
    const auto forwardAnswer = [this, &dispatcher](std::string_view purpose, const auto& order, auto onAnswer) {
        return [this, weak = std::weak_ptr(dispatcher), purpose, order, onAnswer](const auto& answer) {
            countCall(purpose, cells::callOf(answer));
            const auto locked = weak.lock();
            if (!locked)
                return;
            ((*locked).*onAnswer)(steadyNow(), order, answer);
            performActions();
        };
    };
    if (const auto* start = std::get_if<cells::start_request>(&action)) {
        metrics.starts.add();
        hooks.upstreams.start(*start, forwardAnswer("start", *start, &cells::cell_dispatcher::onStart));
    } else if (const auto* stop = std::get_if<cells::stop_request>(&action)) {
        hooks.upstreams.stop(*stop, forwardAnswer("stop", *stop, &cells::cell_dispatcher::onStop));
    } else if (const auto* poll = std::get_if<cells::poll_request>(&action)) {
        hooks.upstreams.poll(*poll, forwardAnswer("poll", *poll, &cells::cell_dispatcher::onPoll));
    } else {
        answerOrigins(std::get<cells::owner_answer>(action));
    }
}

void cell_host::impl::countCall(std::string_view purpose, const cells::call_answer& answer)
{
    traffic.add(apps::traffic_direction::sent, apps::peer_role::upstream, purpose, answer.sentBytes);
    if (answer.receivedBytes > 0)
        traffic.add(apps::traffic_direction::received, apps::peer_role::upstream, purpose, answer.receivedBytes);
    if (answer.isOnNewConnection)
        metrics.newConnections.add();
}

void cell_host::impl::perform(const cells::router_action& action)
{
    if (const auto* send = std::get_if<cells::forward_job>(&action)) {
        const protocol::job_order& order = send->order;
        logEvent(log_level::info, "job_sent_to_owner", { { "subject", order.id }, { "cell", order.cell }, { "owner", send->host }, { "token", std::to_string(order.fencingToken) }, { "hand_over", std::to_string(order.handOverCount) }, { "age_ms", std::to_string(order.ageMs) }, { "time_left_ms", std::to_string(order.timeLeftMs) } });
        if (send->host == settings.host)
            onJobOrder(send->order, settings.host);
        else
            sendTo(send->host, send->order);
        return;
    }
    if (const auto* cancel = std::get_if<cells::forward_cancel>(&action)) {
        if (cancel->host != settings.host)
            return sendTo(cancel->host, protocol::job_cancel { cancel->job, cancel->submissionNumber });
        return onJobCancel({ cancel->job, cancel->submissionNumber }, settings.host);
    }
    const auto& answer = std::get<cells::answer_callers>(action);
    for (const cells::caller_id caller : answer.callers) {
        if (auto completion = completions.extract(caller); !completion.empty()) {
            metrics.countAnswer(answer.answer.outcome, steadyNow() - completion.mapped().since);
            completion.mapped().done(answer.answer);
        }
    }
}

void cell_host::impl::answerOrigins(const cells::owner_answer& answer)
{
    for (const std::string& host : answer.origins) {
        if (host == settings.host)
            jobRouter.onAnswer(steadyNow(), host, answer.answer);
        else
            sendTo(host, answer.answer);
    }
}

} // namespace jackdaw::cell_host
