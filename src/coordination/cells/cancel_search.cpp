// Questions to the hosts of a zone, and their answers.
#include "coordination/cells/cancel_search.h"

#include "coordination/cells/answer_margin.h"

#include <algorithm>
#include <utility>

namespace jackdaw::cells {
namespace {

    constexpr duration resendInterval = std::chrono::milliseconds(200); // as for cancellations that an owner has not answered
    constexpr std::size_t maxSearches = 1000; // some 100 kB; more are answered as not found out

} // namespace

void cancel_search::begin(time_point now, std::string_view job, std::span<const std::string> hosts, time_point deadline, completion done)
{
    if (hosts.empty())
        return done(cancel_outcome::unknown_job);
    if (m_searches.size() >= maxSearches)
        return done(cancel_outcome::unanswered);
    const std::uint64_t number = ++m_lastNumber;
    open_search& search = m_searches[number];
    search = { std::string(job), { hosts.begin(), hosts.end() }, now, deadline - answerMargin, std::move(done) };
    ask(now, number, search);
}

void cancel_search::ask(time_point now, std::uint64_t number, open_search& search)
{
    search.askedAt = now;
    for (const std::string& host : search.unanswered)
        m_questions.push_back({ host, search.job, number });
}

void cancel_search::end(std::uint64_t number, cancel_outcome outcome)
{
    auto search = m_searches.extract(number);
    search.mapped().done(outcome);
}

void cancel_search::onAnswer(std::string_view host, std::uint64_t number, bool isCancelled)
{
    const auto found = m_searches.find(number);
    if (found == m_searches.end())
        return;
    if (isCancelled)
        return end(number, cancel_outcome::cancelled);
    std::erase_if(found->second.unanswered, [host](const std::string& asked) { return asked == host; });
    if (found->second.unanswered.empty())
        end(number, cancel_outcome::unknown_job);
}

void cancel_search::advance(time_point now, std::span<const std::string> hosts)
{
    std::vector<std::pair<std::uint64_t, cancel_outcome>> ended;
    for (auto& [number, search] : m_searches) {
        std::erase_if(search.unanswered, [hosts](const std::string& asked) { return std::find(hosts.begin(), hosts.end(), asked) == hosts.end(); });
        if (search.unanswered.empty())
            ended.emplace_back(number, cancel_outcome::unknown_job);
        else if (now >= search.answerBy)
            ended.emplace_back(number, cancel_outcome::unanswered);
        else if (now - search.askedAt >= resendInterval)
            ask(now, number, search);
    }
    for (const auto& [number, outcome] : ended)
        end(number, outcome);
}

void cancel_search::abandon()
{
    while (!m_searches.empty())
        end(m_searches.begin()->first, cancel_outcome::unanswered);
}

std::vector<cancel_search::question> cancel_search::takeQuestions()
{
    return std::exchange(m_questions, {});
}

} // namespace jackdaw::cells
