import {setTimeout as delay} from 'node:timers/promises';
import {
	beforeAll, describe, expect, test,
} from 'vitest';
import {
	createOperatorConfiguration, FleetFixture, readEventIds, type CallerResponse,
} from '../../fixtures/fleet/fleet-fixture.ts';
import {requestStates, stateTimeoutMs} from '../../fixtures/fleet/request-states.ts';
import {
	defaultLimits, holdUpstreams, otherService, startStateUpstreams, statePath, stateRoutes, stateServices, type StateUpstream,
} from '../../fixtures/fleet/state-deployment.ts';

/**
Answers that a caller may get: `whole` is the complete answer of an upstream of the route's first service, `moved` of the other
service, `refused` a promise that the request has not run, `noRoute` the refusal of a path without a route, `failed` an error that
promises nothing because the request may have run, and `cut` a stream that visibly ends early because its upstream broke off.
*/
type Expected = 'whole' | 'moved' | 'refused' | 'noRoute' | 'failed' | 'cut';

type Change = {
	readonly name: string;
	/** Time from the stop signal to the kill, in milliseconds; by default longer than the requests may take. */
	readonly graceMs?: number;
	readonly apply: (fleet: FleetFixture, upstreams: readonly StateUpstream[]) => Promise<void> | void;
	/** Answers by state that differ from those without a change. */
	readonly expected: Readonly<Record<string, Expected>>;
};

const version = 5;
/** Log lines with which a daemon shows that it knows of a change. */
const changeEvents: ReadonlySet<string> = new Set(['configuration.inForce', 'upstream.gone', 'upstream.leaving', 'process.stopping']);

function requestId(index: number): string {
	return `cell-${index}`;
}

async function configure(fleet: FleetFixture, values: Readonly<Record<string, unknown>>): Promise<void> {
	fleet.store.put('op', 'config', createOperatorConfiguration({
		routes: stateRoutes, services: stateServices, ...values, version: version + 1,
	}));
	await fleet.waitUntil(() => fleet.logLines.some(line => line.event === 'configuration.inForce' && line.version === version + 1));
}

function changeRoutes(values: (route: Readonly<Record<string, unknown>>) => Readonly<Record<string, unknown>>): Readonly<Record<string, unknown>> {
	return {routes: stateRoutes.map(route => ({...route, ...values(route)}))};
}

const otherOf = ({kind}: Readonly<Record<string, unknown>>) => otherService({kind: kind as 'streaming' | 'idempotent'});

/** Answers when nothing can be sent any more: what has been sent ends, and nothing else has run. */
const withoutUpstreams: Change['expected'] = {
	'body being read': 'refused',
	'queued for a slot': 'refused',
	'queued for a limit': 'refused',
	'prompt being prefilled': 'refused',
	'prompt prefilled, decode queued': 'refused',
	'streaming, its upstream breaks off later': 'cut',
};

async function stop(fleet: FleetFixture): Promise<void> {
	void fleet.daemon.stop();
	await fleet.waitForLine('process.stopping');
}

const changes: readonly Change[] = [
	{
		name: 'route moved',
		apply: async fleet => configure(fleet, changeRoutes(route => ({service: otherOf(route)}))),
		expected: {'body being read': 'moved'},
	},
	{
		name: 'route dropped',
		apply: async fleet => configure(fleet, {routes: []}),
		expected: {'body being read': 'noRoute'},
	},
	{
		name: 'route and service dropped',
		apply: async fleet => configure(fleet, {routes: [], services: []}),
		expected: {'body being read': 'noRoute'},
	},
	{
		name: 'longer route added',
		apply: async fleet => configure(fleet, {
			routes: [...stateRoutes, ...stateRoutes.map((route, index) => ({
				...route, name: `n${index}`, path_prefix: `/s${index}/new/`, service: otherOf(route),
			}))],
		}),
		expected: {'body being read': 'moved'},
	},
	{
		name: 'weight to zero',
		apply: async fleet => configure(fleet, changeRoutes(route => ({traffic_split: [{service: otherOf(route), weight: 1}, {service: route.service, weight: 0}]}))),
		expected: {'body being read': 'moved'},
	},
	{
		name: 'timeout shortened',
		apply: async fleet => configure(fleet, changeRoutes(() => ({timeout_ms: 50}))),
		expected: {'body being read': 'refused'},
	},
	{
		name: 'limits shortened',
		apply: async fleet => configure(fleet, {
			limits: {
				...defaultLimits, max_header_bytes: 1024, max_body_bytes: 1, header_timeout_ms: 1,
			},
		}),
		expected: {},
	},
	{
		name: 'idle limit shortened',
		apply: async fleet => configure(fleet, {limits: {...defaultLimits, idle_timeout_ms: 1}}),
		expected: {},
	},
	{
		name: 'older version',
		async apply(fleet) {
			fleet.store.put('op', 'config', createOperatorConfiguration({routes: [], services: [], version: version - 1}));
			// An ignored row leaves no line in the log.
			const {version: rowVersion} = fleet.store;
			await fleet.waitUntil(() => fleet.store.hasHandled('op', rowVersion));
		},
		expected: {},
	},
	{
		name: 'last upstream gone',
		async apply(fleet, upstreams) {
			for (const {id} of upstreams) {
				fleet.store.remove('servers', id);
			}

			await fleet.waitUntil(() => fleet.logLines.filter(({event}) => event === 'upstream.gone').length === upstreams.length);
		},
		expected: withoutUpstreams,
	},
	{
		name: 'upstreams draining',
		async apply(fleet, upstreams) {
			for (const {id, entry} of upstreams) {
				fleet.store.put('servers', id, {...entry, state: 'draining', sequence: 2});
			}

			await fleet.waitUntil(() => fleet.logLines.filter(({event}) => event === 'upstream.leaving').length === upstreams.length);
		},
		expected: withoutUpstreams,
	},
	{
		name: 'daemon stopped',
		apply: stop,
		expected: {},
	},
	{
		// What has not been sent is refused, unless an earlier request of its route shows that it can end before the exit.
		name: 'daemon stopped, short grace',
		graceMs: 3000,
		apply: stop,
		expected: {...withoutUpstreams, 'queued for a limit': 'whole', 'prompt prefilled, decode queued': 'whole'},
	},
];

