import {setTimeout as delay} from 'node:timers/promises';
import {createEndlessAnswers, createEndlessBodies} from '../fixtures/endless-answers.ts';
import {
	CallerLoad, requestKinds, usualKinds, type CallerRequest, type RequestKind,
} from './caller-load.ts';
import {CrashingCaller, crashTarget} from './crashing-caller.ts';
import type {ProxyMode} from './fault-proxy.ts';
import {applyChange} from './changes.ts';
import {leastTimeoutRatio} from './changed-configuration.ts';
import {keepEvidence} from './evidence.ts';
import {
	generateFaults, isChange, onlyFailures, type FailureKind, type Fault, type FaultGroups,
} from './fault-schedule.ts';
import {findViolations} from './invariants.ts';
import {accountRequests, readRequestLines, type Disruption} from './request-account.ts';
import {SoakDeployment, type SoakUpstream} from './soak-deployment.ts';

/** Options of a soak run. */
export type SoakOptions = {
	/** Path of the bundled daemon. */
	readonly bundle: string;
	readonly seed: number;
	readonly daemons: number;
	/** Time during which faults are injected, in milliseconds. */
	readonly faultPeriodMs: number;
	/** Adds a caller with a request that crashes plain upstreams. @default false */
	readonly hasCrashingCaller?: boolean;
	/** Pauses the daemons in short turns, as if each had a small share of a processor. @default false */
	readonly isHeld?: boolean;
	/** Kinds of faults. @default failures only */
	readonly groups?: FaultGroups;
	/** Folder for the evidence of violations. @default target/soak */
	readonly evidenceFolder?: string;
};

/** Result of a soak run. */
export type SoakResult = {
	/** A line for each violated invariant. */
	readonly violations: readonly string[];
	/** A line for each request that was sent whole and got no complete answer, and figures about them. */
	readonly account: readonly string[];
	readonly requests: number;
	readonly served: number;
	/** Upstreams that the request of the crashing caller has crashed. */
	readonly crashes: number;
	readonly faults: readonly Fault[];
	/** Folder with the evidence of violations; undefined if there are none. */
	readonly evidence: string | undefined;
};

/** Time after the last fault within which each daemon must serve each kind of request again, in milliseconds. */
const recoveryMs = 12_000;
const crashCheckIntervalMs = 5;
const crashedForMs = 400;
const linkModes: readonly ProxyMode[] = ['silent', 'answersLost', 'refused', 'slow'];
const answerFaultFlags = ['losesAnswer', 'cutsBody', 'sendsExtra', 'crossesAnswers', 'resetsUnframed', 'endsAndResets', 'endsUnframed'] as const;
/** A stop counts as planned when no other fault is active this long before it or begins this long after it; otherwise the other fault may have broken an answer. */
const quietAroundStopMs = 3000;

