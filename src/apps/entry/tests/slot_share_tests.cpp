// Tests of the fixed shares of slots.
#include "apps/entry/slot_share.h"

#include <doctest/doctest.h>

using jackdaw::entry::slotShare;

TEST_CASE("the shares of a zone's hosts add up to the slots, and the remainder is spread over the hosts")
{
    const std::vector<std::string> hosts { "a1", "a2", "a3" };
    std::vector<std::uint32_t> totals(hosts.size());
    for (std::uint32_t upstream = 0; upstream < 300; ++upstream) {
        std::uint32_t sum = 0;
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            const std::uint32_t share = slotShare(8, "u" + std::to_string(upstream), hosts, hosts[i]);
            CHECK(share >= 2);
            CHECK(share <= 3);
            totals[i] += share;
            sum += share;
        }
        CHECK(sum == 8);
    }
    for (const std::uint32_t total : totals)
        CHECK(total > 700);
    CHECK(slotShare(8, "u", { "a1" }, "a1") == 8);
}
