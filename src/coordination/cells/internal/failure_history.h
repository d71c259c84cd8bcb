// Tasks whose runs were lost with upstreams that crashed or may have crashed.
//
// An upstream that stops answering may have crashed or may be cut off; it is known to have crashed once a later incarnation is
// heard, or nothing is heard from it for long. Until then its loss is unconfirmed.
//
// A crash counts against the tasks that ran there unless it had another cause: upstreams that none of them can have crashed fell
// silent at the same time, or the tasks may have ended before.
#pragma once

#include "protocol/time.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace jackdaw::cells::internal {

using protocol::time_point;

class failure_history {
public:
    // A task is given up once this many upstreams have crashed under it. Tasks beside it are expected to see one crash: from
    // then on they don't share an upstream with another suspect.
    static constexpr std::size_t crashesToGiveUp = 2;
    // So many other upstreams fell silent at the same time as one that crashed: there was a common cause. A single one may have been
    // crashed by another task.
    static constexpr std::size_t silentOthers = 2;
    // Upstreams with runs are polled without a pause, and each poll waits for as long: so far apart are losses noticed.
    static constexpr protocol::duration sameTime = std::chrono::milliseconds(300);

    // isLatest: none of the runs that were lost with it was started later, so it is the likeliest cause.
    void addLoss(time_point now, const std::string& task, const std::string& upstream, bool isLatest);

    // Crashes that an earlier owner counted.
    void addCrashes(time_point now, const std::string& task, std::size_t crashes);

    // The upstream no longer answers. tasks: those that ran there, and whether their lease may have expired before.
    void addSilence(time_point now, const std::string& upstream, const std::map<std::string, bool>& tasks);

    struct confirmed_losses {
        std::set<std::string, std::less<>> counted;
        std::set<std::string, std::less<>> excused; // the crash had another cause
    };
    // The upstream has crashed. Returns the tasks that were lost with it.
    confirmed_losses confirm(time_point now, std::string_view upstream);
    // The upstream has not crashed. Returns the tasks that were lost on it.
    std::set<std::string, std::less<>> dismiss(std::string_view upstream);

    std::size_t crashes(std::string_view task) const;
    // Whether the task may have crashed an upstream.
    bool isSuspect(std::string_view task) const;
    // Whether the task must not start again before its unconfirmed losses are decided: it is the likeliest cause of one of them,
    // or would be given up if they are confirmed.
    bool isUndecided(std::string_view task) const;
    bool isEmpty() const { return m_tasks.empty(); }

    // Removes the tasks whose names begin with the prefix.
    void forget(std::string_view prefix);
    void removeExpired(time_point now);

private:
    struct task_history {
        std::size_t crashes = 0;
        std::size_t unconfirmed = 0; // entries in m_lostOn
        std::size_t unconfirmedLatest = 0; // those of them with isLatest
        time_point until;
    };
    struct silence {
        time_point since;
        std::set<std::string, std::less<>> jobs; // whose tasks ran there
        std::set<std::string, std::less<>> endedTasks; // their lease may have expired before
        bool hadSuspects = false;
    };
    using task_map = std::map<std::string, task_history, std::less<>>;

    const task_history* find(std::string_view task) const;
    task_map::iterator erase(task_map::iterator item);
    bool hadOtherCause(std::string_view upstream, std::string_view task) const;

    task_map m_tasks;
    std::map<std::string, std::map<std::string, bool, std::less<>>, std::less<>> m_lostOn; // unconfirmed: isLatest by upstream and task
    std::map<std::string, silence, std::less<>> m_silences; // the last one of each upstream
};

} // namespace jackdaw::cells::internal
