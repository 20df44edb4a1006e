import type {Server} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {closeIdleConnections, stopListening} from '../connection/caller-server.ts';
import {Phase} from '../generated/peer_pb.js';
import type {Log} from './log.ts';

/** Phase in the lifecycle of a daemon. */
export type LifecyclePhase = 'starting' | 'ready' | 'draining' | 'stopped';

/** Dependencies of the lifecycle. */
export type LifecycleOptions = {
	readonly log: Log;
	/** Time that the load balancer needs to notice that the daemon is not ready, in milliseconds. */
	readonly balancerDelayMs: number;
	/** True once configuration and hosts are known. */
	readonly isPrepared: () => boolean;
	/** Called when the phase changes to draining. */
	readonly onDraining: () => void;
};

/** Releases a resource that another daemon may take over, such as a lease. */
export type DrainHook = {
	readonly name: string;
	readonly run: () => Promise<void>;
};

const peerPhases: Readonly<Record<LifecyclePhase, Phase>> = {
	starting: Phase.STARTING, ready: Phase.READY, draining: Phase.DRAINING, stopped: Phase.DRAINING,
};
const idleCheckIntervalMs = 50;
/** Limits hooks that wait for the platform's table while it is down; what they did not release then expires by itself. */
const hookTimeoutMs = 10_000;

/** Readiness and graceful shutdown of the daemon. */
export class Lifecycle {
	readonly #options: LifecycleOptions;
	readonly #hooks: DrainHook[] = [];
	#drainCompletion: Promise<void> | undefined;
	#isStopped = false;

	constructor(options: LifecycleOptions) {
		this.#options = options;
	}

	get phase(): LifecyclePhase {
		if (this.#isStopped) {
			return 'stopped';
		}

		if (this.#drainCompletion !== undefined) {
			return 'draining';
		}

		return this.#options.isPrepared() ? 'ready' : 'starting';
	}

	/** Phase as reported to peers. */
	get peerPhase(): Phase {
		return peerPhases[this.phase];
	}

	/** Adds a hook that runs once the daemon no longer accepts connections. */
	addDrainHook(hook: DrainHook): void {
		this.#hooks.push(hook);
	}

	/** Drains the server; further calls wait for the same drain and do not shorten it. */
	async drain(server: Server): Promise<void> {
		this.#drainCompletion ??= this.#drain(server);
		return this.#drainCompletion;
	}

	async #drain(server: Server): Promise<void> {
		const {log, balancerDelayMs, onDraining} = this.#options;
		log.info('The daemon is draining.', {balancerDelayMs});
		onDraining();
		await delay(balancerDelayMs);
		const closed = closeServer(server);
		await Promise.all(this.#hooks.map(async hook => this.#runHook(hook)));
		await closed;
		this.#isStopped = true;
		log.info('The daemon is drained; all requests have ended.');
	}

	async #runHook(hook: DrainHook): Promise<void> {
		try {
			await Promise.race([hook.run(), rejectAfter(hookTimeoutMs)]);
		} catch (error) {
			this.#options.log.error('A drain hook failed.', error, {name: hook.name});
		}
	}
}

/** Stops accepting connections and waits for all requests in flight; closes connections as they become idle. */
async function closeServer(server: Server): Promise<void> {
	const {promise, resolve} = Promise.withResolvers<void>();
	const timer = setInterval(() => {
		void closeIdleConnections(server);
	}, idleCheckIntervalMs);
	await stopListening(server, {onClosed: resolve});
	await promise;
	clearInterval(timer);
}

async function rejectAfter(milliseconds: number): Promise<never> {
	await delay(milliseconds, undefined, {ref: false});
	throw new Error(`Timed out after ${milliseconds} ms.`);
}
