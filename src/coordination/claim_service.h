// Claims of one entry host in its zone: asks the zone's claim group which coordinator holds a submission, and is a voter of
// that group if the settings list its host. Performs no I/O and reads no clock: messages and results go through hooks.
#pragma once

#include "protocol/claim_messages.h"
#include "protocol/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::coordination {

using protocol::duration;
using protocol::time_point;

struct claim_service_settings {
    std::string host;
    std::uint64_t incarnation = 0; // random for each start; identifies this coordinator
    std::uint64_t seed = 1;
    std::vector<std::string> voters; // host names; the list must be the same on every host of the zone
    duration claimTimeout = std::chrono::seconds(3); // afterwards the verdict is unavailable
    duration retryInterval = std::chrono::milliseconds(250);
    duration resendAfter = std::chrono::milliseconds(500); // an unanswered claim is then sent to the same leader again
    std::size_t maxClaimsPerMessage = 4096;
    protocol::unix_milliseconds retention = std::chrono::minutes(15); // must exceed any deadline plus the time for resubmissions
    protocol::unix_milliseconds clockMargin = std::chrono::seconds(1); // tolerated offset between the clocks of clients and hosts
    std::size_t maxLogBytes = 4 * 1024 * 1024; // of applied commands that are kept for lagging voters
    duration heartbeat = std::chrono::milliseconds(200);
    duration minElectionTimeout = std::chrono::milliseconds(700);
    duration maxElectionTimeout = std::chrono::milliseconds(1400);
};

enum class claim_verdict {
    granted, // the caller is the holder and starts the job
    held, // another coordinator or attempt holds it and may have started it
    mismatch, // claimed with another body: submission_mismatch
    unavailable, // claim_unavailable, or zone_unreachable_first_attempt where isProvedUnclaimed
    too_old, // claim_too_old
    from_future // the time stamp is too far ahead: malformed_request; nothing was started
};

struct claim_result {
    protocol::submission_id submission;
    std::uint64_t bodyHash = 0;
    claim_verdict verdict = claim_verdict::unavailable;
    protocol::claim_coordinator holder; // for held and mismatch

    // With unavailable only: the caller marked a first attempt, and the claim was never sent or proposed.
    bool isProvedUnclaimed = false;
};

struct claim_service_hooks {
    std::function<void(const std::string& host, const std::string& bytes)> send;
    std::function<void(const claim_result& result)> result; // exactly once for each accepted claim
    std::function<protocol::unix_milliseconds()> unixNow;
};

struct claim_service_status {
    bool isLeader = false;
    std::optional<std::string> leaderHost;
    std::uint64_t generation = 0; // incarnation of the generation's founder; 0: not in a generation
    std::size_t claims = 0; // in this host's copy of the table
    std::size_t pending = 0;
    std::uint64_t malformedMessages = 0;
    protocol::unix_milliseconds knownSince = protocol::unix_milliseconds::max();
};

class claim_service {
public:
    claim_service(claim_service_settings settings, claim_service_hooks hooks, time_point now);
    ~claim_service();

    // Starts a claim; the result hook may be called before this returns. False if a claim of the same submission and body is
    // pending, whose result then counts for both; with another body the verdict is mismatch. All claims made before the next
    // advance() are sent together.
    bool claim(time_point now, const protocol::submission_id& submission, std::uint64_t bodyHash, bool firstAttempt);

    // Handles a message from another host's service. Messages that can't be decoded are counted and dropped.
    void step(time_point now, const std::string& from, std::string_view bytes);

    // Runs due timers and sends pending messages. Must be called at nextTimer(), and after each batch of events.
    void advance(time_point now);
    time_point nextTimer() const;

    // Transfers leadership of the group to another voter, before a planned stop.
    void transferLeadership(time_point now);

    // For a planned stop: leaves the group, so that the other voters continue without this host. Keep calling step() and
    // advance() until hasLeft(). It stays false if too few voters would remain, so callers must limit the wait.
    void startLeaving(time_point now);
    bool hasLeft() const;

    claim_service_status status() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::coordination
