// Tests of the account of messages and bytes.
#include "apps/shared/metrics_page.h"
#include "apps/shared/traffic_account.h"

#include <doctest/doctest.h>

using namespace jackdaw::apps;

TEST_CASE("traffic is counted under the wrong purpose, role or direction, or twice in the summaries")
{
    jackdaw::state::metrics all;
    traffic_account account(all);
    account.add(traffic_direction::sent, peer_role::entry, "gossip", 100);
    account.add(traffic_direction::sent, peer_role::entry, "gossip", 50);
    account.add(traffic_direction::received, peer_role::entry, "gossip", 7);
    account.add(traffic_direction::sent, peer_role::upstream, "start", 900);
    CHECK(account.takeSummary() == "sent_entry_gossip=2/150 sent_upstream_start=1/900 received_entry_gossip=1/7");
    CHECK(account.takeSummary().empty());
    account.add(traffic_direction::sent, peer_role::upstream, "start", 1);
    CHECK(account.takeSummary() == "sent_upstream_start=1/1");

    double gossipBytes = 0;
    for (const metric_sample& sample : parseMetricsPage(all.toPrometheus())) {
        if (sample.name == "jackdaw_traffic_bytes_total" && sample.label("purpose") == "gossip" && sample.label("direction") == "sent")
            gossipBytes = sample.value;
    }
    CHECK(gossipBytes == 150);
}
