// Builds the JSON bodies of failures.
#include "apps/shared/failure_body.h"

namespace jackdaw::apps {

nlohmann::json failureBody(protocol::error_kind kind, const std::string& detail)
{
    const protocol::error_answer& row = protocol::errorAnswer(kind);
    return { { "error", row.name }, { "ran", protocol::toText(row.ran) }, { "text", row.text }, { "detail", detail } };
}

} // namespace jackdaw::apps
