#pragma once

#include "callercall.h"
#include "inheritedleases.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace currantring {

/** Identifies a forwarded call among those of the sending process. */
using ForwardNumber = Strong<std::uint64_t, struct ForwardNumberTag>;

/** When a heartbeat was sent, on its sender's clock; the receiver returns it, which tells the sender what was heard. */
using HeartbeatTime = Strong<std::int64_t, struct HeartbeatTimeTag>;

/** The last heartbeat that the writer has heard of a host. */
struct HeardHeartbeat
{
    /** The process that sent it. */
    std::uint64_t nonce = 0;
    HeartbeatTime sentAt;
};

/** Heartbeat of a host to the writer. */
struct HostHeartbeat
{
    Address address;
    ConfigurationVersion configuration;
    /** Time since the store last answered this host. */
    Milliseconds storeAge {};
    /** Time since the process started. */
    Milliseconds uptime {};
    /** Processor capacity of the host. */
    Millicores processors {};
    /** The host is about to stop or doesn't want to be the writer. */
    bool isLeaving = false;
    /** Distinguishes successive processes on the host; 0 in heartbeats of older versions. */
    std::uint64_t nonce = 0;
    /** The writer whose claim the host follows; 0 in heartbeats of older versions. */
    WriterToken writer;
    HeartbeatTime sentAt {};
    /** The last heartbeat of that writer that the host has heard; nullopt if there is none, or if it may replace it. */
    std::optional<HeartbeatTime> heard {};
    /** Memory that the host's process may take; 0 when it isn't limited, and in heartbeats of older versions. */
    Mebibytes memory {};
};

/** The writer's answer to a heartbeat, also sent as its announcement after a takeover. */
struct WriterHeartbeat
{
    WriterToken token;
    Address address;
    ConfigurationVersion configuration;
    /** The writer has waited long for the store; another host may have better access to it. */
    bool isStuck = false;
    /** Processor capacity of the largest other host from which the writer receives heartbeats. */
    Millicores mostProcessors;
    HeartbeatTime sentAt {};
    /** The receiver's last heartbeat; nullopt when it wasn't heard lately, and in messages of older versions. */
    std::optional<HeardHeartbeat> heard {};
};

/** A configuration that the receiver doesn't have yet, in its stored form. */
struct ConfigurationOffer
{
    std::string text;
};

/** A caller's call that another host forwards to the writer. */
struct ForwardedCall
{
    ForwardNumber number;
    CallerCall call;
    /** Time left until the caller gives up. */
    Milliseconds timeLeft {};
};

struct ForwardedAnswer
{
    ForwardNumber number;
    CallAnswer answer;
};

/** Asks the receiver to become the writer because the sender is stopping or is less suited. */
struct HandOver
{
    WriterToken token;
    /** The sender extends no lease any more, and these may be valid; nullopt in messages of older versions. */
    std::optional<RemainingLeases> leases;
};

using JobMessage =
    std::variant<HostHeartbeat, WriterHeartbeat, ConfigurationOffer, ForwardedCall, ForwardedAnswer, HandOver>;

/** Encodes @p message as CBOR. Thread safety: reentrant. */
std::string encodeJobMessage(const JobMessage &message);
/** Returns nullopt when @p bytes aren't a valid message. Thread safety: reentrant. */
std::optional<JobMessage> decodeJobMessage(std::string_view bytes);

} // namespace currantring
