// Binding of the verbs to Lua. A C++ exception becomes a Lua error with its text.
#include "tests/scenarios/runner/scenario_verbs.h"

#include "tests/scenarios/runner/lua_table.h"

#include <csignal>
#include <stdexcept>

namespace jackdaw::scenarios {
namespace {

    using nlohmann::json;
    using transport::http_method;

    using verb = int (*)(lua_State* lua, scenario& target);

    scenario& targetOf(lua_State* lua)
    {
        return *static_cast<scenario*>(lua_touserdata(lua, lua_upvalueindex(1)));
    }

    // Lua errors must not jump over C++ destructors: the text is copied and the exception ended before the jump.
    template <verb Verb>
    int guarded(lua_State* lua)
    {
        try {
            return Verb(lua, targetOf(lua));
        } catch (const std::exception& failure) {
            lua_pushstring(lua, failure.what());
        }
        return lua_error(lua);
    }

    std::string argument(lua_State* lua, int index)
    {
        if (lua_isstring(lua, index) == 0)
            throw std::runtime_error("argument " + std::to_string(index) + " is not a string");
        return lua_tostring(lua, index);
    }

    int pushAnswer(lua_State* lua, const transport::http_result& result)
    {
        json document = json::parse(result.response.body, nullptr, false);
        if (!document.is_object())
            document = json::object();
        document["status"] = result.outcome == transport::request_outcome::answered ? result.response.status : 0;
        pushJson(lua, document);
        return 1;
    }

    // hosts{ zones = { "a", "b" }, a = { "a1", "a2" }, b = { "b1" }, relays = true }
    int hosts(lua_State* lua, scenario& target)
    {
        const lua_table options(lua, 1);
        std::vector<tests::zone_hosts> zones;
        for (const std::string& zone : options.texts("zones"))
            zones.push_back({ zone, options.texts(zone.c_str()) });
        target.createHosts(zones, options.boolean("relays", false));
        std::vector<std::string> names;
        for (const tests::zone_hosts& zone : zones)
            names.insert(names.end(), zone.hosts.begin(), zone.hosts.end());
        target.processes().startHosts(names);
        return 0;
    }

    int start(lua_State* lua, scenario& target)
    {
        target.processes().startHosts({ argument(lua, 1) });
        return 0;
    }

    template <int SignalNumber>
    int sendSignal(lua_State* lua, scenario& target)
    {
        target.processes().host(argument(lua, 1)).signal(SignalNumber);
        return 0;
    }

    // Kills a host and waits until it is gone.
    int killHost(lua_State* lua, scenario& target)
    {
        tests::child_process& host = target.processes().host(argument(lua, 1));
        host.signal(SIGKILL);
        target.processes().waitUntil([&] { return host.exitCode().has_value(); }, "a killed host is gone");
        return 0;
    }

    // The exit code of a host that has ended, else nil.
    int exitCode(lua_State* lua, scenario& target)
    {
        const auto code = target.processes().host(argument(lua, 1)).exitCode();
        pushJson(lua, code ? json(*code) : json());
        return 1;
    }

    // upstreams{ zone = "a", instances = 2, announce = "a1", known_by = { "a1", "a2" } }
    int upstreams(lua_State* lua, scenario& target)
    {
        const lua_table options(lua, 1);
        target.processes().startUpstreams(options.text("zone", "a"), static_cast<std::size_t>(options.integer("instances", 1)),
            options.text("announce", ""), options.texts("known_by"));
        return 0;
    }

    // fault(zone, instance, mode [, factor])
    int fault(lua_State* lua, scenario& target)
    {
        target.processes().setFault(argument(lua, 1), argument(lua, 2), argument(lua, 3), luaL_optnumber(lua, 4, 1));
        return 0;
    }

    template <bool IsCut>
    int setCut(lua_State* lua, scenario& target)
    {
        target.setCut(argument(lua, 1), argument(lua, 2), IsCut);
        return 0;
    }

    template <bool IsCut>
    int setZonesCut(lua_State* lua, scenario& target)
    {
        target.setZonesCut(argument(lua, 1), argument(lua, 2), IsCut);
        return 0;
    }

    int silence(lua_State* lua, scenario& target)
    {
        target.silence(argument(lua, 1), argument(lua, 2));
        return 0;
    }

    int newSubmission(lua_State* lua, scenario& target)
    {
        lua_pushstring(lua, protocol::toText(target.processes().newSubmission()).c_str());
        return 1;
    }

    protocol::submission_id submissionArgument(const std::string& text)
    {
        const auto parsed = protocol::parseSubmissionId(text);
        if (!parsed)
            throw std::runtime_error(parsed.error().detail);
        return parsed.value();
    }

