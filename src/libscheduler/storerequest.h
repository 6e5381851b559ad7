#pragma once

#include "ids.h"
#include "units.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <tl/expected.hpp>

namespace currantring {

/** Largest value that the key-value service holds, in bytes. */
inline constexpr std::size_t maximumStoreValueBytes = 1'000'000;

/** Reads one entry. */
struct StoreGet
{
    std::string key;
};

/** Reads all entries whose key starts with the prefix, in key order. */
struct StoreList
{
    std::string prefix;
};

/** Writes one entry when its present version is the expected one. */
struct StorePut
{
    std::string key;
    std::string value;
    /** 0 expects an absent entry; nullopt writes in any case. */
    std::optional<StoreVersion> expected;
    /** Entry vanishes with this lease. */
    std::optional<LeaseId> lease;
};

/** Removes one entry; an absent one is no error. */
struct StoreDelete
{
    std::string key;
};

struct StoreGrantLease
{
    Milliseconds term {};
};

struct StoreRenewLease
{
    LeaseId lease;
};

/** Waits for a change under a prefix after a revision, at most for the given time. */
struct StoreWatch
{
    std::string prefix;
    StoreRevision after;
    Milliseconds wait {};
};

/** Reads the platform's list of workers. */
struct ReadHostList
{
};

using StoreRequest = std::variant<StoreGet, StoreList, StorePut, StoreDelete, StoreGrantLease, StoreRenewLease,
                                  StoreWatch, ReadHostList>;

/** One entry as read. */
struct StoreEntry
{
    std::string key;
    std::string value;
    StoreVersion version;
};

/** Whether the platform says that a worker stays. */
enum class WorkerState { Live, Leaving };

/** One worker as the platform's list describes it. */
struct WorkerInfo
{
    WorkerId id;
    Address address;
    RackId rack;
    DataCentreId dataCentre;
    Resources capacity;
    /** Requests that its endpoint serves at once. */
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::vector<ServiceName> services;
    WorkerState state = WorkerState::Live;

    bool operator==(const WorkerInfo &) const = default;
};

void to_json(nlohmann::json &json, const WorkerInfo &info);
void from_json(const nlohmann::json &json, WorkerInfo &info);

/** What a successful store call gave; the fields that its kind has no use for stay empty. */
struct StoreReply
{
    /** StoreGet: at most one entry (none when absent). StoreList: all. StoreWatch: the changed ones. */
    std::vector<StoreEntry> entries;
    /** StorePut: version of the written entry. */
    StoreVersion version;
    /** StoreList, StoreWatch: revision up to which the reply is complete. */
    StoreRevision revision;
    /** StoreGrantLease. */
    LeaseId lease;
    /** ReadHostList. */
    std::vector<WorkerInfo> workers;
};

/** Why a store call gave nothing. */
enum class StoreError {
    /** The entry's version was another one; nothing was written. */
    Conflict,
    /** The lease has lapsed or never was. */
    LeaseLapsed,
    /** The value is larger than the service takes; nothing was written. */
    TooLarge,
    /** The request surely didn't reach the service. */
    NotSent,
    /** No reply, or a broken one: a write may or may not have taken effect. */
    Unknown,
};

using StoreResult = tl::expected<StoreReply, StoreError>;

} // namespace currantring
