// Asks the other control hosts whether the group exists already, before a new one is founded.
#pragma once

#include "apps/control/control_settings.h"

#include <string>

namespace jackdaw::control {

// The first other host that answers as a member of a group with voters; empty when none does. Takes at most a second for
// each host. A group whose hosts are all down or cut off is not seen.
std::string findGroupMember(const control_settings& settings);

} // namespace jackdaw::control
