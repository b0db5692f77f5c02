#pragma once

#include <cstdint>

namespace clementineloom {

/// @brief Stable number of an outcome; docs/result-codes.md lists meaning, cause and remedy.
///
/// A number is never reused. 1xxx: input and settings, 2xxx: configuration and plans, 3xxx: jobs,
/// 4xxx: requests, 5xxx: platform, 6xxx: records and state.
enum class ResultCode : std::uint16_t {
  kOk = 0,

  kInvalidValue = 1001,
  kUnknownKey = 1002,
  kMissingKey = 1003,
  kWrongType = 1004,
  kWrongUnit = 1005,
  kOutOfRange = 1006,
  kDuplicateId = 1007,
  kUnknownReference = 1008,
  kAddressNotNumeric = 1009,
  kMalformedDocument = 1010,
  kGuaranteesDoNotFit = 1011,
  kTeamWithoutShape = 1012,
  kFileUnreadable = 1013,
  kUsage = 1014,

  kRevisionConflict = 2001,
  kPlanChanged = 2002,
  kUnknownTeam = 2003,
  kUnknownDataCentre = 2004,
  kUnknownWorker = 2005,
  kTeamInUse = 2006,

  kJobNeverFits = 3001,
  kUnknownJob = 3002,
  kJobNotWaiting = 3003,
  kWrongAttempt = 3004,
  kWorkerUnavailable = 3005,
  kDataCentreOutOfService = 3006,
  kAcceleratorsNotFree = 3007,
  kDecisionOvertaken = 3008,
  kWrongShape = 3009,
  kGuaranteeExhausted = 3010,
  kAdjacencyViolated = 3011,
  kJobFinished = 3012,
  kRetryBudgetExhausted = 3013,
  kDuplicateSubmission = 3014,
  kQuotaExceeded = 3015,

  kMalformedRequest = 4001,
  kRequestTooLarge = 4002,
  kCallerTooSlow = 4003,
  kTeamLimitReached = 4004,
  kOverloaded = 4005,
  kQueueFull = 4006,
  kNoUpstream = 4007,
  kUpstreamFailed = 4008,
  kUpstreamTimedOut = 4009,
  kOutcomeUnknown = 4010,
  kClaimUnavailable = 4011,
  kDraining = 4012,
  kKeyReused = 4013,
  kInProgressElsewhere = 4014,
  kAnswerTruncated = 4015,
  kRateExceeded = 4016,

  kLogUnavailable = 5001,
  kAppendUnknown = 5002,
  kRecordsExpired = 5003,
  kViewStale = 5004,
  kInstanceListUnavailable = 5005,
  kWorkerRefused = 5006,
  kWorkerUnreachable = 5007,
  kPeerUnavailable = 5008,
  kTokenSuperseded = 5009,
  kReservationLapsed = 5010,

  kCorruptRecord = 6001,
  kNewerSchema = 6002,
  kDuplicateRecord = 6003,
  kSnapshotTorn = 6004,
  kSnapshotOlder = 6005,
};

}  // namespace clementineloom
