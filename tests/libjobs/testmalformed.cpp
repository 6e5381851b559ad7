#include "jobmessage.h"
#include "jobrecord.h"
#include "neighbourknowledge.h"
#include "random.h"
#include "virtualjobs.h"
#include "writerclaim.h"

#include <limits>

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr std::size_t rounds = 20'000;
/** Enough for a recursive reader to leave any usual stack. */
constexpr std::size_t deepNesting = 4'000'000;
constexpr char arrayOfOne = '\x81';

std::vector<std::string> messages()
{
    const auto job = std::make_shared<const JobSpec>(batchJob(1, 3));
    const HandOver handOver { WriterToken(4),
                              RemainingLeases { Milliseconds(9), { { WorkerId("w"), Milliseconds(1) } } } };
    std::vector<std::string> encoded;
    for (const JobMessage &message :
         { JobMessage(HostHeartbeat {}), JobMessage(WriterHeartbeat {}), JobMessage(ConfigurationOffer { "text" }),
           JobMessage(ForwardedCall { ForwardNumber(1), SubmitJob { job }, Milliseconds(3000) }),
           JobMessage(ForwardedCall { ForwardNumber(2), ReadJob { job->id }, Milliseconds(3000) }),
           JobMessage(ForwardedAnswer {}), JobMessage(handOver) }) {
        encoded.push_back(encodeJobMessage(message));
    }
    return encoded;
}

std::string slot()
{
    const auto job = std::make_shared<const JobSpec>(batchJob(1, 3));
    const RunRef run { { { job->id, 0, 0 }, 0 }, RunNumber(1) };
    JobSlot slot;
    slot.records = { JobAccepted { job, WallTime(5) }, RunPlaced { run, WorkerId("w"), WorkerLife(3) },
                     JobBegun { job->id }, RunEnded { run, RunEnd::Done, CheckpointId("c") },
                     JobClosed { job->id, JobPhase::Completed, WallTime(9) } };
    return encodeJobSlot(slot);
}

/** Changes, removes or adds some bytes of @p text, or cuts it short. */
std::string damage(std::string text, Random &random)
{
    const std::uint64_t changes = 1 + uniformBelow(random, 4);
    for (std::uint64_t change = 0; change < changes && !text.empty(); ++change) {
        const std::size_t place = uniformBelow(random, text.size());
        switch (uniformBelow(random, 4)) {
        case 0:
            text[place] = static_cast<char>(uniformBelow(random, 256));
            break;
        case 1:
            text.erase(place, 1 + uniformBelow(random, 8));
            break;
        case 2:
            text.insert(place, 1, static_cast<char>(uniformBelow(random, 256)));
            break;
        default:
            text.resize(place);
        }
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Malformed)

/** A reader either takes what it is given or refuses it; anything else ends the process. */
BOOST_AUTO_TEST_CASE(damagedInputEndsNoReader)
{
    Random random(1);
    const std::vector<std::string> sent = messages();
    const std::string stored = slot();
    const std::string claim = encodeClaim({ WriterToken(1), HostId("h"), Address("a"), 5, StoreRevision(3),
                                            LeaseTerms { Milliseconds(1), Milliseconds(2), Milliseconds(3), {} } });
    const std::string knowledge = R"([[["image",10,20]],[["a","b",1,2]]])";
    std::size_t read = 0;
    for (std::size_t round = 0; round < rounds; ++round) {
        read += decodeJobMessage(damage(sent[round % sent.size()], random)) ? 1 : 0;
        read += decodeJobSlot(damage(stored, random)) ? 1 : 0;
        read += decodeClaim({ "claim", damage(claim, random), StoreRevision(9), false }) ? 1 : 0;
        read += decodeKnowledge(damage(knowledge, random)) ? 1 : 0;
    }
    BOOST_TEST(read < 4 * rounds);
    for (const std::string &message : sent) {
        BOOST_TEST(decodeJobMessage(message).has_value());
    }
    BOOST_TEST(decodeJobSlot(stored).has_value());
}

BOOST_AUTO_TEST_CASE(deeplyNestedInputIsRefused)
{
    const std::string nested(deepNesting, arrayOfOne);
    BOOST_TEST(!decodeJobMessage(nested).has_value());
    BOOST_TEST(!decodeJobSlot(nested).has_value());
}

/** A host adds such times to its own clock. */
BOOST_AUTO_TEST_CASE(timesOutOfRangeAreRefused)
{
    HostHeartbeat beat;
    beat.uptime = Milliseconds(std::numeric_limits<std::int64_t>::min());
    BOOST_TEST(!decodeJobMessage(encodeJobMessage(beat)).has_value());
    const HandOver handOver { WriterToken(1),
                              RemainingLeases { Milliseconds(std::numeric_limits<std::int64_t>::max()), {} } };
    BOOST_TEST(!decodeJobMessage(encodeJobMessage(handOver)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
