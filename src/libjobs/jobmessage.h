#pragma once

#include "callercall.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace currantring {

/** Names one forwarded call among those of its sender's process. */
using ForwardNumber = Strong<std::uint64_t, struct ForwardNumberTag>;

/** A host's sign of life to the writer. */
struct HostBeat
{
    Address address;
    ConfigurationVersion configuration;
    /** How long ago the store last answered this host. */
    Milliseconds storeAge {};
    /** Time since the process started. */
    Milliseconds uptime {};
    /** Part of a processor that the host has, in thousandths. */
    Millicores processors {};
    /** Stops soon, or doesn't want to write. */
    bool isLeaving = false;
};

/** The writer's answer to a sign of life, and its announcement after a takeover. */
struct WriterBeat
{
    WriterToken token;
    Address address;
    ConfigurationVersion configuration;
    /** The writer has waited long for the store, and another host may do better. */
    bool isStuck = false;
    /** Processors of the largest other host that the writer hears. */
    Millicores mostProcessors;
};

/** A configuration that the receiver hasn't got yet, as the store holds it. */
struct ConfigurationOffer
{
    std::string text;
};

/** A caller's call for the writer to act on. */
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

/** Asks the receiver to become the writer: the sender stops. */
struct HandOver
{
    WriterToken token;
};

using JobMessage = std::variant<HostBeat, WriterBeat, ConfigurationOffer, ForwardedCall, ForwardedAnswer, HandOver>;

/** CBOR. Thread safety: reentrant. */
std::string encodeJobMessage(const JobMessage &message);
/** Nullopt when @p bytes are no message. Thread safety: reentrant. */
std::optional<JobMessage> decodeJobMessage(std::string_view bytes);

} // namespace currantring
