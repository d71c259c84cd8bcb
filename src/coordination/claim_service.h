// Claims of one entry host in its zone: asks the zone's claim group which coordinator a submission belongs to, and is a voter
// of that group where the settings name it. Pure decision code: bytes, time points and hooks.
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
    std::uint64_t incarnation = 0; // random for each start; names this coordinator
    std::uint64_t seed = 1;
    std::vector<std::string> voters; // hosts, the same list on every host of the zone
    duration claimTimeout = std::chrono::seconds(3); // then the claim is unavailable
    duration retryInterval = std::chrono::milliseconds(250);
    duration resendAfter = std::chrono::milliseconds(500); // to the same leader
    std::size_t maxClaimsPerMessage = 4096;
    protocol::unix_milliseconds retention = std::chrono::minutes(15); // longer than any deadline plus resubmissions
    protocol::unix_milliseconds clockMargin = std::chrono::seconds(1); // between the clocks of clients and hosts
    std::size_t maxLogBytes = 4 * 1024 * 1024; // of applied commands that are kept for voters that lag
    duration heartbeat = std::chrono::milliseconds(200);
    duration minElectionTimeout = std::chrono::milliseconds(700);
    duration maxElectionTimeout = std::chrono::milliseconds(1400);
};

enum class claim_verdict {
    granted, // start the job
    held, // holder has it: it may have been started there
    mismatch, // submission_mismatch
    unavailable, // claim_unavailable, or zone_unreachable_first_attempt where isProvedUnclaimed
    too_old, // claim_too_old
    from_future // the time stamp is too far ahead: malformed_request, nothing was started
};

struct claim_result {
    protocol::submission_id submission;
    std::uint64_t bodyHash = 0;
    claim_verdict verdict = claim_verdict::unavailable;
    protocol::claim_coordinator holder; // for held and mismatch
    bool isProvedUnclaimed = false; // unavailable only: a first attempt by the caller's word, and nothing was sent on
};

struct claim_service_hooks {
    std::function<void(const std::string& host, const std::string& bytes)> send;
    std::function<void(const claim_result& result)> result; // exactly once for each accepted claim
    std::function<protocol::unix_milliseconds()> unixNow;
};

struct claim_service_status {
    bool isLeader = false;
    std::optional<std::string> leaderHost;
    std::uint64_t generation = 0; // incarnation of the member that founded it; 0: in none
    std::size_t claims = 0; // in this host's copy of the table
    std::size_t pending = 0;
    std::uint64_t malformedMessages = 0;
    protocol::unix_milliseconds knownSince = protocol::unix_milliseconds::max();
};

class claim_service {
public:
    claim_service(claim_service_settings settings, claim_service_hooks hooks, time_point now);
    ~claim_service();

    // The result may come before the call returns. False when a claim of the submission is pending: that one's result counts
    // for both, unless the bodies differ. All claims made before the next advance() travel together.
    bool claim(time_point now, const protocol::submission_id& submission, std::uint64_t bodyHash, bool firstAttempt);

    // Bytes that another host's service sent. What can't be read is counted and dropped.
    void step(time_point now, const std::string& from, std::string_view bytes);

    // Does what is due. To be called at nextTimer() or later, and once all events of the moment were taken.
    void advance(time_point now);
    time_point nextTimer() const;

    // Hands leadership of the group to another voter, before a planned stop.
    void transferLeadership(time_point now);

    // For a planned stop: leaves the group, so that the other voters go on without this host. Until hasLeft() the service is
    // to be driven on; that never comes where too few voters would be left, so the wait needs a bound.
    void startLeaving(time_point now);
    bool hasLeft() const;

    claim_service_status status() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::coordination