    // submit{ host = "a1", id = id, tasks = 1, work_ms = 1, ... } returns the number of the answer to come.
    int submit(lua_State* lua, scenario& target)
    {
        const lua_table options(lua, 1);
        tests::job_options job;
        job.tasks = static_cast<std::size_t>(options.integer("tasks", 1));
        job.workMs = static_cast<int>(options.integer("work_ms", 1));
        job.zone = options.text("zone", "");
        job.isFirstAttempt = options.boolean("first_attempt", false);
        job.isDetached = options.boolean("detached", false);
        job.isIdempotent = options.boolean("idempotent", false);
        job.deadlineMs = static_cast<int>(options.integer("deadline_ms", job.deadlineMs));
        const auto submission = submissionArgument(options.text("id", ""));
        auto answer = target.processes().submit(options.text("host", ""), submission, job);
        lua_pushinteger(lua, static_cast<lua_Integer>(target.keep(std::move(answer))));
        return 1;
    }

    // Waits for an answer: the JSON document with the HTTP status as member "status" (0: no answer).
    int answer(lua_State* lua, scenario& target)
    {
        const auto number = static_cast<std::size_t>(luaL_checkinteger(lua, 1));
        return pushAnswer(lua, target.processes().wait(target.kept(number)));
    }

    int isAnswered(lua_State* lua, scenario& target)
    {
        const auto number = static_cast<std::size_t>(luaL_checkinteger(lua, 1));
        lua_pushboolean(lua, target.kept(number)->has_value() ? 1 : 0);
        return 1;
    }

    int callJob(lua_State* lua, scenario& target, http_method method)
    {
        tests::cluster& processes = target.processes();
        const auto call = processes.call(processes.callerPort(argument(lua, 1)), method, "/v1/jobs/" + argument(lua, 2));
        return pushAnswer(lua, processes.wait(call));
    }

    int fetch(lua_State* lua, scenario& target) { return callJob(lua, target, http_method::get); }
    int cancel(lua_State* lua, scenario& target) { return callJob(lua, target, http_method::del); }

    int dropCallers(lua_State*, scenario& target)
    {
        target.processes().dropCallers();
        return 0;
    }

    int stats(lua_State* lua, scenario& target)
    {
        pushJson(lua, target.processes().upstreamStats(argument(lua, 1)));
        return 1;
    }

    int status(lua_State* lua, scenario& target)
    {
        pushJson(lua, target.processes().status(argument(lua, 1)));
        return 1;
    }

    // Lets the processes go on for some milliseconds; for holding a state, never for hoping that one is reached.
    int hold(lua_State* lua, scenario& target)
    {
        const auto until = protocol::steadyNow() + std::chrono::milliseconds(luaL_checkinteger(lua, 1));
        target.processes().waitUntil([until] { return protocol::steadyNow() >= until; }, "the time is over");
        return 0;
    }

    // eventually(text, condition): calls the condition until it yields true; fails after a generous limit.
    int eventually(lua_State* lua, scenario& target)
    {
        const std::string what = argument(lua, 1);
        target.processes().waitUntil([lua] {
            lua_pushvalue(lua, 2);
            if (lua_pcall(lua, 0, 1, 0) != LUA_OK)
                throw std::runtime_error(lua_tostring(lua, -1));
            const bool holds = lua_toboolean(lua, -1) != 0;
            lua_pop(lua, 1);
            return holds;
        },
            what);
        return 0;
    }

    template <verb Verb>
    void add(lua_State* lua, scenario& target, const char* name)
    {
        lua_pushlightuserdata(lua, &target);
        lua_pushcclosure(lua, &guarded<Verb>, 1);
        lua_setglobal(lua, name);
    }

} // namespace

void registerVerbs(lua_State* lua, scenario& target)
{
    add<&hosts>(lua, target, "hosts");
    add<&start>(lua, target, "start");
    add<&killHost>(lua, target, "kill");
    add<&sendSignal<SIGTERM>>(lua, target, "stop");
    add<&sendSignal<SIGSTOP>>(lua, target, "freeze");
    add<&sendSignal<SIGCONT>>(lua, target, "thaw");
    add<&exitCode>(lua, target, "exit_code");
    add<&upstreams>(lua, target, "upstreams");
    add<&fault>(lua, target, "fault");
    add<&setCut<true>>(lua, target, "cut");
    add<&setCut<false>>(lua, target, "heal");
    add<&setZonesCut<true>>(lua, target, "cut_zones");
    add<&setZonesCut<false>>(lua, target, "heal_zones");
    add<&silence>(lua, target, "silence");
    add<&newSubmission>(lua, target, "new_submission");
    add<&submit>(lua, target, "submit");
    add<&answer>(lua, target, "answer");
    add<&isAnswered>(lua, target, "is_answered");
    add<&fetch>(lua, target, "fetch");
    add<&cancel>(lua, target, "cancel");
    add<&dropCallers>(lua, target, "drop_callers");
    add<&stats>(lua, target, "stats");
    add<&status>(lua, target, "status");
    add<&hold>(lua, target, "hold");
    add<&eventually>(lua, target, "eventually");
}

} // namespace jackdaw::scenarios
