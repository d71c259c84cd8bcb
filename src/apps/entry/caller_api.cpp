// Callers' requests and their answers.
#include "apps/entry/caller_api.h"

#include "apps/entry/batch_channel.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <utility>

namespace jackdaw::entry {

using protocol::error_kind;
using protocol::job_answer;
using protocol::job_failure;
using protocol::job_request;
using protocol::submission_id;
using protocol::toText;
using transport::http_method;
using transport::http_request;
using transport::http_responder;
using transport::http_response;

namespace {

    constexpr std::string_view jobsPath = "/v1/jobs/";
    constexpr int statusAccepted = 202;

    http_response toResponse(const submission_id& submission, const job_answer& answer)
    {
        http_response response;
        response.status = protocol::httpStatus(answer);
        response.body = protocol::toJson(submission, answer);
        return response;
    }

    // 202: the job's answer is still to come.
    http_response toResponse(const submission_id& submission, std::string_view state)
    {
        http_response response;
        response.status = statusAccepted;
        response.body = nlohmann::json { { "submission", toText(submission) }, { "state", state } }.dump();
        return response;
    }

    // One caller's request on its way through the threads.
    struct caller_exchange {
        submission_id submission {};
        std::shared_ptr<http_responder> responder; // used on the callers' thread only
        job_service::ticket ticket; // used on the decision thread only
    };

    using exchange_ptr = std::shared_ptr<caller_exchange>;

    enum class caller_event {
        submit,
        submit_detached,
        fetch,
        cancel,
        gone
    };

    struct caller_message {
        caller_event event = caller_event::fetch;
        exchange_ptr exchange;
        job_request job; // only for submit and submit_detached
    };

    struct caller_reply {
        exchange_ptr exchange;
        answer_ptr answer; // null: the state is told instead
        std::string_view state; // a literal
    };

} // namespace

class caller_api::impl {
public:
    impl(transport::event_loop& callers, transport::event_loop& decisions, protocol::job_limits jobLimits, job_service& jobService, entry_counters& counterPage)
        : limits(jobLimits)
        , jobs(jobService)
        , counters(counterPage)
        , messages(callers, decisions, [this](std::vector<caller_message> batch) {
            for (caller_message& message : batch)
                handle(std::move(message));
        })
        , replies(decisions, callers, [this](const std::vector<caller_reply>& batch) {
            for (const caller_reply& reply : batch)
                send(reply);
        })
    {
    }

    // On the callers' thread.

    void receive(const http_request& request, std::shared_ptr<http_responder> responder)
    {
        constexpr std::uint64_t messagesPerExchange = 2;
        counters.countMessages(message_purpose::job, messagesPerExchange);
        const auto exchange = std::make_shared<caller_exchange>();
        exchange->responder = std::move(responder);
        if (!request.path.starts_with(jobsPath))
            return refuse(exchange, { error_kind::unknown_resource, "no such path", {} });
        const auto submission = protocol::parseSubmissionId(std::string_view(request.path).substr(jobsPath.size()));
        if (!submission)
            return refuse(exchange, { submission.error().kind(), submission.error().detail, {} });
        exchange->submission = submission.value();
        if (request.method == http_method::put)
            return receiveJob(request, exchange);
        if (request.method == http_method::get)
            return messages.send({ caller_event::fetch, exchange, {} });
        if (request.method == http_method::del)
            return messages.send({ caller_event::cancel, exchange, {} });
        refuse(exchange, { error_kind::malformed_request, "the method is none of PUT, GET, DELETE", {} });
    }

    void receiveJob(const http_request& request, const exchange_ptr& exchange)
    {
        auto job = protocol::parseJobRequest(exchange->submission, request.body, limits);
        if (!job)
            return refuse(exchange, { job.error().kind(), job.error().detail, {} });
        job.value().firstAttempt = request.header("First-Attempt") == "true";
        const bool isDetached = request.queryParameter("wait") == "0";
        if (!isDetached)
            watchCaller(exchange);
        messages.send({ isDetached ? caller_event::submit_detached : caller_event::submit, exchange, std::move(job.value()) });
    }

    void watchCaller(const exchange_ptr& exchange)
    {
        exchange->responder->onCallerGone([this, weak = std::weak_ptr<caller_exchange>(exchange)] {
            if (const exchange_ptr alive = weak.lock())
                messages.send({ caller_event::gone, alive, {} });
        });
    }

    void refuse(const exchange_ptr& exchange, job_failure failure)
    {
        const job_answer answer = std::move(failure);
        counters.countAnswer(answer);
        exchange->responder->reply(toResponse(exchange->submission, answer));
    }

    void send(const caller_reply& reply)
    {
        const caller_exchange& exchange = *reply.exchange;
        exchange.responder->reply(reply.answer ? toResponse(exchange.submission, *reply.answer) : toResponse(exchange.submission, reply.state));
    }

    // On the decision thread.

    void handle(caller_message message)
    {
        const exchange_ptr& exchange = message.exchange;
        switch (message.event) {
        case caller_event::submit:
            exchange->ticket = jobs.submit(std::move(message.job), false, 0, [this, exchange](const answer_ptr& answer) { replies.send({ exchange, answer, {} }); });
            break;
        case caller_event::submit_detached:
            submitDetached(exchange, std::move(message.job));
            break;
        case caller_event::fetch:
            replyState(exchange, "running");
            break;
        case caller_event::cancel:
            jobs.cancel(exchange->submission);
            replyState(exchange, "cancelling");
            break;
        case caller_event::gone:
            jobs.abandon(exchange->ticket);
            break;
        }
    }

    // Answers at once: with a refusal that is known already, else that the job runs.
    void submitDetached(const exchange_ptr& exchange, job_request job)
    {
        const auto early = std::make_shared<answer_ptr>();
        jobs.submit(std::move(job), true, 0, [early](const answer_ptr& answer) { *early = answer; });
        replies.send({ exchange, *early, "running" });
    }

    void replyState(const exchange_ptr& exchange, std::string_view stateWhenOpen)
    {
        const registry_view known = jobs.find(exchange->submission);
        if (known.state == registry_state::open)
            return replies.send({ exchange, nullptr, stateWhenOpen });
        if (known.state == registry_state::answered)
            return replies.send({ exchange, known.answer, {} });
        replies.send({ exchange, std::make_shared<const job_answer>(job_failure { error_kind::unknown_resource, {}, {} }), {} });
    }

    const protocol::job_limits limits;
    job_service& jobs;
    entry_counters& counters;
    batch_channel<caller_message> messages;
    batch_channel<caller_reply> replies;
};

caller_api::caller_api(transport::event_loop& callers, transport::event_loop& decisions, protocol::job_limits limits, job_service& jobs, entry_counters& counters)
    : m_impl(std::make_unique<impl>(callers, decisions, limits, jobs, counters))
{
}

caller_api::~caller_api() = default;

void caller_api::onRequest(const http_request& request, std::shared_ptr<http_responder> responder)
{
    m_impl->receive(request, std::move(responder));
}

} // namespace jackdaw::entry
