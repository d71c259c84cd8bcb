// Fixed shares of slots.
#include "apps/entry/slot_share.h"

#include <xxhash.h>

#include <algorithm>

namespace jackdaw::entry {
namespace {

    std::uint64_t rank(std::string_view upstream, const std::string& host)
    {
        return XXH3_64bits_withSeed(upstream.data(), upstream.size(), XXH3_64bits(host.data(), host.size()));
    }

} // namespace

std::uint32_t slotShare(std::uint32_t slots, std::string_view upstream, const std::vector<std::string>& hosts, const std::string& host)
{
    const auto count = static_cast<std::uint32_t>(hosts.size());
    const std::uint64_t ownRank = rank(upstream, host);
    const auto before = std::count_if(hosts.begin(), hosts.end(), [&](const std::string& other) { return rank(upstream, other) < ownRank; });
    const bool hasExtra = static_cast<std::uint32_t>(before) < slots % count;
    return slots / count + (hasExtra ? 1 : 0);
}

} // namespace jackdaw::entry
