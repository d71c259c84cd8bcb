// Codec of the replicated log by msgpack-cxx. The packed types fix the order of the fields; new fields go to the end.
#include "protocol/raft_codec.h"

#include "protocol/message_family.h"
#include "protocol/packed.h"

#include <utility>

namespace jackdaw::protocol {
namespace {

    constexpr std::string_view family = "raft";
    constexpr std::uint32_t formatVersion = 1;

    struct packed_member {
        std::string host;
        std::uint64_t incarnation = 0;

        MSGPACK_DEFINE_ARRAY(host, incarnation)
    };

    struct packed_membership {
        std::vector<packed_member> voters;
        std::vector<packed_member> learners;

        MSGPACK_DEFINE_ARRAY(voters, learners)
    };

    struct packed_entry {
        std::uint64_t index = 0;
        std::uint64_t term = 0;
        std::uint8_t kind = 0;
        std::string data;
        packed_membership membership;

        MSGPACK_DEFINE_ARRAY(index, term, kind, data, membership)
    };

    struct packed_snapshot {
        std::uint64_t index = 0;
        std::uint64_t term = 0;
        packed_membership membership;
        std::string data;

        MSGPACK_DEFINE_ARRAY(index, term, membership, data)
    };

    struct packed_hard_state {
        std::uint64_t term = 0;
        bool hasVote = false;
        packed_member vote;

        MSGPACK_DEFINE_ARRAY(term, hasVote, vote)
    };

    struct packed_vote_request {
        bool preVote = false;
        bool transfer = false;
        std::uint64_t lastIndex = 0;
        std::uint64_t lastTerm = 0;

        MSGPACK_DEFINE_ARRAY(preVote, transfer, lastIndex, lastTerm)
    };

    struct packed_vote_reply {
        bool preVote = false;
        bool granted = false;

        MSGPACK_DEFINE_ARRAY(preVote, granted)
    };

    struct packed_append_request {
        std::uint64_t previousIndex = 0;
        std::uint64_t previousTerm = 0;
        std::uint64_t commit = 0;
        std::vector<packed_entry> entries;

        MSGPACK_DEFINE_ARRAY(previousIndex, previousTerm, commit, entries)
    };

    struct packed_append_reply {
        bool accepted = false;
        std::uint64_t matchIndex = 0;
        std::uint64_t previousIndex = 0;

        MSGPACK_DEFINE_ARRAY(accepted, matchIndex, previousIndex)
    };

    // The body is packed by itself: its kind says as what.
    struct packed_envelope {
        std::string family;
        std::uint32_t format = 0;
        std::string group;
        packed_member from;
        packed_member to;
        std::uint64_t term = 0;
        std::uint32_t kind = 0;
        std::string body;

        MSGPACK_DEFINE_ARRAY(family, format, group, from, to, term, kind, body)
    };

    // Numbers on the wire; they are never given to another kind.
    enum class body_kind : std::uint32_t {
        vote_request = 1,
        vote_reply = 2,
        append_request = 3,
        append_reply = 4,
        snapshot_request = 5,
        timeout_now_request = 6
    };

    packed_member toPacked(const raft_member_id& member)
    {
        return { member.host, member.incarnation };
    }

    raft_member_id fromPacked(packed_member member)
    {
        return { std::move(member.host), member.incarnation };
    }

    packed_membership toPacked(const raft_membership& membership)
    {
        packed_membership packed;
        for (const raft_member_id& voter : membership.voters)
            packed.voters.push_back(toPacked(voter));
        for (const raft_member_id& learner : membership.learners)
            packed.learners.push_back(toPacked(learner));
        return packed;
    }

    raft_membership fromPacked(packed_membership packed)
    {
        raft_membership membership;
        for (packed_member& voter : packed.voters)
            membership.voters.push_back(fromPacked(std::move(voter)));
        for (packed_member& learner : packed.learners)
            membership.learners.push_back(fromPacked(std::move(learner)));
        return membership;
    }

    packed_entry toPacked(const raft_entry& entry)
    {
        return { entry.index, entry.term, static_cast<std::uint8_t>(entry.kind), entry.data, toPacked(entry.membership) };
    }

    result<raft_entry> fromPacked(packed_entry packed)
    {
        if (packed.index == 0 || packed.kind > static_cast<std::uint8_t>(raft_entry_kind::membership))
            return makeError(error_kind::corrupt_data, "log entry " + std::to_string(packed.index) + " of kind " + std::to_string(packed.kind));
        return raft_entry { packed.index, packed.term, static_cast<raft_entry_kind>(packed.kind), std::move(packed.data), fromPacked(std::move(packed.membership)) };
    }

    packed_snapshot toPacked(const raft_snapshot& snapshot)
    {
        return { snapshot.index, snapshot.term, toPacked(snapshot.membership), snapshot.data };
    }

    raft_snapshot fromPacked(packed_snapshot packed)
    {
        return { packed.index, packed.term, fromPacked(std::move(packed.membership)), std::move(packed.data) };
    }

    struct encoded_body {
        body_kind kind;
        std::string bytes;
    };

    struct body_encoder {
        encoded_body operator()(const vote_request& body) const
        {
            return { body_kind::vote_request, pack(packed_vote_request { body.preVote, body.transfer, body.lastIndex, body.lastTerm }) };
        }

