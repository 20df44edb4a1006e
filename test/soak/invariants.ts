import type {ReceivedRequest} from '../fixtures/fleet/upstream-server.ts';
import {readEventIds} from '../fixtures/fleet/fleet-fixture.ts';
import {requestKinds, type CallerRequest} from './caller-load.ts';
import {crashTarget} from './crashing-caller.ts';

/** A span of time on the monotonic clock, in milliseconds. */
export type TimeSpan = {readonly from: number; readonly to: number};

/** An order as an engine received it, with the daemon that held the lease and its fencing number. */
export type ObservedOrder = {readonly engine: string; readonly holder: string; readonly fence: number; readonly at: number};

/** What callers and upstreams observed during a run. */
export type Observations = {
	readonly requests: readonly CallerRequest[];
	/** Ids of the requests that an upstream began to execute, in order; an id appears once per execution. */
	readonly ran: readonly string[];
	/** All requests that upstreams received. */
	readonly seen: readonly ReceivedRequest[];
	readonly orders: readonly ObservedOrder[];
	/** Times at which the request of the crashing caller crashed an upstream. */
	readonly crashTimes: readonly number[];
	/** Requests that reached an upstream after it was marked as leaving. */
	readonly afterLeaving: ReadonlyArray<{readonly request: string; readonly upstream: string; readonly leftAt: number; readonly at: number}>;
	/** For each daemon, the times during which a fault affected it or its connection to the store. */
	readonly disruptions: ReadonlyArray<readonly TimeSpan[]>;
	/** For each request, the times during which a fault could break off an answer of an upstream that it reached. */
	readonly upstreamDisruptions: ReadonlyMap<string, readonly TimeSpan[]>;
	/** For each daemon, the times from a SIGKILL to the restart, and from a SIGTERM to the restart. */
	readonly kills: ReadonlyArray<readonly TimeSpan[]>;
	readonly stops: ReadonlyArray<readonly TimeSpan[]>;
	/** Smallest part of its usual timeout that a route has had. */
	readonly leastTimeoutRatio: number;
	/** Planned stops without another fault shortly before or after. */
	readonly plannedStops: ReadonlyArray<{readonly daemon: number; readonly at: number}>;
	/** A line for each daemon process that ended unasked or ended a planned stop with a code other than 0. */
	readonly unexpectedEnds: readonly string[];
};

/** Events in the stream of each engine of the deployment. */
const expectedEvents = 4;
const expectedIds = Array.from({length: expectedEvents}, (_, index) => String(index + 1)).join(',');
/** Time after which a daemon counts as connected again after a disruption (setting `contact-ms`). */
const reconnectMs = 3000;
/** Time within which sends to a leaving upstream end (setting `drain-ms`). */
const drainMs = 2000;
/** Tolerance for a final answer after the timeout of its route, in milliseconds. */
const finalAnswerGraceMs = 500;
/** Tolerance for delays of the test machine, which runs all processes, in milliseconds. */
const machineDelayMs = 1000;
/** Least time between orders of two lease holders (setting `lease-ms`). */
const leaseMs = 3000;
/** Crashes after which all daemons must recognise a request, and the number of later ones that is tolerated. */
/** Time within which a stopping daemon may close a connection on which a request has just arrived that it has not read (setting `loss_slack_ms` of the platform). */
const unreadCloseMs = 200;
const crashesToRecognise = 3;
const maxLateCrashes = 3;
/** Statuses with which a daemon refuses a request that did not run. */
const refusalStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Checks the invariants of a run; returns a line for each violation. */
export function findViolations(observations: Observations): readonly string[] {
	return [
		...checkRuns(observations),
		...checkAnswers(observations),
		...checkEnds(observations),
		...checkTimes(observations),
		...checkCrashes(observations),
		...checkOrders(observations.orders),
		...checkLeaving(observations),
		...checkPlannedStops(observations),
		...observations.unexpectedEnds,
	];
}

function checkRuns({requests, ran, seen}: Observations): readonly string[] {
	const requestsById = new Map(requests.map(request => [request.id, request]));
	const counts = new Map<string, number>();
	for (const id of ran) {
		counts.set(id, (counts.get(id) ?? 0) + 1);
	}

	const unexpected = seen.filter(({url}) => !url.startsWith('/api/') && url !== crashTarget).flatMap(({headers, url, body}) => {
		const request = requestsById.get(String(headers['x-request-id']));
		return request?.body === body && url === `${requestKinds[request.kind].path}${request.id}` ? [] : [`an upstream received ${url}, which no caller sent in this form`];
	});
	return [...unexpected, ...requests.flatMap(({id, kind, status}) => {
		const runs = counts.get(id) ?? 0;
		return [
			...(!requestKinds[kind].isRepeatable && runs > 1 ? [`${kind} ${id} ran ${runs} times`] : []),
			...(!requestKinds[kind].isRepeatable && refusalStatuses.has(status) && runs > 0 ? [`${kind} ${id} was refused with ${status} and ran`] : []),
		];
	})];
}

function checkAnswers({requests}: Observations): readonly string[] {
	const wrong = requests.flatMap(({id, kind, status, received, isComplete}) => {
		const isDenied = status >= 300 && status < 500 && !refusalStatuses.has(status) && kind !== 'extra';
		const events = readEventIds(received).join(',');
		const isOutOfOrder = requestKinds[kind].isStream && status === 200 && !isComplete && !expectedIds.startsWith(events);
		return [
			...(isDenied ? [`${kind} ${id} was denied with ${status} although its route is in all configurations`] : []),
			...(isOutOfOrder ? [`${kind} ${id} was broken off with the events ${events}`] : []),
		];
	});
	return [...wrong, ...checkCompleteAnswers(requests)];
}

