// State machine of a zone's claim group: records which coordinator was granted each submission. A record is written once and
// expires by the time in the commands, so that all voters expire it at the same command.
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
    protocol::unix_milliseconds retention = std::chrono::minutes(15); // from the time stamp in the submission id
    protocol::unix_milliseconds clockMargin = std::chrono::seconds(1); // tolerated offset between the clocks of clients and hosts
};

class claim_table {
public:
    using answer_hook = std::function<void(const protocol::claim_coordinator& coordinator, const protocol::claim_answer& answer)>;

    explicit claim_table(claim_table_settings settings);
    ~claim_table();
    claim_table(claim_table&&) noexcept;
    claim_table& operator=(claim_table&&) noexcept;

    // Applies a command and answers each of its claims, in order.
    void apply(const protocol::claim_command& command, const answer_hook& onAnswer);

    // Returns the answer if it is known without a new log entry: the submission has a record, or it is too old. Else
    // std::nullopt.
    std::optional<protocol::claim_answer> find(const protocol::claim_coordinator& coordinator, const protocol::claim_entry& claim) const;

    // True once a command that sets knownSince was applied. Before that, every claim is answered with too_old.
    bool isInitialized() const;

    // Submissions with an earlier time stamp may have been granted and their records removed. Never decreases; the maximum
    // value while not initialized.
    protocol::unix_milliseconds knownSince() const;

    std::size_t size() const;

    std::string snapshot() const;

    // Replaces the whole state. On corrupt_data the table is unchanged.
    protocol::result<void> restore(std::string_view bytes);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::coordination
