#include "log.h"
#include "virtualsite_p.h"

#include <algorithm>
#include <utility>

namespace currantring {

namespace {

constexpr Milliseconds admissionTime { 50 };
constexpr Milliseconds admissionValidity { 3000 };

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
    driver.callWorker = [this, &host, process](const WorkerId &worker, const Address & /*address*/,
                                               const WorkerOrder &order, Milliseconds timeout,
                                               const JobDriver::WorkerHandler &then) {
        callWorker(host, process, worker, order, timeout, then);
    };
    driver.askAdmission = [this, &host, process](const StepRef &step, const std::vector<WorkerId> &workers,
                                                 Milliseconds, const JobDriver::AdmissionHandler &then) {
        at(m_now + admissionTime, [this, &host, process, step, workers, then] {
            AdmissionAnswer answer;
            answer.validity = admissionValidity;
            for (const WorkerId &worker : workers) {
                const WorkerEntry &entry = place(worker).worker->entry();
                if (mayAdmit(step, entry)) {
                    answer.tickets.emplace(worker, ticketFor(step, entry));
                }
            }
            deliver(host, process, [then, answer] { then(answer); });
        });
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
    driver.count = [](std::string_view, std::string_view) {
    };
    return driver;
}

void VirtualSite::noteFact(const WorkerFact &fact)
{
    m_judge.noteFact(fact);
    if (fact.kind != WorkerFact::Kind::Ended || !fact.isMember || fact.end == ListedEnd::Broken) {
        return;
    }
    const GangRef gang { fact.run.task.step, fact.run.number };
    const ListedEnd others = fact.end == ListedEnd::Done ? ListedEnd::Done : ListedEnd::Broken;
    at(m_now, [this, gang, others] {
        for (const auto &known : m_places) {
            known->worker->endGang(gang, others, m_now);
        }
    });
}

/** Lets the gangs work whose members are all there. */
void VirtualSite::settleGangs()
{
    std::map<GangRef, std::pair<std::size_t, std::size_t>> gangs;
    for (const auto &known : m_places) {
        if (!known->isDown) {
            for (const auto &[run, size] : known->worker->waitingMembers()) {
                auto &[present, wanted] = gangs[{ run.task.step, run.number }];
                ++present;
                wanted = size;
            }
        }
    }
    for (const auto &[gang, count] : gangs) {
        for (const auto &known : m_places) {
            if (count.first == count.second && !known->isDown) {
                known->worker->beginGang(gang, m_now);
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
    if (!host.isInTime()) {
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
    const auto isOver = std::make_shared<bool>(false);
    const auto finish = [this, &host, process, then, isOver](const KvResult &result) {
        if (!std::exchange(*isOver, true)) {
            deliver(host, process, [then, result] { then(result); });
        }
    };
    at(m_now + timeout, [finish] { finish(tl::unexpected(KvError { KvErrorKind::Unknown, {} })); });
    at(m_now + latency(), [this, &host, process, request, finish] {
        if (host.storeTrouble == StoreTrouble::Silent) {
            return;
        }
        if (host.storeTrouble == StoreTrouble::Refusing) {
            finish(tl::unexpected(KvError { KvErrorKind::Refused, {} }));
            return;
        }
        at(m_now + m_storeDelay,
           [this, &host, process, request, finish] { arriveAtStore(host, process, request, finish); });
    });
}

void VirtualSite::arriveAtStore(Host & /*host*/, std::uint64_t /*process*/, const KvRequest &request,
                                const JobDriver::KvHandler &then)
{
    if (const auto *watch = std::get_if<KvWatch>(&request); watch != nullptr && !m_store.hasNews(*watch)) {
        m_watches.push_back({ *watch, then });
        at(m_now + watch->wait, [this, request, then] { then(m_store.execute(request, m_now)); });
        return;
    }
    const KvResult result = m_store.execute(request, m_now);
    const bool isWrite = std::holds_alternative<KvCommit>(request);
    if (isWrite && uniformUnit(m_random) < m_lostReplies) {
        return;
    }
    at(m_now + latency(), [then, result] { then(result); });
}

void VirtualSite::callWorker(Host &host, std::uint64_t process, const WorkerId &worker, const WorkerOrder &order,
                             Milliseconds timeout, const JobDriver::WorkerHandler &then)
{
    const auto isOver = std::make_shared<bool>(false);
    const auto finish = [this, &host, process, worker, order, then, isOver](const WorkerResult &result) {
        if (std::exchange(*isOver, true)) {
            return;
        }
        const bool isLook = std::holds_alternative<LookOrder>(order);
        if (!result && result.error().failure == WorkerFailure::Unknown && isLook) {
            ++place(worker).channels[host.id];
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
    const auto *const look = std::get_if<LookOrder>(&order);
    if (look != nullptr && look->onlyOver && look->onlyOver->value() != place(worker).channels[host.id]) {
        at(m_now, [fail] { fail(WorkerFailure::NotSent); });
        return;
    }
    at(m_now + latency(), [this, &host, process, worker, order, finish, fail] {
        Place &there = place(worker);
        if (m_workerCuts.contains({ host.id, worker }) || (there.isDown && there.isSilent)) {
            return;
        }
        if (there.isDown) {
            fail(WorkerFailure::NotSent);
            return;
        }
        const bool isLook = std::holds_alternative<LookOrder>(order);
        if (!isLook && uniformUnit(m_random) < m_lateOrders) {
            const Milliseconds late(300 + static_cast<std::int64_t>(uniformBelow(m_random, 11'700)));
            at(m_now + late, [this, worker, order] {
                if (!place(worker).isDown) {
                    static_cast<void>(place(worker).worker->execute(order, m_now));
                }
            });
            return;
        }
        arriveAtWorker(host, process, worker, order, finish);
    });
}

void VirtualSite::arriveAtWorker(Host &host, std::uint64_t /*process*/, const WorkerId &worker,
                                 const WorkerOrder &order, const JobDriver::WorkerHandler &then)
{
    const WorkerResult result = place(worker).worker->execute(order, m_now);
    const auto reply = [this, &host, worker, then](WorkerResult made) {
        if (made) {
            made->channel = WorkerChannel(place(worker).channels[host.id]);
        }
        at(m_now + latency(), [this, &host, worker, then, made] {
            if (!m_workerCuts.contains({ host.id, worker })) {
                then(made);
            }
        });
    };
    const auto *const look = std::get_if<LookOrder>(&order);
    const bool isHeld =
        look != nullptr && result && look->wait.count() > 0 && !place(worker).worker->hasEnds(look->acknowledged);
    if (!isHeld) {
        const bool isLost = look == nullptr && uniformUnit(m_random) < m_lostOrderAnswers;
        if (!isLost) {
            reply(result);
        }
        return;
    }
    const auto isOver = std::make_shared<bool>(false);
    const auto answerHold = [this, worker, reply, held = *look, isOver, life = place(worker).worker->entry().life] {
        if (std::exchange(*isOver, true) || place(worker).worker->entry().life != life) {
            return;
        }
        LookOrder again = held;
        again.leaseUntil.reset();
        reply(place(worker).worker->execute(again, m_now));
    };
    m_holds.push_back({ worker, *look, answerHold });
    at(m_now + look->wait, answerHold);
}

void VirtualSite::sendPeer(Host &host, const HostId &to, const JobMessage &message)
{
    const auto target = std::ranges::find_if(m_hosts, [&to](const auto &known) { return known->id == to; });
    if (target == m_hosts.end() || !host.links.contains(to) || m_hostCuts.contains({ host.id, to })) {
        return;
    }
    // Messages go through their wire form, so that it is tested along.
    const std::optional<JobMessage> decoded = decodeJobMessage(encodeJobMessage(message));
    Host &there = **target;
    at(m_now + latency(), [this, &there, process = there.process, from = host.id, decoded] {
        deliver(there, process, [&there, from, decoded] { there.node->handlePeer(from, *decoded); });
    });
}

} // namespace currantring
