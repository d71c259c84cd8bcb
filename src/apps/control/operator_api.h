// The operators' HTTP interface of jackdaw-control: rules, traces, status, members, drain. Described in docs/OPERATIONS.md.
#pragma once

#include "apps/control/control_node.h"
#include "apps/control/control_settings.h"
#include "apps/control/operator_tokens.h"
#include "apps/control/rules_publisher.h"
#include "transport/http_server.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace jackdaw::control {

struct operator_api_hooks {
    std::function<protocol::time_point()> now;
    std::function<bool(const std::string& host)> drain; // false when the request can't be sent
};

class operator_api {
public:
    // All but the hooks must outlive this object.
    operator_api(const control_settings& settings, const operator_tokens& tokens, control_node& node, const rules_publisher& publisher, operator_api_hooks hooks);

    void onRequest(const transport::http_request& request, const std::shared_ptr<transport::http_responder>& responder);

private:
    void onGet(const transport::http_request& request, transport::http_responder& responder);
    void onChange(const transport::http_request& request, const std::shared_ptr<transport::http_responder>& responder);
    void onDrain(std::string_view host, const transport::http_request& request, transport::http_responder& responder);
    void replyTrace(std::string_view name, transport::http_responder& responder) const;
    void replyRules(transport::http_responder& responder) const;
    void replyStatus(transport::http_responder& responder) const;
    void replyMembers(transport::http_responder& responder) const;
    void replyFailure(const protocol::error& failure, transport::http_responder& responder) const;

    const control_settings& m_settings;
    const operator_tokens& m_tokens;
    control_node& m_node;
    const rules_publisher& m_publisher;
    operator_api_hooks m_hooks;
};

} // namespace jackdaw::control
