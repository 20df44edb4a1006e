import {requestKinds, type CallerRequest} from './caller-load.ts';
import type {TimeSpan} from './invariants.ts';

/** Planned work: a SIGTERM or a SIGHUP of a daemon, or a configuration for all; times in milliseconds of the monotonic clock. */
export type PlannedWork = {readonly kind: 'SIGTERM' | 'SIGHUP'; readonly daemon: number; readonly at: number} | {readonly kind: 'configuration'; readonly at: number};

/** A span during which a daemon was disturbed: on its host or links, by the store, or by a planned stop. */
export type Disruption = TimeSpan & {readonly cause: 'host' | 'store' | 'plannedStop'};

/** A daemon's log line about a request or a connection, with its time on the monotonic clock. */
export type RequestLine = {
	readonly at: number;
	readonly event: string;
	readonly requests: readonly string[];
	/** Version of the configuration under which a request was received. */
	readonly configuration?: number;
	/** Other fields of the line. */
	readonly detail: string;
};

/** What callers, upstreams, daemons and the operator saw. */
export type AccountInput = {
	readonly requests: readonly CallerRequest[];
	/** For each daemon, its log lines about requests and connections. */
	readonly lines: ReadonlyArray<readonly RequestLine[]>;
	/** Ids of the requests that reached an upstream. */
	readonly passedOn: ReadonlySet<string>;
	readonly plannedWork: readonly PlannedWork[];
	/** For each daemon, its disruptions. */
	readonly disruptions: ReadonlyArray<readonly Disruption[]>;
	/** For each request, the times during which a fault could break off an answer of an upstream that it reached. */
	readonly upstreamDisruptions: ReadonlyMap<string, readonly TimeSpan[]>;
	/** Timeout of a request's route, in milliseconds; the version is undefined if the daemon logged none. */
	readonly timeoutMs: (request: CallerRequest, version: number | undefined) => number;
};

/** Account of the requests that were sent whole and ended without a complete answer. */
export type RequestAccount = {
	/** A line for each cut that breaks the operators' rule on planned work. */
	readonly violations: readonly string[];
	/** A line for each cut, with who closed first and why, and the number of cuts by daemon and second. */
	readonly report: readonly string[];
};

/** A request that was sent whole and ended. */
type EndedRequest = CallerRequest & {readonly wholeAt: number; readonly closedAt: number};

/** A request that was cut; `excuse` is undefined for a cut that may break the rule. */
type Cut = {
	readonly request: EndedRequest;
	readonly isPassedOn: boolean;
	readonly timeoutMs: number;
	readonly excuse: string | undefined;
	readonly cause: string;
};

type DaemonAccount = {readonly violations: readonly string[]; readonly figures: readonly string[]};

/** Bounds of the daemons in the soak, as in their settings (`grace-s`, `config-apply-ms`, `contact-ms`). */
const graceMs = 8000;
const configApplyMs = 2000;
const contactMs = 3000;
/** Time after the last byte during which a close may cross a request that was not passed on (setting `loss_slack_ms` of the platform). */
const lossSlackMs = 200;
/** Time added to the grace period and to the time in which a configuration applies. */
const afterMs = 1000;
/** Requests sent later than this after a SIGTERM count also in the last sixth of the grace period. */
const earlyAfterStopMs = 3000;
const lastSixth = 5 / 6;
/** Beside a configuration, cuts count only if they are over three times as frequent, and only before this part of a request's time. */
const leastConfigurationRatio = 3;
const countedPart = 0.7;
/** Only requests that ended in the last minute are judged, which bounds the memory. */
const recordMs = 60_000;
const joinedEvents: ReadonlySet<string> = new Set(['request.received', 'request.ended', 'connection.closed']);

/** Joins what callers noted with the daemons' logs and applies the operators' rule on requests that are lost around planned work. */
export function accountRequests(input: AccountInput): RequestAccount {
	const ended = input.requests.filter(request => hasEndedWhole(request));
	const newest = Math.max(...ended.map(({closedAt}) => closedAt));
	const judged = ended.filter(({closedAt}) => closedAt > newest - recordMs);
	const cuts = judged.filter(({isComplete}) => !isComplete).map(request => createCut(request, input));
	const daemons = input.disruptions.map((_spans, daemon) => accountDaemon(daemon, judged, cuts, input.plannedWork));
	const omitted = ended.length - judged.length;
	return {
		violations: daemons.flatMap(({violations}) => violations),
		report: [
			...cuts.map(cut => describe(cut)),
			...daemons.flatMap(({figures}) => figures),
			...(omitted > 0 ? [`${omitted} requests that ended over ${recordMs / 1000} s before the last one were not judged`] : []),
		],
	};
}

function hasEndedWhole(request: CallerRequest): request is EndedRequest {
	const {wholeAt, closedAt} = request;
	return wholeAt !== undefined && closedAt !== undefined && closedAt >= wholeAt;
}

/** Reads the lines about requests and connections of a daemon's log; `clockOriginMs` is the wall-clock time at which the monotonic clock was 0. */
export function readRequestLines(log: string, clockOriginMs: number): readonly RequestLine[] {
	return log.split('\n').flatMap(text => {
		if (![...joinedEvents].some(event => text.includes(`"${event}"`))) {
			return [];
		}

		try {
			const {time, event, daemon, request, requests, configuration, ...detail} = JSON.parse(text) as Readonly<Record<string, unknown>>;
			return [{
				at: Number(time) - clockOriginMs, event: String(event), requests: (requests ?? [request]) as readonly string[], configuration: configuration as number | undefined, detail: JSON.stringify(detail),
			}];
		} catch {
			// The oldest line kept may be a part of one.
			return [];
		}
	});
}

