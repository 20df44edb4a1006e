import type {ReceivedRequest} from '../fixtures/fleet/upstream-server.ts';
import {readEventIds} from '../fixtures/fleet/fleet-fixture.ts';
import {requestKinds, type CallerRequest} from './caller-load.ts';

/** A span of time of the steady clock, in milliseconds. */
export type TimeSpan = {readonly from: number; readonly to: number};

/** An order as an engine received it. */
export type ObservedOrder = {readonly engine: string; readonly holder: string; readonly fence: number; readonly at: number};

/** What callers and upstreams saw of a run. */
export type Observations = {
	readonly requests: readonly CallerRequest[];
	/** Ids of requests on which an upstream began to work, in order. */
	readonly ran: readonly string[];
	readonly seen: readonly ReceivedRequest[];
	readonly orders: readonly ObservedOrder[];
	/** Requests that reached an upstream under an id after that was marked as leaving. */
	readonly afterLeaving: ReadonlyArray<{readonly request: string; readonly upstream: string; readonly leftAt: number; readonly at: number}>;
	/** Times at which each daemon or its way to the store was harmed. */
	readonly disruptions: ReadonlyArray<readonly TimeSpan[]>;
	/** Times of planned stops with nothing else harmed shortly before or after, by daemon. */
	readonly plannedStops: ReadonlyArray<{readonly daemon: number; readonly at: number}>;
	readonly unexpectedEnds: readonly string[];
};

const expectedEvents = 4;
/** A host counts as connected again this long after it was harmed. */
const reconnectMs = 3000;
const drainMs = 2000;
/** Answers at the route's time may be so much later. */
const finalAnswerGraceMs = 500;
/** Delays of the test machine, which runs all processes at once. */
const machineDelayMs = 1000;
const leaseMs = 3000;
const refusalStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Checks all promises; returns a line for each that was broken. */
export function findViolations(observations: Observations): readonly string[] {
	return [
		...checkRuns(observations),
		...checkAnswers(observations),
		...checkTimes(observations),
		...checkOrders(observations.orders),
		...checkLeaving(observations),
		...checkPlannedStops(observations),
		...observations.unexpectedEnds,
	];
}

function checkRuns({requests, ran, seen}: Observations): readonly string[] {
	const sent = new Map(requests.map(request => [request.id, request]));
	const counts = new Map<string, number>();
	for (const id of ran) {
		counts.set(id, (counts.get(id) ?? 0) + 1);
	}

	const unasked = seen.filter(({url}) => !url.startsWith('/api/')).flatMap(({headers, url, body}) => {
		const request = sent.get(String(headers['x-request-id']));
		return request?.body === body && url === `${requestKinds[request.kind].path}${request.id}` ? [] : [`an upstream got ${url}, which no caller sent so`];
	});
	return [...unasked, ...requests.flatMap(({id, kind, status}) => {
		const runs = counts.get(id) ?? 0;
		return [
			...(!requestKinds[kind].isRepeatable && runs > 1 ? [`${kind} ${id} ran ${runs} times`] : []),
			...(!requestKinds[kind].isRepeatable && refusalStatuses.has(status) && runs > 0 ? [`${kind} ${id} was refused with ${status} and ran`] : []),
		];
	})];
}

function checkAnswers({requests}: Observations): readonly string[] {
	return requests.filter(({status, isComplete: isComplete}) => status >= 200 && status < 300 && isComplete).flatMap(({id, kind, seal, answeredId, received}) => {
		const upstream = seal?.replace('seal-', '') ?? '';
		if (answeredId !== id || seal === undefined) {
			return [`${kind} ${id} was answered with the id ${answeredId} and the signature ${seal}`];
		}

		if (requestKinds[kind].isStream) {
			const expected = Array.from({length: expectedEvents}, (_, index) => String(index + 1)).join(',');
			const found = readEventIds(received).join(',');
			return found === expected ? [] : [`${kind} ${id} ended as complete with the events ${found}`];
		}

		return [`done${upstream.at(-1)}`, 'unframed'].includes(received) ? [] : [`${kind} ${id} got the body ${received} of ${upstream}`];
	});
}

function checkTimes({requests, disruptions: disruptions}: Observations): readonly string[] {
	return requests.flatMap(({id, kind, daemon, sentAt, endedAt}) => {
		const end = endedAt ?? performance.now();
		const limit = requestKinds[kind].timeoutMs + finalAnswerGraceMs + machineDelayMs;
		return end - sentAt > limit && !isDisrupted(disruptions[daemon]!, sentAt - reconnectMs, end) ? [`${kind} ${id} had no final answer after ${Math.round(end - sentAt)} ms`] : [];
	});
}

function checkOrders(orders: readonly ObservedOrder[]): readonly string[] {
	const holders = new Map<number, string>();
	const sorted = orders.toSorted((a, b) => a.at - b.at);
	return sorted.flatMap((order, index) => {
		const holder = holders.get(order.fence) ?? order.holder;
		holders.set(order.fence, holder);
		const previous = sorted.slice(0, index).findLast(earlier => earlier.holder !== order.holder);
		return [
			...(holder === order.holder ? [] : [`${order.holder} and ${holder} gave orders with the fencing number ${order.fence}`]),
			...(sorted.slice(0, index).some(({engine, fence}) => engine === order.engine && fence > order.fence) ? [`${order.engine} got the fencing number ${order.fence} after a higher one`] : []),
			...(previous !== undefined && order.at - previous.at < leaseMs ? [`${order.holder} gave an order ${Math.round(order.at - previous.at)} ms after ${previous.holder}`] : []),
		];
	});
}

function checkLeaving({afterLeaving, requests, disruptions: disruptions}: Observations): readonly string[] {
	const daemons = new Map(requests.map(({id, daemon}) => [id, daemon]));
	return afterLeaving.filter(({request, leftAt, at}) => {
		const daemon = daemons.get(request);
		return at - leftAt > drainMs + machineDelayMs && daemon !== undefined && !isDisrupted(disruptions[daemon]!, leftAt - reconnectMs, at);
	}).map(({request, upstream, leftAt, at}) => `${request} reached ${upstream} ${Math.round(at - leftAt)} ms after it was marked as leaving`);
}

function checkPlannedStops({plannedStops, requests}: Observations): readonly string[] {
	return plannedStops.flatMap(({daemon, at}) => requests
		.filter(request => request.daemon === daemon && request.sentAt < at && (request.endedAt ?? Number.POSITIVE_INFINITY) > at && !request.isComplete)
		.map(({id, kind}) => `${kind} ${id} was open at a planned stop and got no whole answer`));
}

function isDisrupted(spans: readonly TimeSpan[], from: number, to: number): boolean {
	return spans.some(span => span.from < to && span.to > from);
}
