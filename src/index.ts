// Lease and fencing
export {candidatesPerGroup, groupName, selectCandidates} from './process/lease/candidates.ts';
export {LeaseClient, type LeaseClientOptions} from './process/lease/lease-client.ts';
export {
	currentLease, decideLease, initialLease, allLeaseGuards, defaultLeaseTimes,
	type HeldLease, type LeaseCommand, type LeaseDecision, type LeaseEvent, type LeaseGuards, type LeaseOptions, type LeaseState, type LeaseTimes,
} from './process/lease/lease-machine.ts';
export {
	leaseKey, parseLeaseRow, type LeaseBody, type LeaseRow,
} from './process/lease/lease-row.ts';
export {LeaseTask, type LeaseTaskOptions} from './process/lease/lease-task.ts';

// Intents
export {EngineController, type EngineControllerOptions, type PlannedGoal} from './process/orders/engine-controller.ts';
export {
	createEngineFacts, decideIntent, intentGuards, intentTimes, isGoalReached, recordIntent, recordReading, recordSend,
	type EngineFacts, type EngineReading, type OrderGoal, type IntentAction, type IntentContext, type IntentGuards, type IntentOptions, type IntentTimes, type LeaseGrant,
} from './process/orders/intent-machine.ts';
export {
	intentKey, isDisruptive, parseIntentRow, type Intent, type IntentRow,
} from './process/orders/intent-row.ts';

// Claims
export {ClaimSettler, type ClaimSettlerOptions, type Settlement} from './process/claims/claim-settler.ts';
export {RecentDispatches} from './process/claims/recent-dispatches.ts';
export {DispatchLookup, NoDispatchLookup} from './process/claims/dispatch-lookup.ts';
export {
	PlatformClaimStore, toClaimKey, type ClaimGuards, type PlatformClaimStoreOptions,
} from './process/claims/platform-claim-store.ts';
export {
	groupedWrites, singleWrites, WriteBatcher, type GroupCommitLimits, type WriteOutcome,
} from './process/claims/write-batcher.ts';
export type {CallerError, RunState} from './request/caller-error.ts';
export {
	Claim, ClaimStore, type ClaimResult, type ClaimRequest, type StoredAnswer,
} from './request/claim-store.ts';
export type {ClaimPhase, ClaimRecord, RecordedAnswer} from './request/claim.ts';

// Versioned configuration
export {
	ConfigurationMachine, nonPollerIntervalMs, pollerIntervalMs, pullTimeoutMs, type AcceptResult, type ConfigurationGuards, type PeerPull,
} from './process/configuration/configuration-machine.ts';
export type {PeerConfigurationVersion} from './process/configuration/peer-configuration-source.ts';
export {TableConfigurationSource, type TableRead} from './process/configuration/table-configuration-source.ts';
export {
	entryKinds, type ConfigurationDifference, type ConfigurationEntry, type EntryKind,
} from './version/configuration.ts';

// Membership
export {Phase, type News} from './generated/peer_pb.js';
export type {LeavingSign, ListedUpstream} from './process/membership/leaving-marks.ts';
export type {ListedMember} from './process/membership/member-table.ts';
export type {
	Digest, Heartbeat, Member, MemberCondition, MembershipEvent, MembershipOptions, OutgoingHeartbeat,
} from './process/membership/member.ts';
export {heartbeatIntervalMs, Membership} from './process/membership/membership.ts';
export type {NewsItem} from './process/membership/news-queue.ts';
export {rankByRendezvous} from './process/membership/rendezvous.ts';

// Weighted shares
export {
	ShareAllocator, type ShareAllocatorOptions, type Arrival, type CustomerUsage,
} from './process/shares/share-allocator.ts';

// Admission
export {Admission, type AdmissionOptions} from './process/admission/admission.ts';
export {slotCost, tokenCost, isLongWork} from './process/admission/cost.ts';
export type {TypicalLatency} from './process/admission/concurrency-limit.ts';
export {
	queueKindOf, type AdmissionDecision, type QueueKind, type Ticket, type WorkClass,
} from './process/admission/ticket.ts';

// Routing
export {LoadTable, type LoadTableOptions, type RoutedRequest} from './process/load/load-table.ts';
export type {CacheEventBatch} from './process/load/prefix-residency.ts';
export type {LoadReport, RequestSize, Upstream} from './process/load/upstream-load.ts';

// Retry budget and hedging
export {
	ExtraWorkBudget, HedgePolicy, type HedgeCandidate, type HedgeOptions,
} from './request/hedge.ts';
export {RetryBudget, retryRatio, type RetryBudgetKey} from './request/retry-budget.ts';

// Role planning
export {
	RolePlanner, type PlannedEngine, type Role, type RoleChange, type RolePlannerOptions,
} from './process/roles/role-planner.ts';
export {isSplitBetter, type SplitInput} from './process/roles/prefill-split.ts';

// Crash registry
export {
	type CrashHistoryGuards, type SuspicionStatus,
} from './process/crashes/crash-history.ts';
export {refusalDurationMs, condemnationDelayMs} from './process/crashes/crash-timing.ts';
export type {CondemnedParts, PartRestriction} from './process/crashes/prompt-part-history.ts';
export type {RequestIdentity} from './request/request-identity.ts';
export {
	allCrashAttributionGuards, CrashAttribution, type CrashNews, type AttemptResult, type CrashAttributionGuards, type DownEvidence,
} from './process/crashes/crash-attribution.ts';
export type {InFlightAttempt} from './process/crashes/in-flight-attempts.ts';

// Ports, clock, random numbers and tasks
export {Left, Right, type Either} from 'purify-ts';
export {DynamoTable} from './ports/dynamo-table.ts';
export {
	Engine, HttpEngine, type EngineState,
} from './ports/engine.ts';
export {
	HostList, HttpHostList, type Host, type HostState,
} from './ports/host-list.ts';
export {
	engineRoles, type EngineRole, type Order, type OrderOutcome, type WantedState,
} from './ports/order.ts';
export {
	HttpObjectStore, ObjectStore, type ObjectCondition, type ObjectFailure, type StoredObject,
} from './ports/object-store.ts';
export {
	Table, type Row, type RowKey, type RowWrite, type StoreFailure,
} from './ports/table.ts';
export {Clock, ManualClock, SystemClock} from './process/clock.ts';
export {
	Log, logLevels, type LogFields, type LogLevel, type LogTarget,
} from './process/log.ts';
export {createLog} from './process/create-log.ts';
export {Random, SeededRandom} from './process/random.ts';
export {Task} from './process/task.ts';
