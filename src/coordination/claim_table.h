// The state machine of a zone's claim group: which coordinator was granted each submission. Written once, and forgotten only
// by the time in the commands, so that all voters forget alike.
#pragma once

#include "protocol/claim_messages.h"
#include "protocol/result.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace jackdaw::coordination {

struct claim_table_settings {
    protocol::unix_milliseconds retention = std::chrono::minutes(15); // counted from the time stamp in the submission
    protocol::unix_milliseconds clockMargin = std::chrono::seconds(1); // between the clocks of clients and hosts
};

class claim_table {
public:
    using answer_hook = std::function<void(const protocol::claim_coordinator& coordinator, const protocol::claim_answer& answer)>;

    explicit claim_table(claim_table_settings settings);
    ~claim_table();
    claim_table(claim_table&&) noexcept;
    claim_table& operator=(claim_table&&) noexcept;

    // Answers every claim of the command, in order.
    void apply(const protocol::claim_command& command, const answer_hook& onAnswer);

    // What is certain about a claim without the log: it is held, granted before, or too old. Else std::nullopt.
    std::optional<protocol::claim_answer> find(const protocol::claim_coordinator& coordinator, const protocol::claim_entry& claim) const;

    // The opening command of the generation was applied. Before it every claim is too old.
    bool isInitialized() const;

    // Submissions with an older time stamp may have been granted and forgotten. Only ever grows.
    protocol::unix_milliseconds knownSince() const;

    std::size_t size() const;

    std::string snapshot() const;

    // Replaces everything. corrupt_data leaves the table as it was.
    protocol::result<void> restore(std::string_view bytes);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::coordination
