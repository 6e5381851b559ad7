#include "entryhosts.h"
#include "jobmessage.h"
#include "leaseauthority.h"
#include "leasesuccession.h"
#include "workerlease.h"

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

using namespace currantring;

namespace {

constexpr Milliseconds lease { 4500 };
constexpr Milliseconds confirmation { 3000 };
constexpr Milliseconds longestLease { 10'000 };
constexpr TimePoint startedAt { Milliseconds(1'000'000) };
constexpr std::uint64_t selfNonce = 7;
constexpr std::uint64_t formerNonce = 5;
constexpr StoreRevision formerRevision { 40 };
const HostId self("self");
const HostId former("former");

/** What a host waits that knows nothing of the former writer's leases. */
const Milliseconds fallback = confirmation + WorkerLease::validityOf(longestLease);
const Milliseconds granted = WorkerLease::validityOf(lease);

LeaseSuccession makeSuccession()
{
    return { self, selfNonce, { lease, confirmation, {} }, longestLease, startedAt };
}

WriterClaim formerClaim(const HostId &host = former, Milliseconds inherited = Milliseconds(0))
{
    return { WriterToken(formerRevision.value()),
             host,
             Address("10.0.0.1:1"),
             formerNonce,
             StoreRevision(3),
             LeaseTerms { lease, confirmation, inherited, {} } };
}

/** This host's claim over the former writer's, with the terms that it would write at @p now. */
WriterClaim ownClaim(const LeaseSuccession &succession, TimePoint now)
{
    return { WriterToken(50), self, Address(), selfNonce, formerRevision, succession.termsFor(formerRevision, now) };
}

std::optional<WriterClaim> decodeText(const std::string &text)
{
    return decodeClaim({ "claim", text, StoreRevision(12), false });
}

/** The last contacts between a writer and the host that replaces it; all times count from startedAt. */
struct LastContacts
{
    /** When the host sent the last heartbeat that reached the writer. */
    Milliseconds hostHeard {};
    /** When the writer sent the last heartbeat that reached the host. */
    Milliseconds writerHeard {};
    /** When the host claims; the writer's claim was proven until then. */
    Milliseconds claimed {};
};

constexpr HostSupport sharedSupport { Milliseconds(500), Milliseconds(1500) };

/** How long the host waits for the writer's leases. */
Milliseconds waitOf(const LastContacts &contacts)
{
    LeaseSuccession succession = makeSuccession();
    WriterClaim claim = formerClaim();
    claim.leases->support = sharedSupport;
    succession.noteClaim(claim, startedAt);
    const Milliseconds bothHeard = std::min(contacts.hostHeard, contacts.writerHeard);
    succession.noteHeartbeat(claim.token, startedAt + bothHeard, startedAt + contacts.writerHeard);
    return succession.termsFor(formerRevision, startedAt + contacts.claimed).inherited;
}

/** What the writer may still grant at @p now, as long as it hasn't learnt of the claim. */
LeaseAuthority authorityAt(const LastContacts &contacts, TimePoint now)
{
    EntryHosts hosts;
    HostHeartbeat beat;
    beat.writer = WriterToken(formerRevision.value());
    const Milliseconds bothHeard = std::min(contacts.hostHeard, contacts.writerHeard);
    beat.heard = HeartbeatTime((startedAt + bothHeard).time_since_epoch().count());
    hosts.recordHeartbeat(self, beat, startedAt + contacts.hostHeard);
    hosts.removeSilent(now);
    const std::optional<HeartbeatTime> heard = hosts.heardByAll(beat.writer);
    const auto heardAt = heard ? std::optional(TimePoint(Milliseconds(heard->value()))) : std::nullopt;
    return { { lease, confirmation, {}, sharedSupport },
             { [now] { return now; }, [provenAt = startedAt + contacts.claimed] { return std::optional(provenAt); },
               [heardAt] {
                   return heardAt;
               } } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(Succession)

BOOST_AUTO_TEST_CASE(claimIsDecodedAsEncoded)
{
    const WriterClaim claim = formerClaim(former, Milliseconds(900));
    const std::optional<WriterClaim> decoded = decodeText(encodeClaim(claim));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((decoded->token == WriterToken(12)));
    BOOST_TEST((decoded->host == claim.host && decoded->address == claim.address && decoded->nonce == claim.nonce));
    BOOST_TEST((decoded->replaced == claim.replaced));
    BOOST_REQUIRE(decoded->leases.has_value());
    BOOST_TEST((decoded->leases->inherited == Milliseconds(900)));
}

/** An entry of another writer or version must end no process, and must not shorten a wait. */
BOOST_AUTO_TEST_CASE(invalidClaimsAreRefused)
{
    for (const char *const text :
         { "", "5", "[]", "{}", "null", "{\"host\":5}", "{\"host\":\"h\",\"address\":3,\"nonce\":1}",
           "{\"host\":\"h\",\"address\":\"a\",\"nonce\":\"x\"}", "{\"host\":\"h\",\"address\":\"a\"", "\xff\xfe" }) {
        BOOST_TEST(!decodeText(text).has_value(), text);
    }
    const std::string older = R"({"host":"h","address":"a","nonce":1)";
    for (const char *const leases :
         { "", R"(,"lease_ms":4500)", R"(,"lease_ms":-1,"confirmation_ms":1,"inherited_ms":1)",
           R"(,"lease_ms":1e99,"confirmation_ms":1,"inherited_ms":1)",
           R"(,"lease_ms":"1","confirmation_ms":1,"inherited_ms":1)",
           R"(,"lease_ms":1,"confirmation_ms":1,"inherited_ms":999999999)" }) {
        const std::optional<WriterClaim> claim = decodeText(older + leases + "}");
        BOOST_TEST(claim.has_value(), leases);
        BOOST_TEST((claim && !claim->leases), leases);
    }
    BOOST_TEST((decodeSettled("44") == WriterToken(44)));
    for (const char *const text : { "", "x", "44x", "-1", "99999999999999999999999" }) {
        BOOST_TEST((decodeSettled(text) == WriterToken(0)), text);
    }
}

BOOST_AUTO_TEST_CASE(waitFollowsFromWhatIsKnownOfTheFormerWriter)
{
    const TimePoint now = startedAt + Milliseconds(60'000);
    LeaseSuccession succession = makeSuccession();
    BOOST_TEST((succession.termsFor(StoreRevision(0), now).inherited == Milliseconds(0)), "no earlier writer");
    BOOST_TEST((succession.termsFor(formerRevision, now).inherited == fallback), "claim not seen");

    succession.noteClaim(formerClaim(), now);
    BOOST_TEST((succession.termsFor(formerRevision, now).inherited == confirmation + granted), "claim with terms");
    BOOST_TEST((succession.termsFor(StoreRevision(41), now).inherited == fallback), "another claim");

    WriterClaim older = formerClaim();
    older.leases.reset();
    succession.noteClaim(older, now);
    BOOST_TEST((succession.termsFor(formerRevision, now).inherited == fallback), "claim of an older version");

    succession.noteClaim(formerClaim(self), startedAt);
    BOOST_TEST(
        (succession.termsFor(formerRevision, startedAt + Milliseconds(100)).inherited == granted - Milliseconds(100)),
        "an earlier process of this host, which ended before this one started");
    BOOST_TEST((succession.termsFor(formerRevision, now).inherited == Milliseconds(0)), "long ago");

    WriterClaim longer = formerClaim();
    longer.leases->lease = 3 * longestLease;
    succession.noteClaim(longer, now);
    BOOST_TEST((succession.termsFor(formerRevision, now).inherited == fallback), "workers shorten longer leases");
}

/** Leases of a writer before the former one, which was short-lived, count until the former says that they are over. */
BOOST_AUTO_TEST_CASE(leasesOfEarlierWritersCount)
{
    const TimePoint seenAt = startedAt + Milliseconds(10'000);
    const TimePoint now = seenAt + Milliseconds(1000);
    LeaseSuccession succession = makeSuccession();
    succession.noteClaim(formerClaim(former, fallback), seenAt);
    BOOST_TEST((succession.termsFor(formerRevision, now).inherited == fallback - Milliseconds(1000)));
    succession.noteSettled(WriterToken(39));
    BOOST_TEST((succession.termsFor(formerRevision, now).inherited == fallback - Milliseconds(1000)));
    succession.noteSettled(WriterToken(formerRevision.value()));
    BOOST_TEST((succession.termsFor(formerRevision, now).inherited == confirmation + granted));
}

BOOST_AUTO_TEST_CASE(handOverTellsTheRemainingLeases)
{
    const TimePoint at = startedAt + Milliseconds(5000);
    const TimePoint now = at + Milliseconds(20);
    LeaseSuccession succession = makeSuccession();
    succession.noteClaim(formerClaim(), startedAt);
    succession.noteHandOver(WriterToken(formerRevision.value()),
                            { granted, { { WorkerId("silent"), Milliseconds(700) }, { WorkerId("young"), fallback } } },
                            at);
    const WriterClaim own = ownClaim(succession, now);
    BOOST_TEST((own.leases->inherited == fallback - Milliseconds(20)));
    const InheritedLeases inherited = succession.inheritedBy(own, now);
    BOOST_TEST((inherited.on(WorkerId("silent")) == at + Milliseconds(700)));
    BOOST_TEST((inherited.on(WorkerId("young")) == at + fallback));
    BOOST_TEST((inherited.on(WorkerId("other")) == at + granted));
    // The claim has replaced another one than the sender's.
    WriterClaim overAnother = own;
    overAnother.replaced = StoreRevision(41);
    overAnother.leases = succession.termsFor(overAnother.replaced, now);
    BOOST_TEST((succession.inheritedBy(overAnother, now).on(WorkerId("silent")) == now + fallback));
}

BOOST_AUTO_TEST_CASE(laterProcessOnTheFormerHostEndsTheWait)
{
    const TimePoint now = startedAt + Milliseconds(20'000);
    const TimePoint restart = now - Milliseconds(1500);
    LeaseSuccession succession = makeSuccession();
    succession.noteClaim(formerClaim(), startedAt);
    const WriterClaim own = ownClaim(succession, now);
    BOOST_TEST((succession.limitByProcess(own, former, 6, restart, now) == restart + granted));
    BOOST_TEST(!succession.limitByProcess(own, former, formerNonce, restart, now).has_value());
    BOOST_TEST(!succession.limitByProcess(own, HostId("other"), 6, restart, now).has_value());
    WriterClaim overAnother = own;
    overAnother.replaced = StoreRevision(41);
    BOOST_TEST(!succession.limitByProcess(overAnother, former, 6, restart, now).has_value());
}

/** What a silent writer may have done depends on whether it knew that this host listens. */
BOOST_AUTO_TEST_CASE(silenceOfAWriterThatHeardThisHostShortensTheWait)
{
    constexpr HostSupport support { Milliseconds(500), Milliseconds(1500) };
    const TimePoint beatAt = startedAt + Milliseconds(10'000);
    const auto waitAfter = [&](Milliseconds silence, bool isHeard, bool hasSupport, WriterToken token) {
        LeaseSuccession succession = makeSuccession();
        WriterClaim claim = formerClaim();
        if (hasSupport) {
            claim.leases->support = support;
        }
        succession.noteClaim(claim, startedAt);
        const auto heardAt = isHeard ? std::optional(beatAt - Milliseconds(300)) : std::nullopt;
        succession.noteHeartbeat(token, heardAt, beatAt);
        return succession.termsFor(formerRevision, beatAt + silence).inherited;
    };
    const WriterToken token(formerRevision.value());
    const Milliseconds whole = confirmation + granted;
    BOOST_TEST((waitAfter(Milliseconds(400), true, true, token) == Milliseconds(1100) + granted));
    BOOST_TEST((waitAfter(Milliseconds(1200), true, true, token) == support.unsupported + granted));
    BOOST_TEST((waitAfter(Milliseconds(6600), true, true, token) == support.unsupported + granted));
    BOOST_TEST((waitAfter(Milliseconds(6800), true, true, token) == whole), "the writer may go on without this host");
    BOOST_TEST((waitAfter(Milliseconds(1200), false, true, token) == whole), "not heard by the writer");
    BOOST_TEST((waitAfter(Milliseconds(1200), true, false, token) == whole), "a writer of an older version");
    BOOST_TEST((waitAfter(Milliseconds(1200), true, true, WriterToken(39)) == whole), "heard by another writer");

    WriterClaim claim = formerClaim();
    claim.leases->support = support;
    const std::optional<WriterClaim> decoded = decodeText(encodeClaim(claim));
    BOOST_REQUIRE((decoded && decoded->leases && decoded->leases->support));
    BOOST_TEST((decoded->leases->support->unsupported == support.unsupported));
    BOOST_TEST((decoded->leases->support->term == support.term));
}

/**
 * Guards against leases and starts of a former writer that outlast its successor's wait, whichever of the two heard
 * the other one last, and when. The writer has proven its claim at the very moment of the next one.
 */
BOOST_AUTO_TEST_CASE(waitOutlastsWhatTheFormerWriterMayGrant)
{
    constexpr Milliseconds step { 250 };
    constexpr Milliseconds longest { 13'000 };
    constexpr Milliseconds heartbeatTimeout { 900 };
    std::size_t granted = 0;
    for (Milliseconds hostHeard {}; hostHeard <= longest; hostHeard += step) {
        for (Milliseconds writerHeard {}; writerHeard <= longest; writerHeard += step) {
            for (Milliseconds silence = heartbeatTimeout; silence <= longest; silence += step) {
                const LastContacts contacts { hostHeard, writerHeard, writerHeard + silence };
                const TimePoint waitedUntil = startedAt + contacts.claimed + waitOf(contacts);
                for (Milliseconds age {}; age <= confirmation; age += step) {
                    const TimePoint now = startedAt + std::max(contacts.claimed, hostHeard) + age;
                    const LeaseAuthority authority = authorityAt(contacts, now);
                    for (const auto &term : { authority.grantLease(), authority.grantStart() }) {
                        granted += term ? 1 : 0;
                        BOOST_TEST((!term || term->until() <= waitedUntil),
                                   "host heard until " << hostHeard.count() << ", writer until " << writerHeard.count()
                                                       << ", claim at " << contacts.claimed.count() << ", order at "
                                                       << (now - startedAt).count());
                    }
                }
            }
        }
    }
    BOOST_TEST(granted > 0U);
}

BOOST_AUTO_TEST_CASE(messagesOfOlderVersionsAreRead)
{
    const HostHeartbeat beat {
        Address("a"),   ConfigurationVersion(2), Milliseconds(3),  Milliseconds(4), Millicores(500), true, 9,
        WriterToken(8), HeartbeatTime(70),       HeartbeatTime(60)
    };
    const std::optional<JobMessage> same = decodeJobMessage(encodeJobMessage(beat));
    BOOST_REQUIRE((same && std::holds_alternative<HostHeartbeat>(*same)));
    BOOST_TEST(std::get<HostHeartbeat>(*same).nonce == 9U);
    BOOST_TEST((std::get<HostHeartbeat>(*same).writer == WriterToken(8)));
    BOOST_TEST((std::get<HostHeartbeat>(*same).sentAt == HeartbeatTime(70)));
    BOOST_TEST((std::get<HostHeartbeat>(*same).heard == HeartbeatTime(60)));
    const WriterHeartbeat writerBeat { WriterToken(8),
                                       Address("a"),
                                       ConfigurationVersion(2),
                                       false,
                                       Millicores(500),
                                       HeartbeatTime(50),
                                       HeardHeartbeat { 9, HeartbeatTime(40) } };
    const std::optional<JobMessage> sameWriter = decodeJobMessage(encodeJobMessage(writerBeat));
    BOOST_REQUIRE((sameWriter && std::holds_alternative<WriterHeartbeat>(*sameWriter)));
    BOOST_TEST((std::get<WriterHeartbeat>(*sameWriter).sentAt == HeartbeatTime(50)));
    BOOST_REQUIRE(std::get<WriterHeartbeat>(*sameWriter).heard.has_value());
    BOOST_TEST((std::get<WriterHeartbeat>(*sameWriter).heard->sentAt == HeartbeatTime(40)));

    const auto decodeArray = [](const nlohmann::json &message) {
        std::string bytes;
        nlohmann::json::to_cbor(message, bytes);
        return decodeJobMessage(bytes);
    };
    const std::optional<JobMessage> older = decodeArray({ 1, "a", 2, 3, 4, 500, false });
    BOOST_REQUIRE(older.has_value());
    BOOST_TEST(std::get<HostHeartbeat>(*older).nonce == 0U);
    const std::optional<JobMessage> olderWriter = decodeArray({ 2, 8, "a", 2, false, 500 });
    BOOST_REQUIRE(olderWriter.has_value());
    BOOST_TEST(!std::get<WriterHeartbeat>(*olderWriter).heard.has_value());
    const std::optional<JobMessage> olderHandOver = decodeArray({ 6, 44 });
    BOOST_REQUIRE(olderHandOver.has_value());
    BOOST_TEST(!std::get<HandOver>(*olderHandOver).leases.has_value());

    const HandOver handOver { WriterToken(44),
                              RemainingLeases { Milliseconds(4700), { { WorkerId("w"), Milliseconds(9) } } } };
    const std::optional<JobMessage> read = decodeJobMessage(encodeJobMessage(handOver));
    BOOST_REQUIRE((read && std::get<HandOver>(*read).leases));
    BOOST_TEST((std::get<HandOver>(*read).leases->elsewhere == Milliseconds(4700)));
    BOOST_TEST((std::get<HandOver>(*read).leases->listed.at(0).worker == WorkerId("w")));
    for (const nlohmann::json &wrong :
         { nlohmann::json { 6, 44, -1, nlohmann::json::array() }, nlohmann::json { 6, 44, 4700 },
           nlohmann::json { 6, 44, 4700, { { "w", -5 } } }, nlohmann::json { 6, 44, 4700, { { 5, 5 } } },
           nlohmann::json { 6, 44, "x", nlohmann::json::array() }, nlohmann::json { 1, "a", 2, 3, 4, 500, false, 9 },
           nlohmann::json { 1, "a", 2, 3, 4, 500, false, 9, 8, 70 },
           nlohmann::json { 1, "a", 2, 3, 4, 500, false, 9, 8, 70, "x" },
           nlohmann::json { 2, 8, "a", 2, false, 500, 50, 9 } }) {
        BOOST_TEST(!decodeArray(wrong).has_value(), wrong.dump());
    }
}

BOOST_AUTO_TEST_SUITE_END()
