#include "writerclaim.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace currantring {

namespace {

using nlohmann::json;

/** A longer term in a claim is taken for an error. */
constexpr Milliseconds maxTerm { 600'000 };

std::optional<Milliseconds> decodeTerm(const json &source, const char *name)
{
    const auto field = source.find(name);
    if (field == source.end() || !field->is_number_integer()) {
        return std::nullopt;
    }
    const Milliseconds term(field->get<std::int64_t>());
    return term.count() >= 0 && term <= maxTerm ? std::optional(term) : std::nullopt;
}

StoreRevision decodeReplaced(const json &source)
{
    const auto field = source.find("replaced");
    return StoreRevision(field != source.end() && field->is_number_unsigned() ? field->get<std::uint64_t>() : 0);
}

std::optional<LeaseTerms> decodeLeases(const json &source)
{
    const std::optional<Milliseconds> lease = decodeTerm(source, "lease_ms");
    const std::optional<Milliseconds> confirmation = decodeTerm(source, "confirmation_ms");
    const std::optional<Milliseconds> inherited = decodeTerm(source, "inherited_ms");
    if (!lease || !confirmation || !inherited) {
        return std::nullopt;
    }
    LeaseTerms terms { *lease, *confirmation, *inherited, {} };
    const std::optional<Milliseconds> unsupported = decodeTerm(source, "unsupported_ms");
    const std::optional<Milliseconds> support = decodeTerm(source, "support_ms");
    if (unsupported && support) {
        terms.support = HostSupport { *unsupported, *support };
    }
    return terms;
}

} // namespace

std::string encodeClaim(const WriterClaim &claim)
{
    json object { { "host", claim.host.value() },
                  { "address", claim.address.value() },
                  { "nonce", claim.nonce },
                  { "replaced", claim.replaced.value() } };
    if (claim.leases) {
        object["lease_ms"] = claim.leases->lease.count();
        object["confirmation_ms"] = claim.leases->confirmation.count();
        object["inherited_ms"] = claim.leases->inherited.count();
        if (claim.leases->support) {
            object["unsupported_ms"] = claim.leases->support->unsupported.count();
            object["support_ms"] = claim.leases->support->term.count();
        }
    }
    return object.dump();
}

WriterToken decodeSettled(std::string_view text)
{
    std::uint64_t token = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), token);
    return WriterToken(error == std::errc() && end == text.data() + text.size() ? token : 0);
}

std::optional<WriterClaim> decodeClaim(const KvEntry &entry)
{
    try {
        const json source = json::parse(entry.value);
        return WriterClaim { WriterToken(entry.revision.value()),
                             HostId(source.at("host").get<std::string>()),
                             Address(source.at("address").get<std::string>()),
                             source.at("nonce").get_ref<const json::number_unsigned_t &>(),
                             decodeReplaced(source),
                             decodeLeases(source) };
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace currantring
