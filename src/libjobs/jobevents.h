#pragma once

#include <string_view>

/** Names of the log events of jobs, workers and writers; docs/OPERATIONS.md describes their fields. */
namespace currantring::events {

inline constexpr std::string_view processStarted = "process_started";
inline constexpr std::string_view processStopping = "process_stopping";
inline constexpr std::string_view processStopped = "process_stopped";
inline constexpr std::string_view processLate = "process_late";
inline constexpr std::string_view settingsReloaded = "settings_reloaded";
inline constexpr std::string_view connectionClosed = "connection_closed";

inline constexpr std::string_view storeLost = "store_lost";
inline constexpr std::string_view storeRegained = "store_regained";
inline constexpr std::string_view watchHistoryGone = "watch_history_gone";
inline constexpr std::string_view watchFailed = "watch_failed";
inline constexpr std::string_view configurationInForce = "configuration_in_force";
inline constexpr std::string_view configurationRefused = "configuration_refused";

inline constexpr std::string_view messageRefused = "message_refused";
inline constexpr std::string_view writerLost = "writer_lost";
inline constexpr std::string_view writerRegained = "writer_regained";
inline constexpr std::string_view writerChanged = "writer_changed";
inline constexpr std::string_view claimTried = "claim_tried";
inline constexpr std::string_view claimUnreadable = "claim_unreadable";
inline constexpr std::string_view shardClaimed = "shard_claimed";
inline constexpr std::string_view shardActive = "shard_active";
inline constexpr std::string_view shardLost = "shard_lost";
inline constexpr std::string_view shardHandedOver = "shard_handed_over";
inline constexpr std::string_view writerUnsuited = "writer_unsuited";
inline constexpr std::string_view knowledgeRead = "knowledge_read";
inline constexpr std::string_view logLoaded = "log_loaded";
inline constexpr std::string_view logSlotUnreadable = "log_slot_unreadable";

inline constexpr std::string_view workerAdded = "worker_added";
inline constexpr std::string_view workerUnlisted = "worker_unlisted";
inline constexpr std::string_view workerReachable = "worker_reachable";
inline constexpr std::string_view workerSilent = "worker_silent";
inline constexpr std::string_view workerNewLife = "worker_new_life";
inline constexpr std::string_view workerDraining = "worker_draining";
inline constexpr std::string_view workerQuarantined = "worker_quarantined";
inline constexpr std::string_view evacuationBegun = "evacuation_begun";
inline constexpr std::string_view evacuationDrained = "evacuation_drained";
inline constexpr std::string_view evacuationEnded = "evacuation_ended";
inline constexpr std::string_view evacuationListStale = "evacuation_list_stale";
inline constexpr std::string_view evacuationListCurrent = "evacuation_list_current";
inline constexpr std::string_view strayRun = "stray_run";
inline constexpr std::string_view endsUntracked = "ends_untracked";
inline constexpr std::string_view fenceMet = "fence_met";

inline constexpr std::string_view callRefused = "call_refused";
inline constexpr std::string_view callAnswered = "call_answered";
inline constexpr std::string_view jobAccepted = "job_accepted";
inline constexpr std::string_view jobRefusedLoad = "job_refused_load";
inline constexpr std::string_view jobRefusedMemory = "job_refused_memory";
inline constexpr std::string_view jobBegun = "job_begun";
inline constexpr std::string_view jobClosed = "job_closed";
inline constexpr std::string_view occurrenceDue = "occurrence_due";
inline constexpr std::string_view admissionAnswered = "admission_answered";
inline constexpr std::string_view runCopied = "run_copied";
inline constexpr std::string_view runPlaced = "run_placed";
inline constexpr std::string_view runRefused = "run_refused";
inline constexpr std::string_view startHeld = "start_held";
inline constexpr std::string_view startDeferred = "start_deferred";
inline constexpr std::string_view runEnded = "run_ended";
inline constexpr std::string_view runLost = "run_lost";
inline constexpr std::string_view runPaced = "run_paced";
inline constexpr std::string_view runMoved = "run_moved";
inline constexpr std::string_view rackWaitDecided = "rack_wait_decided";

} // namespace currantring::events