        encoded_body operator()(const vote_reply& body) const
        {
            return { body_kind::vote_reply, pack(packed_vote_reply { body.preVote, body.granted }) };
        }

        encoded_body operator()(const append_request& body) const
        {
            packed_append_request packed { body.previousIndex, body.previousTerm, body.commit, {} };
            for (const raft_entry& entry : body.entries)
                packed.entries.push_back(toPacked(entry));
            return { body_kind::append_request, pack(packed) };
        }

        encoded_body operator()(const append_reply& body) const
        {
            return { body_kind::append_reply, pack(packed_append_reply { body.accepted, body.matchIndex, body.previousIndex }) };
        }

        encoded_body operator()(const snapshot_request& body) const
        {
            return { body_kind::snapshot_request, pack(toPacked(body.snapshot)) };
        }

        encoded_body operator()(const timeout_now_request&) const { return { body_kind::timeout_now_request, {} }; }
    };

    using raft_body = decltype(raft_message::body);

    result<raft_body> toBody(const packed_vote_request& packed)
    {
        return raft_body(vote_request { packed.preVote, packed.transfer, packed.lastIndex, packed.lastTerm });
    }

    result<raft_body> toBody(const packed_vote_reply& packed)
    {
        return raft_body(vote_reply { packed.preVote, packed.granted });
    }

    result<raft_body> toBody(packed_append_request packed)
    {
        append_request body { packed.previousIndex, packed.previousTerm, packed.commit, {} };
        for (packed_entry& element : packed.entries) {
            auto entry = fromPacked(std::move(element));
            if (!entry)
                return entry.error();
            body.entries.push_back(std::move(entry.value()));
        }
        return raft_body(std::move(body));
    }

    result<raft_body> toBody(const packed_append_reply& packed)
    {
        return raft_body(append_reply { packed.accepted, packed.matchIndex, packed.previousIndex });
    }

    result<raft_body> toBody(packed_snapshot packed)
    {
        return raft_body(snapshot_request { fromPacked(std::move(packed)) });
    }

    template <typename Packed>
    result<raft_body> decodeAs(std::string_view bytes)
    {
        auto packed = unpack<Packed>(bytes);
        if (!packed)
            return packed.error();
        return toBody(std::move(packed.value()));
    }

    result<raft_body> decodeBody(std::uint32_t kind, std::string_view bytes)
    {
        switch (static_cast<body_kind>(kind)) {
        case body_kind::vote_request:
            return decodeAs<packed_vote_request>(bytes);
        case body_kind::vote_reply:
            return decodeAs<packed_vote_reply>(bytes);
        case body_kind::append_request:
            return decodeAs<packed_append_request>(bytes);
        case body_kind::append_reply:
            return decodeAs<packed_append_reply>(bytes);
        case body_kind::snapshot_request:
            return decodeAs<packed_snapshot>(bytes);
        case body_kind::timeout_now_request:
            return raft_body(timeout_now_request {});
        }
        return makeError(error_kind::corrupt_data, "raft message of unknown kind " + std::to_string(kind));
    }

} // namespace

std::string encodeRaftMessage(std::string_view group, const raft_message& message)
{
    encoded_body body = std::visit(body_encoder(), message.body);
    return pack(packed_envelope { std::string(family), formatVersion, std::string(group), toPacked(message.from), toPacked(message.to),
        message.term, static_cast<std::uint32_t>(body.kind), std::move(body.bytes) });
}

result<std::optional<raft_envelope>> decodeRaftMessage(std::string_view bytes)
{
    if (!isOfFamily(bytes, family))
        return std::optional<raft_envelope>();
    auto packed = unpack<packed_envelope>(bytes);
    if (!packed)
        return packed.error();
    packed_envelope& envelope = packed.value();
    auto body = decodeBody(envelope.kind, envelope.body);
    if (!body)
        return body.error();
    raft_message message { fromPacked(std::move(envelope.from)), fromPacked(std::move(envelope.to)), envelope.term, std::move(body.value()) };
    return std::optional<raft_envelope>({ std::move(envelope.group), std::move(message) });
}

std::string encodeRaftEntry(const raft_entry& entry)
{
    return pack(toPacked(entry));
}

result<raft_entry> decodeRaftEntry(std::string_view bytes)
{
    auto packed = unpack<packed_entry>(bytes);
    if (!packed)
        return packed.error();
    return fromPacked(std::move(packed.value()));
}

std::string encodeRaftSnapshot(const raft_snapshot& snapshot)
{
    return pack(toPacked(snapshot));
}

result<raft_snapshot> decodeRaftSnapshot(std::string_view bytes)
{
    auto packed = unpack<packed_snapshot>(bytes);
    if (!packed)
        return packed.error();
    return fromPacked(std::move(packed.value()));
}

std::string encodeRaftHardState(const raft_hard_state& hardState)
{
    packed_hard_state packed { hardState.term, hardState.vote.has_value(), {} };
    if (hardState.vote)
        packed.vote = toPacked(*hardState.vote);
    return pack(packed);
}

result<raft_hard_state> decodeRaftHardState(std::string_view bytes)
{
    auto packed = unpack<packed_hard_state>(bytes);
    if (!packed)
        return packed.error();
    raft_hard_state hardState { packed.value().term, std::nullopt };
    if (packed.value().hasVote)
        hardState.vote = fromPacked(std::move(packed.value().vote));
    return hardState;
}

} // namespace jackdaw::protocol
