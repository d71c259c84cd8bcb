// Sends claims to the leader in batches, retries them, and answers them from the table. Group membership is handled in
// internal/claim_group.h.
#include "coordination/claim_service.h"

#include "coordination/claim_table.h"
#include "coordination/internal/claim_group.h"
#include "protocol/claim_codec.h"

#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>

namespace jackdaw::coordination {

using protocol::claim_answer;
using protocol::claim_batch;
using protocol::claim_command;
using protocol::claim_coordinator;
using protocol::claim_entry;
using protocol::claim_message;
using protocol::claim_outcome;
using protocol::claim_redirect;
using protocol::claim_reply;
using protocol::claim_request;
using protocol::submission_id;
using protocol::unix_milliseconds;

namespace {

    claim_verdict verdictOf(claim_outcome outcome)
    {
        switch (outcome) {
        case claim_outcome::granted:
            return claim_verdict::granted;
        case claim_outcome::held:
            return claim_verdict::held;
        case claim_outcome::mismatch:
            return claim_verdict::mismatch;
        case claim_outcome::too_old:
            return claim_verdict::too_old;
        case claim_outcome::from_future:
            return claim_verdict::from_future;
        }
        return claim_verdict::unavailable;
    }

    claim_group_settings groupSettings(const claim_service_settings& settings)
    {
        claim_group_settings group;
        group.host = settings.host;
        group.incarnation = settings.incarnation;
        group.seed = settings.seed;
        group.voters = settings.voters;
        group.maxLogBytes = settings.maxLogBytes;
        group.heartbeat = settings.heartbeat;
        group.minElectionTimeout = settings.minElectionTimeout;
        group.maxElectionTimeout = settings.maxElectionTimeout;
        return group;
    }

} // namespace

class claim_service::impl {
public:
    impl(claim_service_settings wantedSettings, claim_service_hooks wantedHooks, time_point start)
        : settings(std::move(wantedSettings))
        , hooks(std::move(wantedHooks))
        , self { settings.host, settings.incarnation }
        , now(start)
        , table(tableSettings())
        , group(groupSettings(settings), groupHooks(), start)
        , nextRetry(start)
    {
    }

    struct pending_claim {
        claim_entry entry;
        bool isFirstAttempt = false;
        bool wasSent = false; // was ever proposed here or sent to another host
        bool isWaiting = false; // for the answer to the claim sent at sentAt
        time_point sentAt;
    };

    struct claim_deadline {
        time_point at;
        submission_id submission;
        std::uint64_t attempt = 0;
    };

    const claim_service_settings settings;
    const claim_service_hooks hooks;
    const claim_coordinator self;
    time_point now; // time of the latest event
    claim_table table;
    claim_group group;
    std::unordered_map<submission_id, pending_claim> pending; // each has an entry in deadlines
    std::deque<claim_deadline> deadlines; // ascending; may include claims that are already answered
    std::vector<submission_id> unsent; // to be sent; may include claims that are already answered
    std::vector<claim_batch> proposals; // leader only: batches for the next command
    std::map<std::string, std::vector<claim_answer>> replies; // leader only: by the coordinator's host, for the next flush
    std::map<std::string, std::uint64_t> replyIncarnations; // incarnations of the coordinators in replies, by host
    std::optional<std::string> hintedLeader; // from the latest redirect
    std::optional<std::string> lastTarget; // host to which claims were last sent
    std::size_t nextVoter = 0; // voter to ask next while no leader is known
    time_point nextRetry;
    bool hasFollowedRedirect = false; // since the last retry
    std::uint64_t lastAttempt = 0;
    std::uint64_t malformedMessages = 0;

    claim_table_settings tableSettings() const { return { settings.retention, settings.clockMargin }; }

    claim_group_hooks groupHooks()
    {
        claim_group_hooks callbacks;
        callbacks.send = [this](const std::string& host, const claim_message& message) { send(host, message); };
        callbacks.apply = [this](const std::string& command) { apply(command); };
        callbacks.restore = [this](const std::string& snapshot) { restore(snapshot); };
        callbacks.reset = [this] { table = claim_table(tableSettings()); };
        callbacks.leaderElected = [this] { initializeTable(); };
        callbacks.snapshot = [this] { return table.snapshot(); };
        return callbacks;
    }

    void send(const std::string& host, const claim_message& message) { hooks.send(host, encode(message)); }

    // Coordinator side

    bool claim(const submission_id& submission, std::uint64_t bodyHash, bool isFirstAttempt)
    {
        if (const auto found = pending.find(submission); found != pending.end()) {
            if (found->second.entry.bodyHash == bodyHash)
                return false;
            hooks.result({ submission, bodyHash, claim_verdict::mismatch, self, false });
            return true;
        }
        const claim_entry entry { submission, ++lastAttempt, bodyHash };
        pending.emplace(submission, pending_claim { entry, isFirstAttempt, false, false, now });
        if (const auto known = table.find(self, entry)) {
            resolve(*known);
            return true;
        }
        deadlines.push_back({ now + settings.claimTimeout, submission, entry.attempt });
        unsent.push_back(submission);
        return true;
    }

