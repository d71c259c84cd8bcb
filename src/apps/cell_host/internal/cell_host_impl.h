// Private implementation of cell_host.
#pragma once

#include "apps/cell_host/cell_host.h"
#include "apps/cell_host/cell_host_metrics.h"
#include "apps/shared/process_gauges.h"
#include "apps/shared/traffic_account.h"
#include "apps/shared/zone_address.h"
#include "coordination/cells/cancel_search.h"
#include "coordination/cells/cell_dispatcher.h"
#include "coordination/cells/cell_ownership.h"
#include "coordination/cells/configuration_requests.h"
#include "coordination/cells/evacuated_zones.h"
#include "coordination/cells/evacuation_targets.h"
#include "coordination/cells/owner_delays.h"
#include "coordination/cells/spill_targets.h"
#include "coordination/cells/upstream_directory.h"
#include "coordination/cells/zone_cells.h"
#include "transport/mesh.h"
#include "transport/stall_watch.h"

#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace jackdaw::cell_host {

using protocol::cell_message;
using protocol::duration;
using protocol::time_point;

constexpr duration meshSilenceLimit = std::chrono::milliseconds(900); // below the gossip silence limit of 1 s

class cell_host::impl {
public:
    impl(transport::event_loop& eventLoop, const cell_host_settings& hostSettings, std::uint64_t hostIncarnation, cell_host_hooks hostHooks)
        : loop(eventLoop)
        , settings(hostSettings)
        , incarnation(hostIncarnation)
        , hooks(std::move(hostHooks))
        , links(
              loop, meshSettings(), [this](const transport::mesh_delivery& delivery) { onDelivery(delivery); }, [this](std::string_view host) { onRefused(host); })
        , ownership(ownershipSettings())
        , jobRouter([this](std::string_view job) { return homeCellOf(job); }, [this](std::string_view cell) { return ownership.ownerOf(protocol::steadyNow(), cell); }, [this](const protocol::job_order& order) { return evacuationTargetOfNewJob(order); }, settings.limits.forwardedBytes())
    {
    }

    transport::event_loop& loop;
    const cell_host_settings settings;
    const std::uint64_t incarnation;
    const cell_host_hooks hooks;
    transport::mesh links;
    cells::cell_ownership ownership;
    cells::job_router jobRouter;
    cells::cancel_search cancelSearch;
    std::map<std::string, std::shared_ptr<cells::cell_dispatcher>, std::less<>> dispatchers; // by cell
    cells::upstream_directory upstreams;
    struct waiting_caller {
        job_completion done;
        time_point since;
    };
    std::map<cells::caller_id, waiting_caller> completions;
    state::metrics allMetrics;
    cell_host_metrics metrics { allMetrics };
    apps::process_gauges processGauges { allMetrics };
    apps::traffic_account traffic { allMetrics };
    std::set<std::string> entryPeers;
    std::set<std::string> controlPeers;
    std::set<std::string> silentHosts; // hosts whose loss was reported to the dispatchers
    transport::stall_watch stalls { loop, [](duration length) { logStall(length); } };
    cells::spill_targets spillTargets;
    cells::loop_delay loopDelay;
    cells::owner_delays ownerDelays;
    std::set<std::string> implausibleHosts; // each is logged once; a subset of the entry peers
    cells::zone_cells zoneCells;
    cells::evacuated_zones evacuations;
    cells::evacuation_targets evacuationTargets;
    time_point evacuationLearnedAt; // when the last change was learned
    cells::caller_id lastCaller = 0;
    protocol::configuration_push configuration; // in force; its version never decreases
    cells::configuration_requests configurationRequests { settings.host };
    time_point ownershipCheckedAt;
    time_point newsRequestedAt;
    std::uint64_t gossipRounds = 0;
    std::uint64_t ownerGossipRounds = 0;
    bool isLeaving = false;
    bool isPerformingActions = false;
    bool zoneHasOwner = false; // as of the last advance()
    std::vector<std::unique_ptr<transport::event_loop::timer>> timers;
    std::unique_ptr<transport::event_loop::timer> tickTimer;