/** What was seen of one request. */
type Cell = {
	readonly response: CallerResponse | undefined;
	/** Ids of the upstreams that began to run it, in order. */
	readonly runs: readonly string[];
	readonly lines: ReadonlyArray<Readonly<Record<string, unknown>>>;
};

/** True for a state in which the request moves on by itself once the upstream's limit allows it. */
function isLimited({name}: {readonly name: string}): boolean {
	return name === 'queued for a limit' || name === 'prompt prefilled, decode queued';
}

/**
Lines that show a fault before the change: a busy machine delays requests, but does not end, refuse or crash them. A request that
waited for a limit may have been delivered after about a second, and one state is that of an ended request.
*/
function findEarlyEnds(fleet: FleetFixture): ReadonlyArray<Readonly<Record<string, unknown>>> {
	return requestStates.flatMap((state, index) => {
		const id = requestId(index);
		const mayHaveEnded = ({outcome}: Readonly<Record<string, unknown>>) => state.isReached(fleet, id) || (isLimited(state) && outcome === 'delivered');
		return fleet.logLines.filter(line => line.request === id
			&& (line.event === 'request.refused' || line.event === 'request.crashed' || (line.event === 'request.ended' && !mayHaveEnded(line))));
	});
}

/** Requests that waited for a limit and were sent before the daemon's last line about the change. */
function findSentBeforeChange({logLines}: FleetFixture): readonly string[] {
	const changedAt = logLines.findLastIndex(({event}) => changeEvents.has(event as string));
	return requestStates.flatMap((state, index) => {
		const sentAt = logLines.findIndex(({event, request, work}) => event === 'send' && work !== 'prefill' && request === requestId(index));
		return isLimited(state) && sentAt !== -1 && sentAt < changedAt ? [state.name] : [];
	});
}

/** Returns the message of a set-up that may be tried again; throws if a request has ended before the change. */
function checkRepeatable(fleet: FleetFixture, message: string): string {
	const ends = findEarlyEnds(fleet);
	if (ends.length > 0) {
		throw new Error(`Requests ended before the change: ${JSON.stringify(ends)} (${message})`);
	}

	return message;
}