function createCut(request: EndedRequest, {lines, passedOn, disruptions, upstreamDisruptions, timeoutMs}: AccountInput): Cut {
	const {id, kind, daemon, sentAt, wholeAt, closedAt} = request;
	const own = (lines[daemon] ?? []).filter(({requests, at}) => requests.includes(id) && at >= sentAt - afterMs);
	const timeout = timeoutMs(request, own.find(({event}) => event === 'request.received')?.configuration);
	const mayExcuse = ({cause}: Disruption) => cause === 'host' || (cause === 'store' && requestKinds[kind].isStream);
	const excuses = {
		'unplanned disruption of the daemon': overlaps(disruptions[daemon]!.filter(span => mayExcuse(span)), sentAt - contactMs, closedAt),
		'the upstream broke off': overlaps(upstreamDisruptions.get(id) ?? [], sentAt, closedAt),
		'the timeout was reached': closedAt - sentAt >= timeout,
		'crossed the close, not passed on': !passedOn.has(id) && closedAt - wholeAt <= lossSlackMs,
	};
	const logged = own.map(({at, event, detail}) => `${event} ${detail} ${Math.round(at - wholeAt)} ms after its last byte`);
	return {
		request,
		isPassedOn: passedOn.has(id),
		timeoutMs: timeout,
		excuse: Object.entries(excuses).find(([, holds]) => holds)?.[0],
		cause: `${passedOn.has(id) ? '' : 'not '}passed on; ${logged.length === 0 ? 'no line in the log' : logged.join(', ')}`,
	};
}

/** Judges the cuts of one daemon; returns its violations and figures. */
function accountDaemon(daemon: number, judged: readonly EndedRequest[], allCuts: readonly Cut[], plannedWork: readonly PlannedWork[]): DaemonAccount {
	const cuts = allCuts.filter(({request}) => request.daemon === daemon);
	const counted = cuts.filter(({excuse}) => excuse === undefined);
	const isBeside = ({closedAt}: EndedRequest) => plannedWork.some(({kind, at}) => kind === 'configuration' && closedAt >= at && closedAt <= at + configApplyMs + afterMs);
	const requests = judged.filter(request => request.daemon === daemon);
	const requestsBeside = requests.filter(request => isBeside(request)).length;
	const cutsBeside = counted.filter(({request}) => isBeside(request)).length;
	const shareBeside = cutsBeside / Math.max(1, requestsBeside);
	const shareOtherwise = (counted.length - cutsBeside) / Math.max(1, requests.length - requestsBeside);
	const isFrequent = shareBeside > leastConfigurationRatio * shareOtherwise;
	const violations = counted.flatMap(cut => {
		const {sentAt, closedAt} = cut.request;
		const stopOrReload = plannedWork.find(work => work.kind !== 'configuration' && work.daemon === daemon && isCutBy(work.kind, work.at, cut));
		const isEarly = closedAt - sentAt < countedPart * cut.timeoutMs;
		const work = stopOrReload?.kind ?? (isFrequent && isEarly && isBeside(cut.request) ? 'configuration' : undefined);
		return work === undefined ? [] : [`lost beside a ${work}: ${describe(cut)}`];
	});
	const bySecond = Map.groupBy(cuts, ({request}) => Math.floor(request.closedAt / 1000));
	const seconds = [...bySecond].toSorted(([a], [b]) => a - b).map(([second, {length}]) => `${second} s: ${length}`);
	const beside = `${cutsBeside} of ${requestsBeside} requests beside a configuration`;
	const otherwise = `${counted.length - cutsBeside} of ${requests.length - requestsBeside} at other times`;
	const figures = cuts.length === 0
		? []
		: [
			`daemon-${daemon} cuts by second: ${seconds.join(', ')}`,
			`daemon-${daemon} cuts without an excuse: ${beside}, ${otherwise} (${cutsBeside === 0 ? '0' : (shareBeside / shareOtherwise).toFixed(1)} times as often)`,
		];
	return {violations, figures};
}

function isCutBy(kind: 'SIGTERM' | 'SIGHUP', at: number, {request: {sentAt, closedAt}, isPassedOn}: Cut): boolean {
	if (kind === 'SIGHUP') {
		return closedAt >= at && sentAt <= at + configApplyMs;
	}

	// Only a request at which an upstream is still at work is excused; an unread one is lost by its reset at the exit.
	const isLate = isPassedOn && closedAt >= at + (graceMs * lastSixth) && sentAt <= at + earlyAfterStopMs;
	return closedAt >= at && closedAt <= at + graceMs + afterMs && !isLate;
}

function describe({request: {id, kind, daemon, status, received, ending, wholeAt, closedAt}, excuse, cause}: Cut): string {
	const closer = ending === 'timedOut' ? 'given up by its caller' : `${ending ?? 'closed'} by daemon-${daemon}`;
	const answer = status === 0 ? 'without an answer' : `after ${received.length} characters of an answer with ${status}`;
	const time = `${Math.round(closedAt - wholeAt)} ms after its last byte at ${(wholeAt / 1000).toFixed(2)} s`;
	return `${kind} ${id} was ${closer} ${answer}, ${time} (${excuse ?? 'no excuse'}; ${cause})`;
}

function overlaps(spans: readonly TimeSpan[], from: number, to: number): boolean {
	return spans.some(span => span.from < to && span.to > from);
}
