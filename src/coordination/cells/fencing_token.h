// Fencing tokens of calls to upstreams. An upstream carries out no call with a lower token than the highest that it has seen.
//
// Load pattern: calls that get no answer and are carried out seconds later, when the runs that they start or keep alive are no longer
// wanted and their sender may be lost. After such a call the owner raises the token of its calls to that upstream, so that the next
// call that is carried out there shuts the late ones out.
#pragma once

#include <cstdint>

namespace jackdaw::cells {

// A token is a time stamp in ms followed by a hash of the owner's address.
constexpr int tokenHashBits = 10;

// Time stamps that belong to one claim: those of two claims of a cell are at least so far apart. An owner raises its token less often
// than it owns the cell for milliseconds, so that hosts that did not hear of the claim still make higher tokens from their clocks.
constexpr std::uint32_t stampsPerClaim = 256;

// The token of a claim after it was raised this often, which must be below stampsPerClaim.
constexpr std::uint64_t raisedToken(std::uint64_t token, std::uint32_t raises)
{
    return token + (std::uint64_t(raises) << tokenHashBits);
}

} // namespace jackdaw::cells