    void resolve(const claim_answer& answer)
    {
        const auto found = pending.find(answer.submission);
        if (found == pending.end() || found->second.entry.attempt != answer.attempt)
            return;
        const claim_result result { answer.submission, found->second.entry.bodyHash, verdictOf(answer.outcome), answer.holder, false };
        pending.erase(found);
        hooks.result(result);
    }

    void expireClaims()
    {
        while (!deadlines.empty() && deadlines.front().at <= now) {
            const claim_deadline due = deadlines.front();
            deadlines.pop_front();
            const auto found = pending.find(due.submission);
            if (found == pending.end() || found->second.entry.attempt != due.attempt)
                continue;
            const bool isProvedUnclaimed = found->second.isFirstAttempt && !found->second.wasSent;
            const claim_result result { due.submission, found->second.entry.bodyHash, claim_verdict::unavailable, {}, isProvedUnclaimed };
            pending.erase(found);
            hooks.result(result);
        }
    }

    // Returns the host to send claims to: the known leader. Without one, a host outside the group uses the leader
    // named by a redirect, else the voters in turn.
    std::optional<std::string> target() const
    {
        if (auto leader = group.leaderHost())
            return leader;
        if (group.isMember() || settings.voters.empty())
            return std::nullopt;
        if (hintedLeader)
            return hintedLeader;
        const std::string& voter = settings.voters[nextVoter % settings.voters.size()];
        return voter == settings.host ? std::nullopt : std::optional(voter);
    }

    // Every retryInterval: allows another redirect, selects the next voter, and queues overdue claims for resending.
    void retry()
    {
        if (now < nextRetry)
            return;
        nextRetry = now + settings.retryInterval;
        hasFollowedRedirect = false;
        ++nextVoter;
        for (auto& [submission, claim] : pending) {
            if (claim.isWaiting && now - claim.sentAt >= settings.resendAfter)
                queueForResend(claim);
        }
    }

    void queueForResend(pending_claim& claim)
    {
        claim.isWaiting = false;
        unsent.push_back(claim.entry.submission);
    }

    // Queues all unanswered claims for resending if they were last sent to another host.
    void updateTarget(const std::string& host)
    {
        if (lastTarget != host) {
            for (auto& [submission, claim] : pending) {
                if (claim.isWaiting)
                    queueForResend(claim);
            }
        }
        lastTarget = host;
    }

    void flushClaims()
    {
        const auto host = target();
        if (!host)
            return;
        updateTarget(*host);
        claim_batch batch { self, {} };
        for (const submission_id& submission : std::exchange(unsent, {})) {
            const auto found = pending.find(submission);
            if (found == pending.end() || found->second.isWaiting)
                continue;
            found->second.isWaiting = true;
            found->second.wasSent = true;
            found->second.sentAt = now;
            batch.claims.push_back(found->second.entry);
            if (batch.claims.size() == settings.maxClaimsPerMessage)
                sendBatch(*host, std::exchange(batch, { self, {} }));
        }
        if (!batch.claims.empty())
            sendBatch(*host, std::move(batch));
    }

    void sendBatch(const std::string& host, claim_batch batch)
    {
        if (group.isLeader())
            proposals.push_back(std::move(batch));
        else
            send(host, claim_request { std::move(batch) });
    }

    // Leader side

    void initializeTable()
    {
        if (table.isInitialized())
            return;
        const unix_milliseconds time = hooks.unixNow();
        // One margin for client clocks ahead of the group's, one for this host's clock behind that of an earlier leader.
        group.propose(now, encode(claim_command { time, time + 2 * settings.clockMargin, {} }));
    }

    void flushProposals()
    {
        if (proposals.empty())
            return;
        group.propose(now, encode(claim_command { hooks.unixNow(), std::nullopt, std::exchange(proposals, {}) }));
    }

    void apply(const std::string& bytes)
    {
        const auto command = protocol::decodeClaimCommand(bytes);
        if (!command) {
            ++malformedMessages;
            return;
        }
        table.apply(command.value(), [this](const claim_coordinator& coordinator, const claim_answer& answer) {
            if (coordinator == self)
                resolve(answer);
            else if (group.isLeader())
                addReply(coordinator, answer);
        });
    }

    void addReply(const claim_coordinator& coordinator, const claim_answer& answer)
    {
        std::uint64_t& incarnation = replyIncarnations[coordinator.host];
        if (incarnation != coordinator.incarnation)
            replies[coordinator.host].clear(); // answers for an earlier incarnation, which no longer runs
        incarnation = coordinator.incarnation;
        replies[coordinator.host].push_back(answer);
    }

