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

/** Reads one page of the entries under a prefix, in key order. */
struct KvList
{
    std::string prefix;
    /** The page begins after this key; empty for the first page. */
    std::string after;
    /** Permits a stale read, which costs a tenth of a consistent one. */
    bool allowStale = false;
};

/** Long poll: waits for changes under a prefix after a revision, at most for the given time. */
struct KvWatch
{
    std::string prefix;
    StoreRevision after;
    Milliseconds wait {};
};

/** Compare part of a compare-and-swap: the revision that an entry must have; 0 requires it to be absent. */
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
    /** The entry is deleted when this lease ends. */
    std::optional<LeaseId> lease;
};

/** Transaction: carries out all writes and deletions atomically if all conditions hold. */
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

/** Result of a successful call; fields that don't apply to its kind stay empty. */
struct KvReply
{
    /** KvGet: at most one. KvList: a page. KvWatch: the changes in order. */
    std::vector<KvEntry> entries;
    /** KvList: further pages follow. */
    bool hasMore = false;
    /** Revision up to which the reply is complete; KvCommit: of the write. */
    StoreRevision revision;
    /** KvGrantLease: the granted lease. */
    LeaseId lease;
};

/** Reason why a store call failed. */
enum class KvErrorKind {
    /** A condition didn't hold; nothing was written. */
    Conflict,
    /** The changes after the given revision have been compacted. */
    HistoryGone,
    /** The lease doesn't exist; nothing was written. */
    LeaseGone,
    /** The store is busy or refused the call; nothing was done. */
    Refused,
    /** The request certainly didn't reach the store. */
    NotSent,
    /** No reply, or a malformed one: a write may have taken effect, or may still do so. */
    Unknown,
};

struct KvError
{
    KvErrorKind kind = KvErrorKind::Unknown;
    /** Conflict: the current entries of the conditions' keys; absent ones are left out. */
    std::vector<KvEntry> entries;
};

/** Name for logs. Thread safety: reentrant. */
std::string_view kvErrorName(KvErrorKind kind);

using KvResult = tl::expected<KvReply, KvError>;

} // namespace currantring
