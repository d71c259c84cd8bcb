// Simulates a cell's upstreams under a fake clock: tasks take their run times, calls take 1 ms each way, and upstreams have the
// faults that the dispatcher must tolerate. Counts overcommitted upstreams and tasks with two runs at the same time.
#pragma once

#include "coordination/cells/cell_dispatcher.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace jackdaw::cells::tests {

enum class upstream_fault {
    none,
    silent, // drops all calls and sends no reports
    answers_lost, // carries calls out, but the answers are lost
    stops_lost, // stops don't arrive, all other calls do
    failing, // ends every run as failed, after a millisecond
    hung_tasks, // runs never end
    delayed_calls, // a share of the calls is unanswered and carried out seconds later, also by the next life of the upstream
    cut_one_way, // calls on open connections are carried out, their answers are lost, and no connection can be opened
    unreachable, // no connection to it can be opened, calls on open connections are lost, and no reports arrive
    crashed // all runs are gone, and connections are refused
};

struct sim_task_run {
    run_id run;
    std::int64_t needMillicores = 0;
    time_point end;
    std::uint64_t number = 0; // identifies the run in its end event
};

struct sim_upstream {
    std::string id;
    protocol::resource_vector capacity;
    double slowness = 1;
    upstream_fault fault = upstream_fault::none;
    std::int64_t bornUnixMs = 1000;
    std::uint64_t reports = 0;
    std::uint64_t token = 0;
    bool isLeaving = false;
    bool areReportsLost = false;
    std::uint32_t coldLeftMs = 0; // in its reports; does not change its run times
    std::vector<std::string> labels;
    std::vector<sim_task_run> running;
    std::vector<ended_task> ended;
    std::uint64_t ends = 0;
    std::map<std::string, std::uint32_t> lastStopped; // runs of the task up to this number are refused
    std::int64_t leaseMs = 0; // on its clock; all runs end with it
    time_point clockStart; // its clock begins anew with each life
};

// Calls to upstreams with delayed_calls that may be carried out late.
struct delayed_calls {
    bool areStartsDelayed = true;
    bool areStopsDelayed = true;
    bool arePollsDelayed = true;
};

struct sim_outcome {
    protocol::order_answer answer;
    duration took {};
    bool isInTime = false; // completed within its objective
};

class cell_simulation {
public:
    explicit cell_simulation(std::uint64_t seed);

    sim_upstream& addUpstream(const std::string& id, std::int64_t millicores, double slowness = 1);

    // Adds an owner with a higher token. The previous owner continues until it is released.
    // unreachable: an upstream that it is cut off from; empty: none.
    std::size_t addOwner(bool isEarlierOwnerLost = false, const std::string& unreachable = {});
    // Adds the owner of one cell of a divided zone, to which only the given upstreams belong.
    std::size_t addCellOwner(const std::set<std::string>& upstreams, std::uint32_t zoneCellCount, bool isEarlierOwnerLost = false);
    std::uint64_t tokenOf(std::size_t owner) const { return m_owners[owner].token; }
    cell_dispatcher& owner(std::size_t number) { return *m_owners[number].dispatcher; }
    // The zone's evacuation begins, or ends if startsUntil is empty.
    void setEvacuation(std::size_t number, std::optional<time_point> startsUntil);
    void setEvacuationTarget(const std::string& cell) { m_evacuationTarget = cell; } // empty: no zone takes jobs
    void setOwnerCut(std::size_t number, bool isCut) { m_owners[number].isCut = isCut; }
    void cutFrom(std::size_t number, const std::string& upstream) { m_owners[number].unreachable.insert(upstream); }
    // The owner's process ends.
    void killOwner(std::size_t number);
    // The owner's host stands still until it is thawed. It then reads what has arrived meanwhile, in that order.
    void freezeOwner(std::size_t number) { m_owners[number].isFrozen = true; }
    void thawOwner(std::size_t number);

    // Every owner hears live origins every 150 ms, as soon as they have submitted a job.
    void setOriginLost(const std::string& origin, bool isLost = true) { m_origins[origin].isLost = isLost; }

