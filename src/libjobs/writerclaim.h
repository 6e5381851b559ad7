#pragma once

#include "inheritedleases.h"
#include "jobids.h"
#include "kvrequest.h"
#include "units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace currantring {

/** The writer of a shard, as recorded by its claim in the store. */
struct WriterClaim
{
    /** Store revision of the claim, used as the fencing token. */
    WriterToken token;
    HostId host;
    Address address;
    /** Distinguishes successive processes on one host. */
    std::uint64_t nonce = 0;
    /** Revision of the claim before; 0 when there was none or it isn't recorded. */
    StoreRevision replaced;
    /** Nullopt when the claim doesn't contain them in a valid form, as claims of older versions. */
    std::optional<LeaseTerms> leases;
};

/** Encodes all but the token, which the store assigns. Thread safety: reentrant. */
std::string encodeClaim(const WriterClaim &claim);
/** Returns the token in an entry that notes that inherited leases are over; 0, which no writer has, when invalid. */
WriterToken decodeSettled(std::string_view text);
/** Returns nullopt when the entry isn't a claim. Thread safety: reentrant. */
std::optional<WriterClaim> decodeClaim(const KvEntry &entry);

} // namespace currantring