/** Runs callers and seeded faults against real daemon processes and checks the invariants with what callers and upstreams observed. */
export async function runSoak({
	bundle, seed, daemons, faultPeriodMs, hasCrashingCaller = false, isHeld = false, groups = onlyFailures, evidenceFolder = 'target/soak',
}: SoakOptions): Promise<SoakResult> {
	await using deployment = new SoakDeployment();
	await deployment.start(bundle, daemons, groups.hasChanges);
	const addresses = deployment.daemons.map(({callerAddress: callers}) => callers);
	await using load = new CallerLoad(addresses, seed, groups.hasChanges);
	load.start();
	await using crashingCaller = new CrashingCaller(addresses);
	if (hasCrashingCaller) {
		restartCrashed(deployment);
		crashingCaller.start();
	}

	const faults = generateFaults(seed, faultPeriodMs, groups);
	const plannedStops: Array<{readonly daemon: number; readonly at: number}> = [];
	const startedAt = performance.now();
	const holding = new AbortController();
	const held = isHeld ? deployment.holdDaemons(holding.signal) : undefined;
	await Promise.all(faults.map(async fault => {
		await delay(fault.at);
		if (fault.kind === 'daemonTerm' && isIsolated(fault, faults)) {
			plannedStops.push({daemon: fault.target % daemons, at: performance.now()});
		}

		await (isChange(fault) ? applyChange(deployment, fault) : applyFailure(deployment, fault as Fault<FailureKind>));
	}));
	await delay(Math.max(0, startedAt + faultPeriodMs - performance.now()));
	holding.abort();
	await held;
	// Bounds of time do not hold for a daemon that is slowed; the account of requests applies to it all the same.
	const slowed = isHeld ? [{from: startedAt, to: performance.now()}] : [];
	const unserved = await findUnrecovered(deployment, load);
	await load.stop();
	const account = accountLoad(deployment, load.requests, groups.hasChanges ? leastTimeoutRatio : 1);
	const violations = [
		...account.violations,
		...findViolations({
			...deployment.observe(),
			disruptions: deployment.disruptions.map(spans => [...spans, ...slowed]),
			requests: load.requests,
			leastTimeoutRatio: groups.hasChanges ? leastTimeoutRatio : 1,
			plannedStops,
			unexpectedEnds: deployment.daemons.flatMap(({unexpectedExits: unexpectedEnds}) => unexpectedEnds),
		}),
		...unserved,
		...deployment.duties.violations,
	];
	return {
		violations,
		account: [...account.report, summarizeReports(deployment.duties.reports)],
		requests: load.requests.length,
		served: load.requests.filter(({status, isComplete}) => status === 200 && isComplete).length,
		crashes: deployment.observe().crashTimes.length,
		faults,
		evidence: violations.length === 0
			? undefined
			: keepEvidence(evidenceFolder, {
				seed, violations: [...violations, ...account.report], faults, startedAt, requests: load.requests, logs: deployment.daemons.map(({output}) => output),
			}),
	};
}

function summarizeReports(reports: ReadonlyMap<number, Readonly<Record<string, number>>>): string {
	const runs = [...reports.values()].flatMap(counts => Object.values(counts)).reduce((sum, count) => sum + count, 0);
	return `usage: ${reports.size} windows with ${runs} runs reported`;
}

/** Accounts for the requests of the callers with the logs of the daemons. */
function accountLoad(deployment: SoakDeployment, requests: readonly CallerRequest[], timeoutRatio: number): ReturnType<typeof accountRequests> {
	const {seen, upstreamDisruptions} = deployment.observe();
	const {plannedWork, disruptions, daemons, configurations} = deployment;
	return accountRequests({
		requests,
		lines: daemons.map(({output}) => readRequestLines(output, performance.timeOrigin)),
		passedOn: new Set(seen.map(({headers}) => String(headers['x-request-id']))),
		plannedWork,
		disruptions,
		upstreamDisruptions,
		timeoutMs({kind}, version) {
			const routes = configurations.find(configuration => configuration.version === version)?.routes as ReadonlyArray<{readonly path_prefix: string; readonly timeout_ms: number}> | undefined;
			return routes?.find(route => route.path_prefix === requestKinds[kind].path)?.timeout_ms ?? requestKinds[kind].timeoutMs * timeoutRatio;
		},
	});
}

function isIsolated(fault: Fault, faults: readonly Fault[]): boolean {
	return faults.every(other => other === fault || isChange(other) || other.at + other.forMs + quietAroundStopMs < fault.at || other.at > fault.at + quietAroundStopMs);
}

