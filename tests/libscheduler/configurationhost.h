#pragma once

#include "configurationkeeper.h"

#include <boost/test/unit_test.hpp>

namespace currantring {

/** What the store does with a call. */
enum class Fault {
    None,
    /** Nothing reaches it. */
    NotSent,
    /** Writes take effect, no reply comes back. */
    ReplyLost,
    /** Nothing takes effect, the caller can't know. */
    RequestLost,
    /** The call is never completed. */
    Silent,
};

/** A key-value service in virtual time for one or more hosts. */
struct Store
{
    std::map<std::string, StoreEntry> entries;
    std::uint64_t revision = 0;
    Fault reads = Fault::None;
    Fault writes = Fault::None;
    Fault watches = Fault::None;

    StoreResult serve(const StoreRequest &request)
    {
        if (const auto *put = std::get_if<StorePut>(&request)) {
            return write(*put);
        }
        StoreReply reply;
        const auto found = entries.find(std::get<StoreGet>(request).key);
        if (found != entries.end()) {
            reply.entries.push_back(found->second);
        }
        return reply;
    }

    StoreResult write(const StorePut &put)
    {
        const auto found = entries.find(put.key);
        const StoreVersion present = found == entries.end() ? StoreVersion() : found->second.version;
        if (put.expected && *put.expected != present) {
            return tl::unexpected(StoreError::Conflict);
        }
        entries[put.key] = { put.key, put.value, StoreVersion(++revision) };
        StoreReply reply;
        reply.version = StoreVersion(revision);
        return reply;
    }

    /** The result of a call that isn't a watch, or nullopt when none comes. */
    std::optional<StoreResult> answer(const StoreRequest &request)
    {
        const bool isWrite = std::holds_alternative<StorePut>(request);
        const Fault fault = isWrite ? writes : reads;
        switch (fault) {
        case Fault::None:
            return serve(request);
        case Fault::NotSent:
            return tl::unexpected(StoreError::NotSent);
        case Fault::ReplyLost:
            serve(request);
            return tl::unexpected(StoreError::Unknown);
        case Fault::RequestLost:
            return tl::unexpected(StoreError::Unknown);
        case Fault::Silent:
            break;
        }
        return std::nullopt;
    }
};

/** One host's keeper with its context and what it brought into force. */
struct Host
{
    explicit Host(Store &hostStore, std::uint64_t seed = 1)
        : store(hostStore)
        , context(seed)
        , keeper(context, [this](const Configuration &, const ConfigurationRecord &record) {
            versions.push_back(record.version.value());
        })
    {
    }

    struct Watch
    {
        CallId call;
        StoreWatch request;
        TimePoint due;
    };

    void carryOut(const StoreCallAction &action)
    {
        ++calls;
        if (const auto *watch = std::get_if<StoreWatch>(&action.request)) {
            if (store.watches == Fault::None) {
                open.push_back({ action.call, *watch, context.now() + watch->wait });
            } else if (store.watches == Fault::NotSent) {
                context.completeStore(action.call, tl::unexpected(StoreError::NotSent));
            }
        } else if (const auto result = store.answer(action.request)) {
            context.completeStore(action.call, *result);
        }
    }

    void answerWatches()
    {
        std::vector<Watch> rest;
        for (const Watch &watch : std::exchange(open, {})) {
            StoreReply reply;
            reply.revision = StoreRevision(store.revision);
            for (const auto &[key, entry] : store.entries) {
                if (key.starts_with(watch.request.prefix) && entry.version.value() > watch.request.after.value()) {
                    reply.entries.push_back(entry);
                }
            }
            if (!reply.entries.empty() || watch.due <= context.now()) {
                context.completeStore(watch.call, reply);
            } else {
                rest.push_back(watch);
            }
        }
        open.insert(open.end(), rest.begin(), rest.end());
    }

    void settle()
    {
        for (bool busy = true; busy;) {
            answerWatches();
            const std::vector<Action> actions = context.takeActions();
            busy = !actions.empty();
            for (const Action &action : actions) {
                if (const auto *call = std::get_if<StoreCallAction>(&action)) {
                    carryOut(*call);
                } else if (const auto *send = std::get_if<PeerSendAction>(&action)) {
                    sent.push_back(*send);
                } else if (const auto *log = std::get_if<LogAction>(&action)) {
                    logged.push_back(log->event.name);
                }
            }
        }
    }

    void run(Milliseconds time, std::int64_t wallStep = 0)
    {
        settle();
        for (const TimePoint end = context.now() + time; context.now() < end;) {
            context.advance(context.now() + Milliseconds(10),
                            WallTime(context.now().time_since_epoch().count() + wallStep));
            settle();
        }
    }

    std::optional<CallerReply> apply(const ApplyConfiguration &change, Milliseconds time = Milliseconds(6000))
    {
        std::optional<CallerReply> reply;
        int replies = 0;
        keeper.apply(change, [&](const CallerReply &seen) {
            reply = seen;
            ++replies;
        });
        run(time);
        BOOST_TEST(replies <= 1);
        return reply;
    }

    Store &store;
    Context context;
    ConfigurationKeeper keeper;
    std::vector<std::uint64_t> versions;
    std::vector<Watch> open;
    std::vector<PeerSendAction> sent;
    std::vector<std::string> logged;
    std::size_t calls = 0;
};

} // namespace currantring
