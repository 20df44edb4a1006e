import {setTimeout as delay} from 'node:timers/promises';
import {CallerLoad, requestKinds, type RequestKind} from './caller-load.ts';
import type {ProxyMode} from './fault-proxy.ts';
import {drawFaults, type Fault} from './fault-schedule.ts';
import {findBrokenPromises} from './promises.ts';
import {SoakDeployment, type SoakUpstream} from './soak-deployment.ts';

/** Options of a soak run. */
export type SoakOptions = {
	/** Path of the bundled daemon. */
	readonly bundle: string;
	readonly seed: number;
	readonly daemons: number;
	/** Time during which faults are injected, in milliseconds. */
	readonly lengthMs: number;
};

/** Result of a soak run. */
export type SoakResult = {
	/** A line for each violated invariant. */
	readonly broken: readonly string[];
	readonly requests: number;
	readonly served: number;
	readonly faults: readonly Fault[];
	/** End of the log of each daemon. */
	readonly logs: readonly string[];
};

/** Time after the last fault within which each daemon must serve each kind of request again, in milliseconds. */
const recoveryMs = 12_000;
const respawnMs = 300;
const linkModes: readonly ProxyMode[] = ['silent', 'answersLost', 'refused', 'slow'];
const answerFaults = ['losesAnswer', 'cutsBody', 'sendsExtra', 'crossesAnswers', 'resetsUnframed', 'endsAndResets', 'endsUnframed'] as const;
/** A stop counts as planned when no other fault is active this long before it or begins this long after it; otherwise the other fault may have broken an answer. */
const calmBeforeStopMs = 3000;

/** Runs callers and seeded faults against real daemon processes and checks the invariants with what callers and upstreams observed. */
export async function runSoak({bundle, seed, daemons, lengthMs}: SoakOptions): Promise<SoakResult> {
	await using deployment = new SoakDeployment();
	await deployment.start(bundle, daemons);
	await using load = new CallerLoad(deployment.daemons.map(({callers}) => callers), seed);
	load.start();
	const faults = drawFaults(seed, lengthMs);
	const plannedStops: Array<{readonly daemon: number; readonly at: number}> = [];
	const startedAt = performance.now();
	await Promise.all(faults.map(async fault => {
		await delay(fault.at);
		if (fault.kind === 'daemonTerm' && isAlone(fault, faults)) {
			plannedStops.push({daemon: fault.target % daemons, at: performance.now()});
		}

		await play(deployment, fault);
	}));
	await delay(Math.max(0, startedAt + lengthMs - performance.now()));
	const unserved = await findUnserved(deployment, load);
	await load.stop();
	return {
		broken: [
			...findBrokenPromises({
				...deployment.observe(),
				requests: load.requests,
				harmed: deployment.harmed,
				plannedStops,
				unexpectedEnds: deployment.daemons.flatMap(({unexpectedEnds}) => unexpectedEnds),
			}),
			...unserved,
		],
		requests: load.requests.length,
		served: load.requests.filter(({status, isWhole}) => status === 200 && isWhole).length,
		faults,
		logs: deployment.daemons.map(({output}) => output),
	};
}

function isAlone(fault: Fault, faults: readonly Fault[]): boolean {
	return faults.every(other => other === fault || other.at + other.forMs + calmBeforeStopMs < fault.at || other.at > fault.at + calmBeforeStopMs);
}

/** Checks after the faults that each daemon serves each kind of request again; returns a line for each that does not. */
async function findUnserved(deployment: SoakDeployment, load: CallerLoad): Promise<readonly string[]> {
	const deadline = performance.now() + recoveryMs;
	const kinds = Object.keys(requestKinds) as RequestKind[];
	const unserved = new Set(deployment.daemons.flatMap((_daemon, index) => kinds.map(kind => `${index} ${kind}`)));
	while (unserved.size > 0 && performance.now() < deadline) {
		await Promise.all([...unserved].map(async name => {
			const [daemon, kind] = name.split(' ') as [string, RequestKind];
			const {status, isWhole} = await load.send(Number(daemon), kind);
			if (status === 200 && isWhole) {
				unserved.delete(name);
			}
		}));
		await delay(100);
	}

	return [...unserved].map(name => `daemon ${name} was not served again within ${recoveryMs} ms`);
}

