// The fixed share that each entry host of a zone has in the slots of an upstream.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::entry {

// Equal shares; the remainder goes to hosts chosen by a hash, other ones for each upstream. The shares of all the zone's
// hosts add up to the slots, whichever of the hosts are alive. The host is one of the hosts.
std::uint32_t slotShare(std::uint32_t slots, std::string_view upstream, const std::vector<std::string>& hosts, const std::string& host);

} // namespace jackdaw::entry
