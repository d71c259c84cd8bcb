// Opens the data folder of a control member; one that lost acknowledged entries rejoins as a new incarnation.
#pragma once

#include "apps/control/control_storage.h"
#include "protocol/result.h"

#include <cstdint>

namespace jackdaw::control {

// A number for an incarnation, from the system's random device.
std::uint64_t randomIncarnation();

// corrupt_data when entries are lost that no other voter is known to have.
protocol::result<control_storage> openStorage(const storage_settings& settings);

// Opens the data folder, or creates it under a new incarnation when there is no complete one.
protocol::result<control_storage> openOrCreateStorage(const storage_settings& settings, bool isFounder);

} // namespace jackdaw::control
