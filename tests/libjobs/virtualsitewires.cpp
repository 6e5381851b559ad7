#include "jobrecord.h"
#include "log.h"
#include "storelayout.h"
#include "virtualsite_p.h"

#include <algorithm>
#include <utility>

namespace currantring {

namespace {

/** The prefix that a call lists or watches; empty for other calls. */
std::string readPrefix(const KvRequest &request)
{
    if (const auto *const list = std::get_if<KvList>(&request)) {
        return list->prefix;
    }
    const auto *const watch = std::get_if<KvWatch>(&request);
    return watch == nullptr ? std::string() : watch->prefix;
}

/** The worker of the first run that a commit to the log places; nullopt when it places none. */
std::optional<WorkerId> placedOn(const KvCommit &commit)
{
    const StoreLayout layout;
    for (const KvPut &put : commit.puts) {
        const std::optional<JobSlot> slot = layout.slotOf(put.key) > 0 ? decodeJobSlot(put.value) : std::nullopt;
        for (const JobRecord &record : slot ? slot->records : std::vector<JobRecord>()) {
            if (const auto *const placed = std::get_if<RunPlaced>(&record)) {
                return placed->worker;
            }
        }
    }
    return std::nullopt;
}

/** Whether the order goes over the connections for orders, not over the one for polls. */
bool usesOrderChannel(const WorkerOrder &order)
{
    const auto *const look = std::get_if<PollOrder>(&order);
    return look == nullptr || look->isOverOrderChannel;
}

} // namespace

JobDriver VirtualSite::makeDriver(Host &host, std::uint64_t process)
{
    JobDriver driver;
    driver.readTime = [this, &host] {
        return JobTime { m_now, wallOn(host, m_now) };
    };
    driver.callStore = [this, &host, process](const KvRequest &request, Milliseconds timeout,
                                              const JobDriver::KvHandler &then) {
        callStore(host, process, request, timeout, then);
    };
    driver.callWorker = [this, &host, process](const WorkerTarget &target, const WorkerOrder &order,
                                               Milliseconds timeout, const JobDriver::WorkerHandler &then) {
        callWorker(host, process, target, order, timeout, then);
    };
    driver.askAdmission = [this, &host, process](const StepRef &step, const std::vector<WorkerId> &workers,
                                                 Milliseconds timeout, const JobDriver::AdmissionHandler &then) {
        askAdmission(host, process, step, workers, timeout, then);
    };
    driver.sendPeer = [this, &host](const HostId &to, const JobMessage &message) {
        sendPeer(host, to, message);
    };
    driver.linkPeer = [&host](const HostId &peer, const std::optional<Address> &address) {
        if (address) {
            host.links.insert(peer);
        } else {
            host.links.erase(peer);
        }
    };
    driver.answerCaller = [this](CallerToken caller, const CallAnswer &answer) {
        VirtualCall &call = m_calls.at(caller.value());
        if (!call.answer) {
            call.answer = answer;
            call.answeredAt = m_now;
            m_judge.noteAnswer(call.call, answer, call.sentAt, m_now);
        }
    };
    driver.log = [this, &host](const LogEvent &event) {
        log(host, event);
    };
    driver.observe = [](std::string_view, const QueueName &, std::string_view, Milliseconds) {
    };
    driver.count = [this](std::string_view name, std::string_view /*reason*/) {
        ++m_counters[std::string(name)];
    };
    return driver;
}

void VirtualSite::askAdmission(Host &host, std::uint64_t process, const StepRef &step,
                               const std::vector<WorkerId> &workers, Milliseconds timeout,
                               const JobDriver::AdmissionHandler &then)
{
    const auto answer = [this, &host, process, then](TimePoint when, const AdmissionResult &result) {
        at(when, [this, &host, process, then, result] { deliver(host, process, [then, result] { then(result); }); });
    };
    const TimePoint limit = m_now + timeout;
    if (m_admission.fault() == AdmissionFault::Silent) {
        answer(limit, tl::unexpected(AdmissionFailure::NoAnswer));
        return;
    }
    const TimePoint arrival = m_now + latency();
    const bool isRefusing = m_admission.fault() == AdmissionFault::Refusing;
    const auto turn = isRefusing ? std::nullopt : m_admission.arrive(host.id, workers.size(), arrival);
    if (!turn) {
        answer(arrival + latency(), tl::unexpected(AdmissionFailure::Busy));
        return;
    }
    if (turn->answerAt > limit || m_admission.fault() == AdmissionFault::Malformed) {
        answer(std::min(turn->answerAt, limit), tl::unexpected(AdmissionFailure::NoAnswer));
        return;
    }
    at(turn->answerAt, [this, answer, turn = *turn, step, workers] {
        std::vector<WorkerEntry> entries;
        entries.reserve(workers.size());
        for (const WorkerId &worker : workers) {
            entries.push_back(workerNode(worker).worker->entry());
        }
        answer(m_now + latency(), m_admission.decide(turn, step, entries));
    });
}

void VirtualSite::handleRunEvent(const WorkerRunEvent &event)
{
    if (event.kind == WorkerRunEvent::Kind::Started) {
        m_admission.noteStart(event.ticket);
    }
    if (event.kind == WorkerRunEvent::Kind::LeaseExtended && m_isOrderOfFormerLife) {
        // A time on the former life's clock; the page doesn't allow the new life to carry out such an order.
        return;
    }
    m_judge.noteFact(event);
    const bool endsGang = event.kind == WorkerRunEvent::Kind::Ended && event.isGangMember
        && event.end != ReportedEnd::GangBroken && !m_isEndingGang;
    if (!endsGang) {
        return;
    }
    const GangRef gang { event.run.task.step, event.run.number };
    const ReportedEnd others = event.end == ReportedEnd::Done ? ReportedEnd::Done : ReportedEnd::GangBroken;
    // Members on other workers end at once, before one whose work ends at the same time could report another end.
    m_isEndingGang = true;
    for (const auto &node : m_workers) {
        if (node->worker->entry().id != event.worker) {
            node->worker->endGang(gang, others, m_now);
        }
    }
    m_isEndingGang = false;
    at(m_now, [this, gang, others, worker = event.worker] { workerNode(worker).worker->endGang(gang, others, m_now); });
}

/** Starts the work of the gangs whose members are all running. */
void VirtualSite::startCompleteGangs()
{
    std::map<GangRef, std::pair<std::size_t, std::size_t>> gangs;
    for (const auto &node : m_workers) {
        if (!node->isDown) {
            for (const auto &[run, size] : node->worker->waitingGangMembers()) {
                auto &[present, wanted] = gangs[{ run.task.step, run.number }];
                ++present;
                wanted = size;
            }
        }
    }
    for (const auto &[gang, count] : gangs) {
        for (const auto &node : m_workers) {
            if (count.first == count.second && !node->isDown) {
                node->worker->startGang(gang, m_now);
            }
        }
    }
}

void VirtualSite::log(const Host &host, const LogEvent &event)
{
    ++m_logCounts[event.name];
    if (m_isRecording) {
        m_transcript.push_back(std::to_string(m_now.time_since_epoch().count()) + " " + host.id.value() + " "
                               + formatLogEvent(event));
    }
}

void VirtualSite::deliver(Host &host, std::uint64_t process, std::function<void()> body)
{
    if (host.process != process || !host.isAlive) {
        return;
    }
    if (!host.isResponsive()) {
        host.inbox.push_back(std::move(body));
        return;
    }
    host.context->setTime(m_now, wallOn(host, m_now));
    body();
}

Milliseconds VirtualSite::latency()
{
    return Milliseconds(1 + static_cast<std::int64_t>(uniformBelow(m_random, 3)));
}

void VirtualSite::callStore(Host &host, std::uint64_t process, const KvRequest &request, Milliseconds timeout,
                            const JobDriver::KvHandler &then)
{
    const auto isFinished = std::make_shared<bool>(false);
    const auto finish = [this, &host, process, then, isFinished](const KvResult &result) {
        if (!std::exchange(*isFinished, true)) {
            deliver(host, process, [then, result] { then(result); });
        }
    };
    at(m_now + timeout, [finish] { finish(tl::unexpected(KvError { KvErrorKind::Unknown, {} })); });
    ++m_reads[readPrefix(request)];
    at(m_now + latency(), [this, &host, request, finish] {
        const bool isWatch = std::holds_alternative<KvWatch>(request);
        if (m_silentPrefixes.contains(readPrefix(request))) {
            return;
        }
        if (host.storeFault == StoreFault::Silent || (host.storeFault == StoreFault::WatchesSilent && isWatch)) {
            return;
        }
        if (host.storeFault == StoreFault::Refusing) {
            finish(tl::unexpected(KvError { KvErrorKind::Refused, {} }));
            return;
        }
        const auto arrive = [this, &host, request, finish] {
            arriveAtStore(host, request, finish);
        };
        if (host.storeFault == StoreFault::Holding) {
            host.heldCalls.push_back(arrive);
            return;
        }
        at(m_now + m_storeDelay, arrive);
    });
}

void VirtualSite::arriveAtStore(Host &host, const KvRequest &request, const JobDriver::KvHandler &then)
{
    const auto *const watch = std::get_if<KvWatch>(&request);
    const bool isAnswered =
        watch == nullptr || (!m_areWatchesDeaf && (m_store.hasChanges(*watch) || m_store.isCompacted(*watch)));
    if (!isAnswered) {
        const PendingWatch &pending = m_pendingWatches.emplace_back(PendingWatch { *watch, then });
        at(m_now + watch->wait, [this, request, then, isDropped = pending.isDropped] {
            if (!m_areWatchesDeaf && !*isDropped) {
                then(m_store.execute(request, m_now));
            }
        });
        return;
    }
    const std::size_t beyondLimits = m_store.commitsBeyondLimits();
    const KvResult result = m_store.execute(request, m_now);
    if (m_store.commitsBeyondLimits() > beyondLimits) {
        m_judge.noteCommitBeyondLimits(m_now);
    }
    const auto *const commit = std::get_if<KvCommit>(&request);
    if (commit != nullptr && result && !handleCommitted(host, *commit, result, then)) {
        return;
    }
    if (commit != nullptr && uniformUnit(m_random) < m_storeReplyLoss) {
        return;
    }
    at(m_now + latency(), [then, result] { then(result); });
}

bool VirtualSite::handleCommitted(Host &host, const KvCommit &commit, const KvResult &result,
                                  const JobDriver::KvHandler &then)
{
    const StoreLayout layout;
    const auto claim = std::ranges::find(commit.puts, layout.claimKey(), &KvPut::key);
    if (claim != commit.puts.end()) {
        m_judge.noteClaim(*decodeClaim({ claim->key, claim->value, result->revision, false }), m_now);
        if (const auto noteClaim = std::exchange(m_onNextClaim, {})) {
            pauseHost(host.id);
            noteClaim(host.id);
        }
    }
    const std::optional<WorkerId> worker = host.placementFault ? placedOn(commit) : std::nullopt;
    if (!worker) {
        return true;
    }
    const auto [fault, noteWorker] = *std::exchange(host.placementFault, std::nullopt);
    setStoreFault(host.id, fault.store);
    noteWorker(*worker);
    if (fault.answerAfter) {
        at(m_now + *fault.answerAfter, [then, result] { then(result); });
    }
    if (fault.isPaused) {
        pauseHost(host.id);
        at(m_now + latency(), [then, result] { then(result); });
    }
    return false;
}

void VirtualSite::callWorker(Host &host, std::uint64_t process, const WorkerTarget &target, const WorkerOrder &order,
                             Milliseconds timeout, const JobDriver::WorkerHandler &then)
{
    const WorkerId &worker = target.id;
    const auto isFinished = std::make_shared<bool>(false);
    const bool isForOrders = usesOrderChannel(order);
    const std::optional<OrderChannel> channel =
        isForOrders ? findOrderChannel(host, process, target) : std::optional<OrderChannel>();
    const auto finish = [this, &host, process, worker, isForOrders, channel, then,
                         isFinished](const WorkerResult &result) {
        if (std::exchange(*isFinished, true)) {
            return;
        }
        if (!result && result.error().failure == WorkerFailure::Unknown) {
            WorkerNode &node = workerNode(worker);
            const auto known = node.orderChannels.find({ host.id, process });
            if (!isForOrders) {
                ++node.channels[host.id];
            } else if (channel && known != node.orderChannels.end() && known->second.mark == channel->mark) {
                node.orderChannels.erase(known);
            }
        }
        deliver(host, process, [then, result] { then(result); });
    };
    const auto fail = [finish](WorkerFailure failure) {
        finish(tl::unexpected(WorkerRefusal { failure, {} }));
    };
    at(m_now + timeout, [fail] { fail(WorkerFailure::Unknown); });
    if (entryOf(worker) == nullptr) {
        at(m_now, [fail] { fail(WorkerFailure::NotSent); });
        return;
    }
    const auto *const look = std::get_if<PollOrder>(&order);
    const bool isPollChannelGone =
        look != nullptr && look->onlyOver && look->onlyOver->value() != workerNode(worker).channels[host.id];
    const bool isStart = std::holds_alternative<StartOrder>(order);
    if (isPollChannelGone || (isStart && (!channel || channel->mark > target.knownLife))) {
        at(m_now, [fail] { fail(WorkerFailure::NotSent); });
        return;
    }
    at(m_now + latency(),
       [this, &host, process, worker, order, isForOrders, channel, finish, fail, sentAt = m_lastChannel] {
           WorkerNode &node = workerNode(worker);
           if (m_workerCuts.contains({ host.id, worker }) || (node.isDown && node.isSilent)) {
               return;
           }
           if (node.isDown) {
               fail(WorkerFailure::NotSent);
               return;
           }
           if (channel && channel->life != node.worker->entry().life) {
               return;
           }
           const bool isLook = std::holds_alternative<PollOrder>(order);
           // A connection that is opened for the order was established when the order was sent.
           const ChannelMark channels = isForOrders && !channel ? openOrderChannel(host, process, node).mark : sentAt;
           if (!isLook && uniformUnit(m_random) < m_lateOrderProbability) {
               const Milliseconds late(300 + static_cast<std::int64_t>(uniformBelow(m_random, 11'700)));
               at(m_now + late, [this, worker, order, life = node.worker->entry().life] {
                   if (!workerNode(worker).isDown) {
                       m_isOrderOfFormerLife = workerNode(worker).worker->entry().life != life;
                       static_cast<void>(workerNode(worker).worker->execute(order, m_now));
                       m_isOrderOfFormerLife = false;
                   }
               });
               return;
           }
           arriveAtWorker(host, worker, order, [finish, channels](WorkerResult result) {
               if (result) {
                   result->establishedBefore = channels;
               }
               finish(result);
           });
       });
}

std::optional<VirtualSite::OrderChannel> VirtualSite::findOrderChannel(const Host &host, std::uint64_t process,
                                                                       const WorkerTarget &target)
{
    WorkerNode &node = workerNode(target.id);
    const auto known = node.orderChannels.find({ host.id, process });
    if (known == node.orderChannels.end()) {
        return std::nullopt;
    }
    if (known->second.mark <= target.formerLives) {
        node.orderChannels.erase(known);
        return std::nullopt;
    }
    return known->second;
}

VirtualSite::OrderChannel VirtualSite::openOrderChannel(const Host &host, std::uint64_t process, WorkerNode &node)
{
    m_lastChannel = ChannelMark(m_lastChannel.value() + 1);
    return node.orderChannels[{ host.id, process }] = { m_lastChannel, node.worker->entry().life };
}

void VirtualSite::arriveAtWorker(Host &host, const WorkerId &worker, const WorkerOrder &order,
                                 const JobDriver::WorkerHandler &then)
{
    if (std::holds_alternative<StartOrder>(order)) {
        m_judge.noteStartOrder(worker, m_now);
    }
    const WorkerResult result = workerNode(worker).worker->execute(order, m_now);
    const auto reply = [this, &host, worker, then](WorkerResult answer) {
        if (answer) {
            answer->channel = WorkerChannel(workerNode(worker).channels[host.id]);
        }
        at(m_now + latency(), [this, &host, worker, then, answer] {
            if (!m_workerCuts.contains({ host.id, worker })) {
                then(answer);
            }
        });
    };
    const auto *const look = std::get_if<PollOrder>(&order);
    const bool isHeld =
        look != nullptr && result && look->wait.count() > 0 && !workerNode(worker).worker->hasEnds(look->acknowledged);
    if (!isHeld) {
        const bool isLost = look == nullptr && uniformUnit(m_random) < m_orderAnswerLoss;
        if (!isLost) {
            reply(result);
        }
        return;
    }
    const auto isFinished = std::make_shared<bool>(false);
    const auto answerPoll = [this, worker, reply, held = *look, isFinished,
                             life = workerNode(worker).worker->entry().life] {
        if (std::exchange(*isFinished, true) || workerNode(worker).worker->entry().life != life) {
            return;
        }
        PollOrder again = held;
        again.leaseUntil.reset();
        reply(workerNode(worker).worker->execute(again, m_now));
    };
    m_heldPolls.push_back({ worker, *look, answerPoll });
    at(m_now + look->wait, answerPoll);
}

void VirtualSite::sendPeer(Host &host, const HostId &to, const JobMessage &message)
{
    const auto target = std::ranges::find_if(m_hosts, [&to](const auto &peer) { return peer->id == to; });
    if (target == m_hosts.end() || !host.links.contains(to) || m_hostCuts.contains({ host.id, to })) {
        return;
    }
    // Encodes and decodes each message, so that the tests cover the wire format as well.
    const std::optional<JobMessage> decoded = decodeJobMessage(encodeJobMessage(message));
    Host &receiver = **target;
    at(m_now + latency(), [this, &receiver, process = receiver.process, from = host.id, decoded] {
        deliver(receiver, process, [&receiver, from, decoded] { receiver.node->handlePeer(from, *decoded); });
    });
}

} // namespace currantring
