#include "jobmessage.h"

#include "binaryjson.h"

#include <nlohmann/json.hpp>

namespace currantring {

namespace {

using nlohmann::json;

/** Message kinds on the wire; hosts of adjacent versions must agree on them. */
enum MessageKind : int { HostHeartbeatKind = 1, WriterHeartbeatKind, OfferKind, CallKind, AnswerKind, HandOverKind };
/** About 30 years; receivers add the times in messages to their clocks. */
constexpr std::int64_t maxTimeMs = 1'000'000'000'000;

enum CallKindNumber : int { SubmitKind = 1, ReadKind, CancelKind, CountKind };

json encodeCall(const CallerCall &call)
{
    if (const auto *submit = std::get_if<SubmitJob>(&call)) {
        return json::array({ SubmitKind, encodeJobSpec(*submit->spec) });
    }
    if (const auto *read = std::get_if<ReadJob>(&call)) {
        return json::array({ ReadKind, read->job.value() });
    }
    if (const auto *cancel = std::get_if<CancelJob>(&call)) {
        return json::array({ CancelKind, cancel->job.value() });
    }
    return json::array({ CountKind, std::get<CountWaiting>(call).queue.value() });
}

CallerCall decodeCall(const json &source)
{
    switch (source.at(0).get<int>()) {
    case SubmitKind:
        return SubmitJob { std::make_shared<const JobSpec>(decodeJobSpec(source.at(1))) };
    case ReadKind:
        return ReadJob { JobId(source.at(1).get<std::string>()) };
    case CancelKind:
        return CancelJob { JobId(source.at(1).get<std::string>()) };
    case CountKind:
        return CountWaiting { QueueName(source.at(1).get<std::string>()) };
    default:
        throw json::other_error::create(501, "unknown call kind", nullptr);
    }
}

json encodeTime(const std::optional<HeartbeatTime> &time)
{
    return time ? json(time->value()) : json();
}

struct Encoder
{
    json operator()(const HostHeartbeat &beat) const
    {
        return json::array({ HostHeartbeatKind, beat.address.value(), beat.configuration.value(), beat.storeAge.count(),
                             beat.uptime.count(), beat.processors.value(), beat.isLeaving, beat.nonce,
                             beat.writer.value(), beat.sentAt.value(), encodeTime(beat.heard), beat.memory.value() });
    }
    json operator()(const WriterHeartbeat &beat) const
    {
        return json::array({ WriterHeartbeatKind, beat.token.value(), beat.address.value(), beat.configuration.value(),
                             beat.isStuck, beat.mostProcessors.value(), beat.sentAt.value(),
                             beat.heard ? beat.heard->nonce : 0, beat.heard ? beat.heard->sentAt.value() : 0 });
    }
    json operator()(const ConfigurationOffer &offer) const
    {
        return json::array({ OfferKind, json::binary({ offer.text.begin(), offer.text.end() }) });
    }
    json operator()(const ForwardedCall &call) const
    {
        return json::array({ CallKind, call.number.value(), encodeCall(call.call), call.timeLeft.count() });
    }
    json operator()(const ForwardedAnswer &answer) const
    {
        return json::array({ AnswerKind, answer.number.value(), static_cast<int>(answer.answer.outcome),
                             static_cast<int>(answer.answer.phase), answer.answer.waiting,
                             answer.answer.retryAfter.count(), answer.answer.isFinal });
    }
    json operator()(const HandOver &handOver) const
    {
        json message = json::array({ HandOverKind, handOver.token.value() });
        if (handOver.leases) {
            json listed = json::array();
            for (const RemainingLeases::OnWorker &lease : handOver.leases->listed) {
                listed.push_back({ lease.worker.value(), lease.remaining.count() });
            }
            message.push_back(handOver.leases->elsewhere.count());
            message.push_back(std::move(listed));
        }
        return message;
    }
};

Milliseconds milliseconds(const json &source)
{
    const auto value = source.get<std::int64_t>();
    if (value < -maxTimeMs || value > maxTimeMs) {
        throw json::other_error::create(501, "time out of range", nullptr);
    }
    return Milliseconds(value);
}

HeartbeatTime heartbeatTime(const json &source)
{
    return HeartbeatTime(milliseconds(source).count());
}

template<typename Enum>
Enum enumValue(const json &source, Enum last)
{
    const int value = source.get<int>();
    if (value < 0 || value > static_cast<int>(last)) {
        throw json::other_error::create(501, "enum value out of range", nullptr);
    }
    return static_cast<Enum>(value);
}

/** Fields from this place on are missing in messages of older versions. */
constexpr std::size_t nonceOfHeartbeat = 7;
constexpr std::size_t sentAtOfHeartbeat = 9;
constexpr std::size_t sentAtOfWriterHeartbeat = 6;
constexpr std::size_t leasesOfHandOver = 2;
constexpr std::size_t finalOfAnswer = 6;
constexpr std::size_t memoryOfHeartbeat = 11;

HostHeartbeat decodeHostHeartbeat(const json &source)
{
    HostHeartbeat beat { Address(source.at(1).get<std::string>()),
                         ConfigurationVersion(source.at(2).get<std::uint64_t>()),
                         milliseconds(source.at(3)),
                         milliseconds(source.at(4)),
                         Millicores(source.at(5).get<std::int64_t>()),
                         source.at(6).get<bool>(),
                         0,
                         {} };
    if (source.size() > nonceOfHeartbeat) {
        beat.nonce = source.at(nonceOfHeartbeat).get<std::uint64_t>();
        beat.writer = WriterToken(source.at(nonceOfHeartbeat + 1).get<std::uint64_t>());
    }
    if (source.size() > sentAtOfHeartbeat) {
        beat.sentAt = heartbeatTime(source.at(sentAtOfHeartbeat));
        const json &heard = source.at(sentAtOfHeartbeat + 1);
        beat.heard = heard.is_null() ? std::nullopt : std::optional(heartbeatTime(heard));
    }
    if (source.size() > memoryOfHeartbeat) {
        beat.memory = Mebibytes(source.at(memoryOfHeartbeat).get<std::int64_t>());
    }
    return beat;
}

WriterHeartbeat decodeWriterHeartbeat(const json &source)
{
    WriterHeartbeat beat { WriterToken(source.at(1).get<std::uint64_t>()),
                           Address(source.at(2).get<std::string>()),
                           ConfigurationVersion(source.at(3).get<std::uint64_t>()),
                           source.at(4).get<bool>(),
                           Millicores(source.at(5).get<std::int64_t>()),
                           {},
                           {} };
    if (source.size() > sentAtOfWriterHeartbeat) {
        beat.sentAt = heartbeatTime(source.at(sentAtOfWriterHeartbeat));
        const auto nonce = source.at(sentAtOfWriterHeartbeat + 1).get<std::uint64_t>();
        const HeartbeatTime heardAt = heartbeatTime(source.at(sentAtOfWriterHeartbeat + 2));
        beat.heard = nonce == 0 ? std::nullopt : std::optional(HeardHeartbeat { nonce, heardAt });
    }
    return beat;
}

Milliseconds remainingTime(const json &source)
{
    const Milliseconds remaining = milliseconds(source);
    if (remaining.count() < 0) {
        throw json::other_error::create(501, "negative remaining time", nullptr);
    }
    return remaining;
}

HandOver decodeHandOver(const json &source)
{
    HandOver handOver { WriterToken(source.at(1).get<std::uint64_t>()), {} };
    if (source.size() > leasesOfHandOver) {
        RemainingLeases leases { remainingTime(source.at(leasesOfHandOver)), {} };
        for (const json &row : source.at(leasesOfHandOver + 1)) {
            leases.listed.push_back({ WorkerId(row.at(0).get<std::string>()), remainingTime(row.at(1)) });
        }
        handOver.leases = std::move(leases);
    }
    return handOver;
}

JobMessage decodeMessage(const json &source)
{
    switch (source.at(0).get<int>()) {
    case HostHeartbeatKind:
        return decodeHostHeartbeat(source);
    case WriterHeartbeatKind:
        return decodeWriterHeartbeat(source);
    case OfferKind: {
        const json::binary_t &text = source.at(1).get_binary();
        return ConfigurationOffer { std::string(text.begin(), text.end()) };
    }
    case CallKind:
        return ForwardedCall { ForwardNumber(source.at(1).get<std::uint64_t>()), decodeCall(source.at(2)),
                               milliseconds(source.at(3)) };
    case AnswerKind:
        return ForwardedAnswer { ForwardNumber(source.at(1).get<std::uint64_t>()),
                                 { enumValue(source.at(2), CallOutcome::Undecided),
                                   enumValue(source.at(3), JobPhase::Cancelled), source.at(4).get<std::uint64_t>(),
                                   milliseconds(source.at(5)),
                                   source.size() > finalOfAnswer && source.at(finalOfAnswer).get<bool>() } };
    case HandOverKind:
        return decodeHandOver(source);
    default:
        throw json::other_error::create(501, "unknown message kind", nullptr);
    }
}

} // namespace

std::string encodeJobMessage(const JobMessage &message)
{
    std::string bytes;
    json::to_cbor(std::visit(Encoder {}, message), bytes);
    return bytes;
}

std::optional<JobMessage> decodeJobMessage(std::string_view bytes)
{
    try {
        const std::optional<json> source = readBinaryJson(bytes, json::input_format_t::cbor, BinaryNumbers::Integers);
        return source ? std::optional(decodeMessage(*source)) : std::nullopt;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace currantring