/** Brings a request into each state, applies the change and waits for the answers; returns a message if the requests were not in their states together. */
async function tryColumn({apply, graceMs = stateTimeoutMs + 4000}: Change): Promise<readonly Cell[] | string> {
	await using resources = new AsyncDisposableStack();
	const fleet = resources.use(new FleetFixture());
	await fleet.start([], {graceMs, configuration: {routes: stateRoutes, services: stateServices, version}});
	const upstreams = await startStateUpstreams(fleet, resources);
	await fleet.waitUntil(() => fleet.logLines.filter(({event}) => event === 'upstream.appeared').length === upstreams.length + 3);
	const {promise: changed, resolve} = Promise.withResolvers<void>();
	const send = async (index: number): Promise<CallerResponse | undefined> => {
		try {
			return await requestStates[index]!.send(fleet, requestId(index), statePath(index), changed);
		} catch {
			return undefined;
		}
	};

	const releases: Array<() => void> = [];
	const responses: Array<Promise<CallerResponse | undefined>> = [];
	const enter = async (index: number) => {
		const {name, prepare, isReached} = requestStates[index]!;
		releases.push(...holdUpstreams(upstreams, index));
		await prepare?.(fleet, statePath(index));
		responses[index] = send(index);
		try {
			await fleet.waitUntil(() => isReached(fleet, requestId(index)), 3000);
		} catch {
			throw new Error(`The request is not ${name}: ${JSON.stringify(fleet.logLines.filter(({request}) => request === requestId(index)))}`);
		}
	};

	const entered = await Promise.allSettled(requestStates.map(async (state, index) => isLimited(state) ? undefined : enter(index)));
	// The queues for limits move on by themselves.
	entered.push(...await Promise.allSettled(requestStates.map(async (state, index) => isLimited(state) ? enter(index) : undefined)));
	const failed = entered.find(({status}) => status === 'rejected');
	if (failed?.status === 'rejected') {
		return checkRepeatable(fleet, String(failed.reason));
	}

	// The two prompts ahead of one request are in flight as well, and so is an answer that has not been written.
	expect(await fleet.metric('wagtailtack_route_open_requests')).toBe(requestStates.length + 2);
	const left = requestStates.flatMap(({isReached, name}, index) => isReached(fleet, requestId(index)) ? [] : [name]);
	if (left.length > 0) {
		return checkRepeatable(fleet, `Requests left their states before the change: ${left.join(', ')}.`);
	}

	await apply(fleet, upstreams);
	const sentEarly = findSentBeforeChange(fleet);
	if (sentEarly.length > 0) {
		return checkRepeatable(fleet, `Requests were sent before the daemon knew of the change: ${sentEarly.join(', ')}.`);
	}

	await delay(100);
	resolve();
	for (const release of releases) {
		release();
	}

	const received = await Promise.all(responses.map(async response => Promise.race([response, delay(stateTimeoutMs + 500, undefined)])));
	// The log may lag behind the answer a little; a request that has no end there fails its own test.
	const areEnded = () => requestStates.every((_, index) => fleet.logLines.some(line => line.event === 'request.ended' && line.request === requestId(index)));
	await Promise.allSettled([fleet.waitUntil(areEnded, 1000)]);
	return received.map((response, index) => ({
		response,
		runs: fleet.upstreams.flatMap(({behaviour, startedRequestIds}) => startedRequestIds.filter(id => id === requestId(index)).map(() => behaviour.id)),
		lines: fleet.logLines.filter(line => line.request === requestId(index) || (line.event === 'connection.closed' && (line.requests as readonly string[]).includes(requestId(index)))),
	}));
}

/** Tries a column again if a busy machine kept the requests from being in their states together, and none of them has ended. */
async function runColumn(change: Change): Promise<readonly Cell[]> {
	let result = await tryColumn(change);
	for (let retries = 0; retries < 2 && typeof result === 'string'; retries += 1) {
		result = await tryColumn(change);
	}

	if (typeof result === 'string') {
		throw new TypeError(result);
	}

	return result;
}

describe.each(changes)('a request beside a change: $name', ({name: changeName, expected: expectedAnswers}) => {
	const cells = requestStates.map((state, index) => ({
		...state, index, expected: expectedAnswers[state.name] ?? (state.isFailed === true ? 'failed' : 'whole'),
	}));

	test.each(cells)('$name: $expected', async ({index, route, expected, eventCount, answerBytes}) => {
		const column = await columns.get(changeName)!;
		const {response, runs, lines} = column[index]!;
		const ends = lines.filter(({event}) => event === 'request.ended');
		expect(ends, JSON.stringify(lines)).toHaveLength(1);
		expect(ends[0]!.totalMs).toBeLessThanOrEqual(stateTimeoutMs + 500);
		expect(response, JSON.stringify(lines)).toBeDefined();
		const {status, isWhole, body} = response!;
		const isComplete = isWhole && status === 200 && (eventCount === undefined
			? body.startsWith('done') || body.length === answerBytes
			: readEventIds(body).join(' ') === Array.from({length: eventCount}, (_, id) => id + 1).join(' '));
		const answers: Readonly<Record<Expected, boolean>> = {
			whole: isComplete && runs.every(id => id.startsWith(`s${index}-`)),
			moved: isComplete && runs.length === 1 && runs.every(id => id.startsWith(`${otherService(route)}-`)),
			refused: isWhole && status === 503 && runs.length === 0,
			noRoute: isWhole && status === 404 && runs.length === 0,
			failed: isWhole && status === 502 && runs.length > 0,
			cut: !isWhole && status === 200 && ends[0]!.outcome === 'brokenOff' && ends[0]!.lastOutcome === 'lost',
		};
		expect(answers[expected], `${status} ${isWhole} ${body.slice(0, 300)} ${runs.join(' ')} ${JSON.stringify(lines)}`).toBe(true);
		expect(runs.length).toBeLessThanOrEqual(route.max_attempts as number);
		expect(lines.some(({event}) => event === 'request.crashed' || (event === 'connection.closed' && expected !== 'cut'))).toBe(false);
	});
});

const columns = new Map<string, Promise<readonly Cell[]>>();

beforeAll(async () => {
	// More columns at a time would delay the requests beyond the states in which the changes have to find them.
	const waiting = [...changes];
	await Promise.all(Array.from({length: 4}, async () => {
		for (let change = waiting.shift(); change !== undefined; change = waiting.shift()) {
			const column = runColumn(change);
			columns.set(change.name, column);
			await Promise.allSettled([column]);
		}
	}));
}, 120_000);
