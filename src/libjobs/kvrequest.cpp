#include "kvrequest.h"

namespace currantring {

std::string_view kvErrorName(KvErrorKind kind)
{
    switch (kind) {
    case KvErrorKind::Conflict:
        return "conflict";
    case KvErrorKind::HistoryGone:
        return "history-gone";
    case KvErrorKind::LeaseGone:
        return "lease-gone";
    case KvErrorKind::Refused:
        return "refused";
    case KvErrorKind::NotSent:
        return "not-sent";
    case KvErrorKind::Unknown:
        break;
    }
    return "unknown";
}

} // namespace currantring