    void flushReplies()
    {
        for (auto& [host, answers] : std::exchange(replies, {})) {
            if (!answers.empty())
                send(host, claim_reply { replyIncarnations[host], std::move(answers) });
        }
        replyIncarnations.clear();
    }

    void restore(const std::string& snapshot)
    {
        if (!table.restore(snapshot))
            ++malformedMessages;
        std::vector<claim_answer> known;
        for (const auto& [submission, claim] : pending) {
            if (const auto answer = table.find(self, claim.entry))
                known.push_back(*answer);
        }
        for (const claim_answer& answer : known)
            resolve(answer);
    }

    // Messages

    void handle(const std::string& from, claim_request request)
    {
        if (!group.isLeader()) {
            send(from, claim_redirect { group.leaderHost().value_or(std::string()) });
            return;
        }
        const claim_coordinator coordinator = request.batch.coordinator;
        std::erase_if(request.batch.claims, [&](const claim_entry& claim) {
            const auto known = table.find(coordinator, claim);
            if (known)
                addReply(coordinator, *known);
            return known.has_value();
        });
        if (!request.batch.claims.empty())
            proposals.push_back(std::move(request.batch));
    }

    void handle(const std::string& /*from*/, const claim_reply& reply)
    {
        if (reply.incarnation != settings.incarnation)
            return;
        for (const claim_answer& answer : reply.answers)
            resolve(answer);
    }

    // Follows only the first redirect of a retry interval at once: two hosts that redirect to each other would otherwise
    // exchange messages without pause.
    void handle(const std::string& from, const claim_redirect& redirect)
    {
        hintedLeader.reset();
        if (!redirect.leaderHost.empty() && redirect.leaderHost != from && redirect.leaderHost != settings.host)
            hintedLeader = redirect.leaderHost;
        if (lastTarget != from)
            return;
        const bool isFollowed = hintedLeader && !std::exchange(hasFollowedRedirect, true);
        for (auto& [submission, claim] : pending) {
            if (claim.isWaiting && isFollowed)
                queueForResend(claim);
            else
                claim.sentAt = now - settings.resendAfter;
        }
    }

    template <typename Message>
    void handle(const std::string& from, const Message& message)
    {
        group.step(now, from, message);
    }

    void step(const std::string& from, std::string_view bytes)
    {
        auto message = protocol::decodeClaimMessage(bytes);
        if (!message) {
            ++malformedMessages;
            return;
        }
        std::visit([&](auto& body) { handle(from, std::move(body)); }, message.value());
    }

    void advance()
    {
        group.advance(now);
        if (!group.isLeader())
            proposals.clear(); // their coordinators resend the claims to the next leader
        expireClaims();
        retry();
        flushClaims();
        flushProposals();
        flushReplies();
    }

    bool hasWorkNow() const
    {
        return !proposals.empty() || !replies.empty() || (!unsent.empty() && target());
    }

    time_point nextTimer() const
    {
        if (hasWorkNow())
            return now;
        time_point next = group.nextTimer();
        if (!deadlines.empty())
            next = std::min(next, deadlines.front().at);
        return pending.empty() ? next : std::min(next, nextRetry);
    }
};

claim_service::claim_service(claim_service_settings settings, claim_service_hooks hooks, time_point now)
    : m_impl(std::make_unique<impl>(std::move(settings), std::move(hooks), now))
{
}

claim_service::~claim_service() = default;

bool claim_service::claim(time_point now, const submission_id& submission, std::uint64_t bodyHash, bool firstAttempt)
{
    m_impl->now = now;
    return m_impl->claim(submission, bodyHash, firstAttempt);
}

void claim_service::step(time_point now, const std::string& from, std::string_view bytes)
{
    m_impl->now = now;
    m_impl->step(from, bytes);
}

void claim_service::advance(time_point now)
{
    m_impl->now = now;
    m_impl->advance();
}

time_point claim_service::nextTimer() const
{
    return m_impl->nextTimer();
}

void claim_service::transferLeadership(time_point now)
{
    m_impl->now = now;
    m_impl->group.transferLeadership(now);
}

void claim_service::startLeaving(time_point now)
{
    m_impl->now = now;
    m_impl->group.startLeaving(now);
}

bool claim_service::hasLeft() const
{
    return m_impl->group.hasLeft();
}

claim_service_status claim_service::status() const
{
    const auto& generation = m_impl->group.generation();
    return { m_impl->group.isLeader(), m_impl->group.leaderHost(), generation ? generation->incarnation : 0, m_impl->table.size(),
        m_impl->pending.size(), m_impl->malformedMessages, m_impl->table.knownSince() };
}

} // namespace jackdaw::coordination
