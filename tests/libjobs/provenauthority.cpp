#include "provenauthority.h"

namespace currantring {

LeaseAuthority provenAuthority(const std::function<TimePoint()> &now, Milliseconds lease)
{
    const LeaseTerms terms { lease, Milliseconds(3000), {}, {} };
    return { terms,
             { now, [now] { return std::optional(now()); },
               [] {
                   return std::optional<TimePoint>();
               } } };
}

} // namespace currantring