    transport::mesh_settings meshSettings() const
    {
        transport::mesh_settings out;
        out.host = settings.host;
        out.incarnation = incarnation;
        out.listenAddress = apps::toText({ settings.host, settings.meshPort });
        out.maxMessageBytes = 2 * out.maxQueuedBytes; // the lengths of a frame's parts take no more than the parts
        out.maxReceivedBytes = settings.limits.linkBytes();
        out.maxConnections = settings.limits.linkConnections();
        out.silenceLimit = meshSilenceLimit;
        return out;
    }

    cells::ownership_settings ownershipSettings() const
    {
        cells::ownership_settings out;
        out.host = settings.host;
        out.incarnation = incarnation;
        out.zone = settings.zone;
        out.processorMillicores = settings.processorMillicores;
        return out;
    }

    void onDelivery(const transport::mesh_delivery& delivery);
    void onRefused(std::string_view host);
    void onGossip(const protocol::host_gossip& gossip);
    void onDirectory(const protocol::directory_update& update, std::string_view sender);
    void addControl(const std::string& host);
    void addEntryHost(const std::string& host);
    void onReports(std::span<const protocol::upstream_report> newReports);
    void onUpstreamList(const protocol::upstream_list& list);
    void forwardReports(std::span<const protocol::upstream_report> reports);
    void sendUpstreamList(const protocol::host_gossip& peer);
    void shareOwnedUpstreams();
    void shareUpstreams(std::string_view cell, const cells::cell_dispatcher& dispatcher);
    void forwardKnownReports(std::string_view cell, cells::cell_dispatcher& dispatcher) const;
    void onConfiguration(const protocol::configuration_push& push, std::string_view sender);
    void onEvacuationState(const protocol::evacuation_state& state, std::string_view sender);
    void onJobOrder(protocol::job_order order, std::string_view origin);
    void onOrderAnswer(const protocol::order_answer& answer, std::string_view host);
    void onJobCancel(const protocol::job_cancel& cancel, std::string_view origin);
    bool cancelHere(std::string_view job); // for its caller; false if neither a caller nor an owner here has the job
    std::vector<std::string> otherHostsOfZone() const; // live ones
    // Takes the time that input may have waited during a stall off the time that the job's caller still waits.
    void applyInputDelay(protocol::job_order& order) const;

    // newsZone: the zone whose upstreams the control hosts are asked for; empty: none.
    void sendDirectoryRequest(const std::string& newsZone = {});
    void requestUpstreamNews();
    void sendGossip(const std::vector<std::string>& hosts);
    void sendPeriodicGossip();
    void sendGossipToOwners();
    void advance();
    void applyOwnership();
    void takeCell(const cells::ownership_change& taken);
    void dropCell(const std::string& cell);
    cells::work_in_hand workInOtherCells(std::string_view cell) const;
    void handleSilentHosts();
    void endSilentOrigins();
    std::string findOtherCell(const protocol::job_order& order);
    std::string homeCellOf(std::string_view job) const;
    // The cell of a zone that is not evacuated; empty: none has an owner.
    std::string findEvacuationTarget(const protocol::job_order& order);
    std::optional<std::string> evacuationTargetOfNewJob(const protocol::job_order& order);
    // Returns the cell for a new job whose home cell's owner is overloaded; empty: the home cell.
    std::string findLessDelayedCell(const protocol::job_order& order);
    duration delayOf(const cells::cell_owner& owner) const;
    bool hasOwnerInZone() const;
    void updateCellCount(const std::string& zone, std::uint32_t announcedCells);
    void scheduleTick();

    void performActions();
    bool performDispatcherActions();
    bool performRouterActions();
    void perform(const std::shared_ptr<cells::cell_dispatcher>& dispatcher, const cells::cell_action& action);
    void answerOrigins(const cells::owner_answer& answer);
    void perform(const cells::router_action& action);
    void sendTo(const std::string& host, const cell_message& message);
    // Encodes the message once. Messages that a host's link can't take are dropped.
    void sendToAll(std::span<const std::string> hosts, const cell_message& message);
    bool sendBytes(apps::peer_role peer, const std::string& host, std::string_view kind, std::string_view bytes);
    void countCall(std::string_view purpose, const cells::call_answer& answer);
    void logTraffic();
    static void logStall(duration length);
};

} // namespace jackdaw::cell_host