function checkCompleteAnswers(requests: readonly CallerRequest[]): readonly string[] {
	return requests.filter(({status, isComplete}) => status >= 200 && status < 300 && isComplete).flatMap(({id, kind, seal, answeredId, received}) => {
		const upstream = seal?.replace('seal-', '') ?? '';
		if (answeredId !== id || seal === undefined) {
			return [`${kind} ${id} was answered with the id ${answeredId} and the signature ${seal}`];
		}

		if (requestKinds[kind].isStream) {
			const found = readEventIds(received).join(',');
			return found === expectedIds ? [] : [`${kind} ${id} ended as complete with the events ${found}`];
		}

		return [`done${upstream.at(-1)}`, 'unframed'].includes(received) ? [] : [`${kind} ${id} got the body ${received} of ${upstream}`];
	});
}

/** Checks that each request that a daemon could read ended with an answer or a refusal. */
function checkEnds({
	requests, seen, upstreamDisruptions, kills, stops, leastTimeoutRatio,
}: Observations): readonly string[] {
	const passedOn = new Set(seen.map(({headers}) => String(headers['x-request-id'])));
	return requests.flatMap(({id, kind, daemon, status, sentAt, wholeAt, endedAt, isComplete, cause}) => {
		if (wholeAt === undefined || endedAt === undefined || isComplete || isDisrupted(kills[daemon]!, sentAt, endedAt)) {
			return [];
		}

		// Only the answer of a stream begins before its end is known.
		const {isStream, timeoutMs} = requestKinds[kind];
		const hasBegun = status > 0 && isStream;
		const isBrokenOff = hasBegun && isDisrupted(upstreamDisruptions.get(id) ?? [], sentAt, endedAt);
		const isExpired = hasBegun && endedAt - sentAt >= timeoutMs * leastTimeoutRatio;
		// A daemon that ends closes its idle connections; a request on the way to it cannot be answered, and has not run.
		const isCrossing = status === 0 && !passedOn.has(id) && endedAt - wholeAt <= unreadCloseMs && isDisrupted(stops[daemon]!, sentAt, endedAt);
		const answer = status === 0 ? 'no answer' : `only a part of an answer with ${status}`;
		return isBrokenOff || isExpired || isCrossing
			? []
			: [`${kind} ${id} was sent whole to daemon-${daemon} and got ${answer} after ${Math.round(endedAt - wholeAt)} ms (${cause}; ${passedOn.has(id) ? '' : 'not '}passed on)`];
	});
}

function checkTimes({requests, disruptions}: Observations): readonly string[] {
	return requests.flatMap(({id, kind, daemon, sentAt, endedAt, bodyMs}) => {
		const end = endedAt ?? performance.now();
		const limit = bodyMs + requestKinds[kind].timeoutMs + finalAnswerGraceMs + machineDelayMs;
		return end - sentAt > limit && !isDisrupted(disruptions[daemon]!, sentAt - reconnectMs, end) ? [`${kind} ${id} had no final answer after ${Math.round(end - sentAt)} ms`] : [];
	});
}

/** Checks that a request that crashes upstreams is recognised by all daemons in time. */
function checkCrashes({crashTimes}: Observations): readonly string[] {
	const sorted = crashTimes.toSorted((a, b) => a - b);
	const conclusiveAt = sorted[crashesToRecognise - 1] ?? Number.POSITIVE_INFINITY;
	const late = sorted.filter(at => at > conclusiveAt + reconnectMs);
	return late.length > maxLateCrashes ? [`a request that had crashed ${crashesToRecognise} upstreams crashed ${late.length} more later than ${reconnectMs} ms after them`] : [];
}

function checkOrders(orders: readonly ObservedOrder[]): readonly string[] {
	const holders = new Map<number, string>();
	const sorted = orders.toSorted((a, b) => a.at - b.at);
	return sorted.flatMap((order, index) => {
		const holder = holders.get(order.fence) ?? order.holder;
		holders.set(order.fence, holder);
		const previous = sorted.slice(0, index).findLast(earlier => earlier.holder !== order.holder);
		return [
			...(holder === order.holder ? [] : [`${order.holder} and ${holder} sent orders with the fencing number ${order.fence}`]),
			...(sorted.slice(0, index).some(({engine, fence}) => engine === order.engine && fence > order.fence) ? [`${order.engine} received fencing number ${order.fence} after a higher one`] : []),
			...(previous !== undefined && order.at - previous.at < leaseMs ? [`${order.holder} sent an order ${Math.round(order.at - previous.at)} ms after ${previous.holder}`] : []),
		];
	});
}

function checkLeaving({afterLeaving, requests, disruptions}: Observations): readonly string[] {
	const daemons = new Map(requests.map(({id, daemon}) => [id, daemon]));
	return afterLeaving.filter(({request, leftAt, at}) => {
		const daemon = daemons.get(request);
		return at - leftAt > drainMs + machineDelayMs && daemon !== undefined && !isDisrupted(disruptions[daemon]!, leftAt - reconnectMs, at);
	}).map(({request, upstream, leftAt, at}) => `${request} reached ${upstream} ${Math.round(at - leftAt)} ms after it was marked as leaving`);
}

function checkPlannedStops({plannedStops, requests}: Observations): readonly string[] {
	return plannedStops.flatMap(({daemon, at}) => requests
		.filter(request => request.daemon === daemon && request.sentAt < at && (request.endedAt ?? Number.POSITIVE_INFINITY) > at && !request.isComplete)
		.map(({id, kind}) => `${kind} ${id} was in flight at a planned stop and got no complete answer`));
}

function isDisrupted(spans: readonly TimeSpan[], from: number, to: number): boolean {
	return spans.some(span => span.from < to && span.to > from);
}
