#include "storelayout.h"

#include <algorithm>
#include <charconv>

namespace currantring {

namespace {

const std::string rootPrefix = "currantring/";
/** Slot numbers are zero-padded to this width, so that keys sort numerically. */
constexpr std::size_t slotDigits = 12;

} // namespace

std::string StoreLayout::writerPrefix() const
{
    return rootPrefix + "writer/" + std::to_string(shard.value()) + '/';
}

std::string StoreLayout::claimKey() const
{
    return writerPrefix() + "claim";
}

std::string StoreLayout::aliveKey() const
{
    return writerPrefix() + "alive";
}

std::string StoreLayout::settledKey() const
{
    return writerPrefix() + "settled";
}

std::string StoreLayout::knowledgeKey() const
{
    return rootPrefix + "neighbours/" + std::to_string(shard.value());
}

std::string StoreLayout::logPrefix() const
{
    return rootPrefix + "log/" + std::to_string(shard.value()) + '/';
}

std::string StoreLayout::logKey(std::uint64_t slot) const
{
    std::string digits = std::to_string(slot);
    digits.insert(0, slotDigits - std::min(slotDigits, digits.size()), '0');
    return logPrefix() + digits;
}

std::uint64_t StoreLayout::slotOf(const std::string &key) const
{
    const std::string prefix = logPrefix();
    std::uint64_t slot = 0;
    if (key.starts_with(prefix)) {
        std::from_chars(key.data() + prefix.size(), key.data() + key.size(), slot);
    }
    return slot;
}

std::string StoreLayout::hostsPrefix()
{
    return rootPrefix + "hosts/";
}

std::string StoreLayout::hostKey(const HostId &host)
{
    return hostsPrefix() + host.value();
}

HostId StoreLayout::hostOf(const std::string &key)
{
    return HostId(key.substr(hostsPrefix().size()));
}

} // namespace currantring
