import {setTimeout as delay} from 'node:timers/promises';
import {CallerLoad, requestKinds, type RequestKind} from './caller-load.ts';
import type {ProxyMode} from './fault-proxy.ts';
import {drawFaults, type Fault} from './fault-schedule.ts';
import {findBrokenPromises} from './promises.ts';
import {SoakDeployment, type SoakUpstream} from './soak-deployment.ts';

/** What a run is made of. */
export type SoakOptions = {
	/** Built file of the daemon. */
	readonly bundle: string;
	readonly seed: number;
	readonly daemons: number;
	/** Time in which faults come, in milliseconds. */
	readonly lengthMs: number;
};

/** What came of a run. */
export type SoakResult = {
	readonly broken: readonly string[];
	readonly requests: number;
	readonly served: number;
	readonly faults: readonly Fault[];
	/** Last part of the log of each daemon. */
	readonly logs: readonly string[];
};

/** After the last fault, all is served again within this time, in milliseconds. */
const recoveryMs = 12_000;
const respawnMs = 300;
const linkModes: readonly ProxyMode[] = ['silent', 'answersLost', 'refused', 'slow'];
const answerFaults = ['losesAnswer', 'cutsBody', 'sendsExtra', 'crossesAnswers', 'resetsUnframed', 'endsAndResets', 'endsUnframed'] as const;
/** Faults after which another daemon's or upstream's trouble may be the reason for a broken answer. */
const calmBeforeStopMs = 3000;

/** Plays callers and faults that a seed draws on real daemon processes, and checks the promises by what callers and upstreams saw. */
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

/** Once the faults are over, each daemon serves each kind of request again. */
async function findUnserved(deployment: SoakDeployment, load: CallerLoad): Promise<readonly string[]> {
	const end = performance.now() + recoveryMs;
	const kinds = Object.keys(requestKinds) as RequestKind[];
	const open = new Set(deployment.daemons.flatMap((_daemon, index) => kinds.map(kind => `${index} ${kind}`)));
	while (open.size > 0 && performance.now() < end) {
		await Promise.all([...open].map(async name => {
			const [daemon, kind] = name.split(' ') as [string, RequestKind];
			const {status, isWhole} = await load.send(Number(daemon), kind);
			if (status === 200 && isWhole) {
				open.delete(name);
			}
		}));
		await delay(100);
	}

	return [...open].map(name => `daemon ${name} was not served again within ${recoveryMs} ms`);
}

async function play(deployment: SoakDeployment, fault: Fault): Promise<void> {
	const {store, daemons, upstreams, storeProxies} = deployment;
	const index = fault.target % daemons.length;
	const daemon = daemons[index]!;
	const upstream = upstreams[fault.target % upstreams.length]!;
	const from = performance.now();
	const harm = (indexes: readonly number[]) => {
		for (const harmed of indexes) {
			deployment.harmed[harmed]!.push({from, to: performance.now()});
		}
	};

	const everyone = [...daemons.keys()];
	const {faults} = store;
	switch (fault.kind) {
		case 'daemonKill':
		case 'daemonTerm': {
			// Signals may come in series; the process is started again once for all of them.
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
			harm(everyone);
			break;
		}

		case 'storeSilent': {
			faults.isSilent = true;
			await delay(fault.forMs);
			faults.isSilent = false;
			store.reset();
			harm(everyone);
			break;
		}

		case 'storeAnswersLost': {
			faults.losesAnswers = true;
			await delay(fault.forMs);
			faults.losesAnswers = false;
			harm(everyone);
			break;
		}

		case 'storeHistory': {
			store.dropHistory();
			break;
		}

		case 'storeReset': {
			store.reset();
			harm(everyone);
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

	// The entry stays until its heartbeats have been missing for a while.
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
	const plain = answerFaults[variant];
	if (plain !== undefined) {
		behaviour[plain] = true;
		await delay(forMs);
		behaviour[plain] = false;
		return;
	}

	const usual = {...behaviour};
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
		cutAfter: usual.cutAfter, silentAfter: usual.silentAfter, status: usual.status, isNotRun: usual.isNotRun,
	});
}
