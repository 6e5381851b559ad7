#pragma once

#include "leaseauthority.h"

namespace currantring {

/** The authority of a writer whose claim is always proven; grants leases of @p lease from @p now on. */
LeaseAuthority provenAuthority(const std::function<TimePoint()> &now, Milliseconds lease = Milliseconds(4500));

} // namespace currantring