/** Checks after the faults that each daemon serves each kind of request again; returns a line for each that does not. */
async function findUnrecovered(deployment: SoakDeployment, load: CallerLoad): Promise<readonly string[]> {
	const deadline = performance.now() + recoveryMs;
	const unserved = new Set(deployment.daemons.flatMap((_daemon, index) => usualKinds.map(kind => `${index} ${kind}`)));
	while (unserved.size > 0 && performance.now() < deadline) {
		await Promise.all([...unserved].map(async name => {
			const [daemon, kind] = name.split(' ') as [string, RequestKind];
			const {status, isComplete} = await load.send(Number(daemon), kind);
			if (status === 200 && isComplete) {
				unserved.delete(name);
			}
		}));
		await delay(100);
	}

	return [...unserved].map(name => `daemon ${name} was not served again within ${recoveryMs} ms`);
}

/** Time for which the store is away before it is back from a copy, in milliseconds. */
const restoreAwayMs = 500;

async function applyFailure(deployment: SoakDeployment, fault: Fault<FailureKind>): Promise<void> {
	const {store, daemons, upstreams, storeProxies} = deployment;
	const index = fault.target % daemons.length;
	const daemon = daemons[index]!;
	const upstream = upstreams[fault.target % upstreams.length]!;
	const startedAt = performance.now();
	const recordDisruption = (indexes: readonly number[], cause: Disruption['cause'] = 'store') => {
		for (const affected of indexes) {
			deployment.disruptions[affected]!.push({from: startedAt, to: performance.now(), cause});
		}
	};

	const allDaemons = [...daemons.keys()];
	const {faults} = store;
	switch (fault.kind) {
		case 'daemonKill':
		case 'daemonTerm': {
			await deployment.stopAndRestart(index, fault.kind === 'daemonKill' ? 'SIGKILL' : 'SIGTERM');
			break;
		}

		case 'daemonPause': {
			await deployment.pauseDaemon(index, fault.forMs);
			recordDisruption([index], 'host');
			break;
		}

		case 'daemonHup': {
			deployment.plannedWork.push({kind: 'SIGHUP', daemon: index, at: startedAt});
			daemon.signal('SIGHUP');
			break;
		}

		case 'daemonStoreLink': {
			await impairLink(storeProxies[index]!, linkModes[fault.variant]!, fault.forMs);
			recordDisruption([index], 'host');
			break;
		}

		case 'storeDown': {
			faults.status = 503;
			await delay(fault.forMs);
			faults.status = undefined;
			recordDisruption(allDaemons);
			break;
		}

		case 'storeSilent': {
			faults.isSilent = true;
			await delay(fault.forMs);
			faults.isSilent = false;
			store.closeConnections();
			recordDisruption(allDaemons);
			break;
		}

		case 'storeAnswersLost': {
			faults.losesAnswers = true;
			await delay(fault.forMs);
			faults.losesAnswers = false;
			recordDisruption(allDaemons);
			break;
		}

		case 'storeHistory': {
			store.dropHistory();
			break;
		}

		case 'storeRestored': {
			const copy = store.takeCopy();
			await delay(fault.forMs);
			const awayFrom = performance.now();
			if (fault.variant === 0) {
				faults.status = 503;
				store.closeConnections();
				await delay(restoreAwayMs);
			}

			deployment.restoreStore(copy);
			faults.status = undefined;
			for (const disruptions of deployment.disruptions) {
				disruptions.push({from: awayFrom, to: performance.now(), cause: 'store'});
			}

			break;
		}

		case 'storeReset': {
			store.closeConnections();
			recordDisruption(allDaemons);
			break;
		}

		case 'upstreamCrash': {
			await crashAndRestart(deployment, upstream, fault.forMs);
			break;
		}

		case 'upstreamLink': {
			await impairLink(upstream.proxy, linkModes[fault.variant]!, fault.forMs);
			upstream.disruptions.push({from: startedAt, to: performance.now()});
			break;
		}

		case 'upstreamAnswer': {
			await applyAnswerFault(upstream, fault);
			upstream.disruptions.push({from: startedAt, to: performance.now()});
			break;
		}

		case 'upstreamLeave': {
			await leaveAndReturn(deployment, upstream, fault.forMs);
			upstream.disruptions.push({from: startedAt, to: performance.now()});
			break;
		}

		case 'configuration': {
			deployment.configure();
			break;
		}
	}
}