    // Each task of the job runs for runMs on an upstream of slowness 1.
    protocol::job_order makeJob(const std::string& id, std::uint32_t tasks, std::int64_t millicores, std::uint32_t runMs, std::uint32_t priority = 0) const;
    // runMs: actual run time of the tasks; 0: as declared.
    void submit(std::size_t owner, const protocol::job_order& job, std::uint32_t runMs = 0, const std::string& origin = "host");

    void runFor(duration length);
    time_point now() const { return m_now; }

    sim_upstream& upstream(const std::string& id) { return m_upstreams.at(id); }
    void letLateLeasesBeginOnArrival() { m_lateLeasesBeginOnArrival = true; }
    // CPU time of each owner for a task: a third each for the start, for reading its answer and for reading the task's end, and
    // another third to read a job. Input is read in turn, one after the other. 0: no bound.
    void setOwnerCost(duration perTask) { m_ownerCost = perTask; }
    // Bounds what each owner can send; calls then wait in turn. 0: no bound.
    void setLinkRate(double bytesPerSecond) { m_linkRate = bytesPerSecond; }
    void setDelayedShare(double share) { m_delayedShare = share; } // of the calls to upstreams with delayed_calls
    void setDelayedCalls(delayed_calls calls) { m_delayedCalls = calls; }

    // The next report of the upstream, whose address is its id; and the arrival of a report, also of one from another writer.
    protocol::upstream_report makeReport(const std::string& id, std::uint64_t sequence) const;
    void receiveReport(std::size_t owner, const protocol::upstream_report& report);

    void crash(const std::string& id); // until restart(), which keeps the id
    void restart(const std::string& id);
    // Each run of the task crashes its upstream after 100 ms. The upstream restarts 3 s later.
    void addCrashingTask(const std::string& task) { m_crashingTasks.insert(task); }

    const std::map<std::string, sim_outcome>& outcomes() const { return m_outcomes; }
    std::size_t runsOf(const std::string& task) const; // how often it was started
    std::size_t runningTasksOf(const std::string& job) const; // at present, on all upstreams
    std::size_t startsOn(const std::string& upstream) const;
    std::size_t crashesUnder(const std::string& task) const; // crashes of upstreams that ran it
    std::size_t crashes() const { return m_crashes; }
    std::size_t stops() const { return m_stops; } // sent by all owners
    std::size_t newConnections() const { return m_newConnections; } // that owners asked for
    std::size_t starts() const { return m_runNumber; } // carried out by upstreams
    std::size_t doubleRuns() const { return m_doubleRuns; } // starts of a task that was already running
    std::size_t overfills() const { return m_overfills; }
    std::mt19937_64& random() { return m_random; }

private:
    using call_number = std::uint64_t;
    using late_call = std::function<void(duration delay)>;
    struct sim_owner {
        std::unique_ptr<cell_dispatcher> dispatcher;
        std::uint64_t token = 0;
        bool isCut = false; // from all upstreams
        bool isKilled = false;
        bool isFrozen = false;
        std::vector<std::function<void()>> unread; // input that has arrived while it is frozen
        std::set<std::string> unreachable; // upstreams that the owner is cut off from
        std::optional<std::set<std::string>> cell; // upstreams that belong to its cell; absent: all
        struct costly_input {
            duration cost {};
            std::function<void()> work;
        };
        std::deque<costly_input> queue; // input that waits for the owner's CPU
        bool isReading = false; // an event for the head of the queue is scheduled
        time_point busyUntil;
        time_point linkFreeAt; // when all bytes in its link's queue are sent
        time_point nextAdvance;
    };
    struct sim_origin {
        bool isLost = false;
    };
    struct due_event {
        time_point at;
        std::uint64_t number = 0;
        std::function<void()> work;
        bool operator<(const due_event& other) const { return std::tie(other.at, other.number) < std::tie(at, number); }
    };
    struct open_poll {
        std::size_t owner = 0;
        call_number number = 0;
        poll_request order;
        time_point until;
    };