async function play(deployment: SoakDeployment, fault: Fault): Promise<void> {
	const {store, daemons, upstreams, storeProxies} = deployment;
	const index = fault.target % daemons.length;
	const daemon = daemons[index]!;
	const upstream = upstreams[fault.target % upstreams.length]!;
	const startedAt = performance.now();
	const harm = (indexes: readonly number[]) => {
		for (const affected of indexes) {
			deployment.harmed[affected]!.push({from: startedAt, to: performance.now()});
		}
	};

	const allDaemons = [...daemons.keys()];
	const {faults} = store;
	switch (fault.kind) {
		case 'daemonKill':
		case 'daemonTerm': {
			// Several signals may hit the same process; only the first of them restarts it.
			const isFirst = !daemon.isAskedToEnd;
			daemon.signal(fault.kind === 'daemonKill' ? 'SIGKILL' : 'SIGTERM');
			await daemon.ended();
			if (isFirst) {
				await delay(respawnMs);
				daemon.start();
			}

			harm([index]);
			break;
		}

		case 'daemonPause': {
			daemon.signal('SIGSTOP');
			await delay(fault.forMs);
			daemon.signal('SIGCONT');
			harm([index]);
			break;
		}

		case 'daemonHup': {
			daemon.signal('SIGHUP');
			break;
		}

		case 'daemonStoreLink': {
			await useLink(storeProxies[index]!, linkModes[fault.variant]!, fault.forMs);
			harm([index]);
			break;
		}

		case 'storeDown': {
			faults.status = 503;
			await delay(fault.forMs);
			faults.status = undefined;
			harm(allDaemons);
			break;
		}

		case 'storeSilent': {
			faults.isSilent = true;
			await delay(fault.forMs);
			faults.isSilent = false;
			store.reset();
			harm(allDaemons);
			break;
		}

		case 'storeAnswersLost': {
			faults.losesAnswers = true;
			await delay(fault.forMs);
			faults.losesAnswers = false;
			harm(allDaemons);
			break;
		}

		case 'storeHistory': {
			store.dropHistory();
			break;
		}

		case 'storeReset': {
			store.reset();
			harm(allDaemons);
			break;
		}

		case 'upstreamCrash': {
			await crash(deployment, upstream, fault.forMs);
			break;
		}

		case 'upstreamLink': {
			await useLink(upstream.proxy, linkModes[fault.variant]!, fault.forMs);
			break;
		}

		case 'upstreamAnswer': {
			await misbehave(upstream, fault);
			break;
		}

		case 'upstreamLeave': {
			await leave(deployment, upstream, fault.forMs);
			break;
		}

		case 'configuration': {
			deployment.configure();
			break;
		}
	}
}

async function useLink(proxy: {mode: ProxyMode; reset: () => void}, mode: ProxyMode, forMs: number): Promise<void> {
	proxy.mode = mode;
	await delay(forMs);
	proxy.mode = 'open';
	if (mode !== 'slow') {
		proxy.reset();
	}
}

let incarnations = 0;

async function restart(upstream: SoakUpstream): Promise<void> {
	incarnations += 1;
	upstream.bornAt += 1;
	await upstream.server.revive(`${upstream.server.behaviour.id.split('.')[0]}.${incarnations}`);
	upstream.state = 'ready';
	upstream.isListed = true;
}

async function crash({store}: SoakDeployment, upstream: SoakUpstream, forMs: number): Promise<void> {
	if (!upstream.isListed || upstream.state === 'draining') {
		return;
	}

	// The entry stays in the store for a while without heartbeats, as after a real crash.
	upstream.isListed = false;
	const {id} = upstream.server.behaviour;
	await upstream.server.crash();
	await delay(forMs);
	store.remove('servers', id);
	await restart(upstream);
	upstream.list(store);
}

async function leave({store}: SoakDeployment, upstream: SoakUpstream, forMs: number): Promise<void> {
	if (!upstream.isListed || upstream.state === 'draining') {
		return;
	}

	upstream.leave(store);
	await delay(2000 + forMs);
	upstream.unlist(store);
	await upstream.server.crash();
	await restart(upstream);
	upstream.list(store);
}

async function misbehave({server: {behaviour}}: SoakUpstream, {variant, forMs}: Fault): Promise<void> {
	const flag = answerFaults[variant];
	if (flag !== undefined) {
		behaviour[flag] = true;
		await delay(forMs);
		behaviour[flag] = false;
		return;
	}

	const original = {...behaviour};
	if (variant === answerFaults.length) {
		behaviour.cutAfter = 2;
	} else if (variant === answerFaults.length + 1) {
		behaviour.silentAfter = 1;
	} else {
		behaviour.status = 503;
		behaviour.isNotRun = true;
	}

	await delay(forMs);
	Object.assign(behaviour, {
		cutAfter: original.cutAfter, silentAfter: original.silentAfter, status: original.status, isNotRun: original.isNotRun,
	});
}
