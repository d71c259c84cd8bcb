// Text forms of outcomes, for logs.
#include "coordination/cells/upstream_calls.h"

namespace jackdaw::cells {

bool isAnswer(call_outcome outcome)
{
    return outcome != call_outcome::silent && outcome != call_outcome::not_received;
}

std::string_view toText(call_outcome outcome)
{
    switch (outcome) {
    case call_outcome::done:
        return "done";
    case call_outcome::fenced:
        return "fenced";
    case call_outcome::superseded:
        return "superseded";
    case call_outcome::expired:
        return "expired";
    case call_outcome::no_room:
        return "no_room";
    case call_outcome::other_life:
        return "other_life";
    case call_outcome::unhealthy:
        return "unhealthy";
    case call_outcome::invalid:
        return "invalid";
    case call_outcome::not_received:
        return "not_received";
    case call_outcome::silent:
        return "silent";
    }
    return "unknown";
}

std::string_view toText(end_kind kind)
{
    switch (kind) {
    case end_kind::done:
        return "done";
    case end_kind::failed:
        return "failed";
    case end_kind::stopped:
        return "stopped";
    case end_kind::lapsed:
        return "lapsed";
    case end_kind::broken:
        return "broken";
    }
    return "unknown";
}

} // namespace jackdaw::cells