    std::size_t add(sim_owner owner, bool isEarlierOwnerLost, std::uint32_t zoneCellCount);
    void schedule(duration delay, std::function<void()> work);
    void report(sim_upstream& upstream);
    void sendHeartbeats();
    void endSilentOrigins();
    std::int64_t lateLeaseEnd(std::int64_t expiresAtMs, duration delay) const;
    // tasks: that the input concerns, in thirds of the owner's cost for a task.
    void deliver(std::size_t owner, std::function<void()> input, std::size_t tasks = 0);
    void read(std::size_t owner, std::function<void()> input);
    void readNext(std::size_t owner);
    void processActions(std::size_t owner);
    void perform(std::size_t owner, const cell_action& action);
    // Sends a call over the owner's link. arrive runs when it has arrived; timeOut when it has not been answered in time.
    void send(std::size_t owner, std::size_t bytes, duration timeout, std::function<void(call_number number)> arrive, std::function<void()> timeOut);
    void arriveStart(std::size_t owner, const start_request& order, call_number number);
    void arriveStop(std::size_t owner, const stop_request& order, call_number number);
    void arrivePoll(std::size_t owner, const poll_request& order, call_number number);
    void answerPolls(sim_upstream& upstream, bool isOver);
    void answerPoll(const open_poll& poll, sim_upstream& upstream, call_outcome outcome);
    void begin(sim_upstream& upstream, const start_request& order);
    void end(sim_upstream& upstream, std::uint64_t number, end_kind how);
    bool isCutOff(std::size_t owner, const sim_upstream& upstream) const;
    void crashByTask(const std::string& id, std::uint64_t number);
    call_outcome check(sim_upstream& upstream, std::uint64_t token) const;
    bool isDelayed(const sim_upstream& upstream, const late_call& later);
    // Returns the outcome that the owner sees of a call that does not arrive in time; empty if it arrives. later carries out a
    // delayed call; it is empty if calls of this kind are never delayed.
    std::optional<call_outcome> loseCall(std::size_t owner, const sim_upstream& upstream, bool isNewConnection, const late_call& later);
    // Whether the run, or a later run of its task, has ended or was stopped on the upstream.
    static bool isStopped(const sim_upstream& upstream, const run_id& run);
    void carryOutStart(sim_upstream& upstream, start_request order, duration delay);
    void carryOutStop(sim_upstream& upstream, const stop_request& order);
    void carryOutPoll(sim_upstream& upstream, const poll_request& order);
    void extendLease(sim_upstream& upstream, std::int64_t expiresAtMs);
    void endLease(sim_upstream& upstream);
    void answerCall(std::size_t owner, call_number number, sim_upstream& upstream, std::function<void(const call_answer&)> onAnswer, call_outcome outcome, bool isPoll = false, std::size_t tasks = 1);
    std::int64_t clockOf(const sim_upstream& upstream) const;

    std::mt19937_64 m_random;
    time_point m_now { std::chrono::seconds(100) };
    std::map<std::string, sim_upstream> m_upstreams;
    std::vector<sim_owner> m_owners;
    std::priority_queue<due_event> m_events;
    std::map<std::string, std::vector<open_poll>> m_polls;
    std::uint64_t m_eventNumber = 0;
    double m_linkRate = 0;
    duration m_ownerCost {};
    call_number m_lastCall = 0;
    std::set<call_number> m_openCalls; // neither answered nor timed out
    std::size_t m_stops = 0;
    std::size_t m_newConnections = 0;
    std::uint64_t m_runNumber = 0;
    std::map<std::string, std::uint32_t> m_runMs; // by job
    std::map<std::string, time_point> m_submittedAt;
    std::map<std::string, duration> m_objectives;
    std::map<std::string, std::int64_t> m_needs;
    std::map<std::string, sim_outcome> m_outcomes;
    std::map<std::string, std::size_t> m_runs;
    std::map<std::string, std::size_t> m_starts;
    std::map<std::string, sim_origin> m_origins;
    double m_delayedShare = 0.05;
    delayed_calls m_delayedCalls;
    bool m_lateLeasesBeginOnArrival = false;
    std::string m_evacuationTarget;
    std::set<std::string> m_crashingTasks;
    std::map<std::string, std::size_t> m_crashesUnder;
    std::size_t m_crashes = 0;
    std::size_t m_doubleRuns = 0;
    std::size_t m_overfills = 0;
};

} // namespace jackdaw::cells::tests
