// Entry hosts and stand-in upstreams as real processes on loopback, for tests.
#pragma once

#include "apps/entry/tests/processes/child_process.h"
#include "protocol/submission_id.h"
#include "transport/event_loop.h"
#include "transport/http_client.h"
#include "transport/tests/tcp_relay.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace jackdaw::tests {

struct job_options {
    std::size_t tasks = 1;
    int workMs = 1; // of each task
    std::string zone {};
    bool isFirstAttempt = false;
    bool isDetached = false;
    bool isIdempotent = false;
    int deadlineMs = 60000;
};

struct zone_hosts {
    std::string zone;
    std::vector<std::string> hosts;
};

// An answer that may still be on its way.
using pending_answer = std::shared_ptr<std::optional<transport::http_result>>;

class cluster {
public:
    // The hosts are not started yet.
    cluster(std::initializer_list<zone_hosts> zones);
    explicit cluster(std::span<const zone_hosts> zones);
    ~cluster();

    // Starts hosts, again if they ran before, and waits until they are ready.
    void startHosts(const std::vector<std::string>& hosts);
    bool isReady(const std::string& host);
    child_process& host(const std::string& host);

    // Starts that many stand-in upstreams in a zone, which announce themselves to one host, and waits until each of the
    // hosts knows them.
    void startUpstreams(const std::string& zone, std::size_t instances, const std::string& announceTo, const std::vector<std::string>& knownBy);

    // Puts a relay into each direction of each link between two hosts. To be called before the first host starts.
    void relayLinks();

    // The relay of what one host sends to another.
    transport::tests::tcp_relay& relay(const std::string& from, const std::string& to);

    // Gives a stand-in upstream a fault; modes as jackdaw-upstream names them, factor for "slow".
    void setFault(const std::string& zone, const std::string& instance, const std::string& mode, double factor);

    protocol::submission_id newSubmission();

    // The n-th task's result is "r<n>".
    pending_answer submit(const std::string& host, const protocol::submission_id& submission, const job_options& options);
    transport::http_result wait(const pending_answer& answer);
    nlohmann::json waitJson(const pending_answer& answer);

    pending_answer call(std::uint16_t port, transport::http_method method, const std::string& path, std::string body = {}, std::vector<transport::http_header> headers = {});
    nlohmann::json status(const std::string& host);
    nlohmann::json upstreamStats(const std::string& zone);

    // Closes the connections of all callers whose answers are still to come.
    void dropCallers();

    // Runs until the condition holds; throws when it doesn't within a generous limit.
    void waitUntil(const std::function<bool()>& condition, const std::string& what);

    std::uint16_t callerPort(const std::string& host) const;
    std::uint16_t operatorPort(const std::string& host) const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::tests
