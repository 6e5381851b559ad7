#include "workerorder.h"

namespace currantring {

std::string_view workerFailureName(WorkerFailure failure)
{
    switch (failure) {
    case WorkerFailure::Fenced:
        return "fenced";
    case WorkerFailure::Superseded:
        return "superseded";
    case WorkerFailure::TooLate:
        return "too-late";
    case WorkerFailure::NoRoom:
        return "no-room";
    case WorkerFailure::NoAdmission:
        return "no-admission";
    case WorkerFailure::OtherWorker:
        return "other-worker";
    case WorkerFailure::Invalid:
        return "invalid";
    case WorkerFailure::Unhealthy:
        return "unhealthy";
    case WorkerFailure::NotSent:
        return "not-sent";
    case WorkerFailure::Unknown:
        break;
    }
    return "unknown";
}

} // namespace currantring