async function impairLink(proxy: {mode: ProxyMode; reset: () => void}, mode: ProxyMode, forMs: number): Promise<void> {
	proxy.mode = mode;
	await delay(forMs);
	proxy.mode = 'open';
	if (mode !== 'slow') {
		proxy.reset();
	}
}

/** Makes plain upstreams crash under the request of the crashing caller, and restarts them until the deployment ends. */
function restartCrashed(deployment: SoakDeployment): void {
	const plainUpstreams = deployment.upstreams.filter(({server}) => server.behaviour.stage === undefined);
	for (const {server} of plainUpstreams) {
		server.behaviour.crashPath = crashTarget;
	}

	deployment.repeat(crashCheckIntervalMs, () => {
		for (const upstream of plainUpstreams.filter(({server, isListed}) => server.isDown && isListed)) {
			void restartRefusing(deployment, upstream);
		}
	});
}

async function restartRefusing(deployment: SoakDeployment, upstream: SoakUpstream): Promise<void> {
	upstream.proxy.refuse();
	await crashAndRestart(deployment, upstream, crashedForMs, upstream.server.crashTimes.at(-1));
	await upstream.proxy.reopen();
}

let incarnations = 0;

async function restart(upstream: SoakUpstream): Promise<void> {
	incarnations += 1;
	upstream.bornAt += 1;
	await upstream.server.restart(`${upstream.server.behaviour.id.split('.')[0]}.${incarnations}`);
	upstream.state = 'ready';
	upstream.isListed = true;
}

async function crashAndRestart({store}: SoakDeployment, upstream: SoakUpstream, forMs: number, from = performance.now()): Promise<void> {
	if (!upstream.isListed || upstream.state === 'draining') {
		return;
	}

	// The entry stays in the store for a while without heartbeats, as after a real crash.
	upstream.isListed = false;
	const {id} = upstream.server.behaviour;
	if (!upstream.server.isDown) {
		await upstream.server.crash();
	}

	await delay(forMs);
	store.remove('servers', id);
	upstream.disruptions.push({from, to: performance.now()});
	await restart(upstream);
	upstream.writeEntry(store);
}

async function leaveAndReturn({store}: SoakDeployment, upstream: SoakUpstream, forMs: number): Promise<void> {
	if (!upstream.isListed || upstream.state === 'draining') {
		return;
	}

	upstream.startLeaving(store);
	await delay(2000 + forMs);
	upstream.removeEntry(store);
	await upstream.server.crash();
	await restart(upstream);
	upstream.writeEntry(store);
}

const endlessAnswers = [...createEndlessAnswers(''), ...createEndlessBodies('')];

async function applyAnswerFault({server: {behaviour}}: SoakUpstream, {variant, target, forMs}: Fault): Promise<void> {
	const flag = answerFaultFlags[variant];
	if (flag !== undefined) {
		behaviour[flag] = true;
		await delay(forMs);
		behaviour[flag] = false;
		return;
	}

	const original = {...behaviour};
	switch (variant) {
		case answerFaultFlags.length: {
			behaviour.closesAfterEvents = 2;

			break;
		}

		case answerFaultFlags.length + 1: {
			behaviour.stallsAfterEvents = 1;

			break;
		}

		case answerFaultFlags.length + 2: {
			behaviour.endless = endlessAnswers[target % endlessAnswers.length];

			break;
		}

		default: {
			behaviour.status = 503;
			behaviour.isMarkedNotRun = true;
		}
	}

	await delay(forMs);
	Object.assign(behaviour, {
		closesAfterEvents: original.closesAfterEvents, stallsAfterEvents: original.stallsAfterEvents, endless: original.endless, status: original.status, isMarkedNotRun: original.isMarkedNotRun,
	});
}
