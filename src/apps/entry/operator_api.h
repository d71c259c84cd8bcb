// The operators' HTTP interface: /healthz, /readyz, /metrics and /v1/status.
#pragma once

#include "transport/http_server.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace jackdaw::entry {

class operator_api {
public:
    // May be called on any thread.
    using metrics_hook = std::function<std::string()>;
    // Gives the status page's JSON to the continuation, which may be called on any thread.
    using status_hook = std::function<void(std::function<void(std::string json)> onStatus)>;

    operator_api(metrics_hook metricsPage, status_hook status);

    // Whether the balancer should send callers here. Any thread.
    void setReady(bool isReady);

    // The handler of the operators' HTTP server.
    void onRequest(const transport::http_request& request, const std::shared_ptr<transport::http_responder>& responder);

private:
    metrics_hook m_metricsPage;
    status_hook m_status;
    std::atomic<bool> m_isReady = false;
};

} // namespace jackdaw::entry
