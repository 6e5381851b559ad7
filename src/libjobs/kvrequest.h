#pragma once

#include "ids.h"
#include "units.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <tl/expected.hpp>

namespace currantring {

/** Reads one entry. */
struct KvGet
{
    std::string key;
};

/** Reads one page of the entries whose key starts with a prefix, in key order. */
struct KvList
{
    std::string prefix;
    /** The page begins after this key; empty for the first one. */
    std::string after;
    /** Costs a tenth; may show the past. */
    bool mayBeStale = false;
};

/** Waits for changes under a prefix after a revision, at most for the given time. */
struct KvWatch
{
    std::string prefix;
    StoreRevision after;
    Milliseconds wait {};
};

/** The revision that an entry must have; 0 expects an absent one. */
struct KvCondition
{
    std::string key;
    StoreRevision revision;
};

/** An entry to be written. */
struct KvPut
{
    std::string key;
    std::string value;
    /** The entry vanishes with this lease. */
    std::optional<LeaseId> lease;
};

/** Writes and deletes together, when all conditions hold. */
struct KvCommit
{
    std::vector<KvCondition> conditions;
    std::vector<KvPut> puts;
    std::vector<std::string> deletes;
};

struct KvGrantLease
{
    Milliseconds term {};
};

struct KvRenewLease
{
    LeaseId lease;
};

struct KvEndLease
{
    LeaseId lease;
};

using KvRequest = std::variant<KvGet, KvList, KvWatch, KvCommit, KvGrantLease, KvRenewLease, KvEndLease>;

/** One entry, or the deletion of one. */
struct KvEntry
{
    std::string key;
    std::string value;
    /** Revision of the last change. */
    StoreRevision revision;
    /** Only in the reply to KvWatch. */
    bool isDeleted = false;
};

/** What a successful call gave; the fields that its kind has no use for stay empty. */
struct KvReply
{
    /** KvGet: at most one. KvList: a page. KvWatch: the changes in order. */
    std::vector<KvEntry> entries;
    /** KvList: further pages follow. */
    bool hasMore = false;
    /** Revision up to which the reply is complete; KvCommit: of the write. */
    StoreRevision revision;
    /** KvGrantLease. */
    LeaseId lease;
};

/** Why a store call gave nothing. */
enum class KvErrorKind {
    /** A condition didn't hold; nothing was written. */
    Conflict,
    /** The changes after the given revision are no longer kept. */
    HistoryGone,
    /** There is no such lease; nothing was written. */
    LeaseGone,
    /** The store is busy or refused the call; nothing was done. */
    Refused,
    /** The request surely didn't reach the store. */
    NotSent,
    /** No reply, or a broken one: a write may have taken effect, or may yet. */
    Unknown,
};

struct KvError
{
    KvErrorKind kind = KvErrorKind::Unknown;
    /** Conflict: the entries of the conditions as they are; an absent one is left out. */
    std::vector<KvEntry> entries;
};

/** For logs. Thread safety: reentrant. */
std::string_view kvErrorName(KvErrorKind kind);

using KvResult = tl::expected<KvReply, KvError>;

} // namespace currantring
