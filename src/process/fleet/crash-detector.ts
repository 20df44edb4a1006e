import {createHash} from 'node:crypto';
import type {RouteRequest} from '../../request/delivery/route-request.ts';
import {normalizeHost} from '../../version/routes/route-table.ts';
import type {PeerCrash} from '../peers/peer-message.ts';
import type {DecisionLog} from './decision-log.ts';

/** Dependencies of the crash detector. */
export type CrashDetectorOptions = {
	readonly now: () => number;
	readonly log: DecisionLog;
	/** Announces a crash to the other daemons. */
	readonly announce: (crash: PeerCrash) => void;
	/** Announces to the other daemons that a suspected request has completed. */
	readonly announceCleared: (fingerprint: string) => void;
};

/** Number of upstreams that a request must have crashed before it is condemned. */
const crashesToCondemn = 3;
/** Time without a further crash after which a request is no longer suspected, in milliseconds. */
const suspectTtlMs = 60_000;
/** A lost connection counts as a crash if the upstream is found to be down within this time, in milliseconds. */
const crashConfirmationMs = 6000;
const maxSuspects = 2000;
const maxLostRequests = 2000;

/** Evidence that an upstream is down or has restarted. */
export type DownEvidence = 'connectionRefused' | 'restarted' | 'gone';

type LostRequest = {
	readonly request: Pick<RouteRequest, 'id' | 'method' | 'host' | 'target' | 'callerAddress'>;
	readonly fingerprint: string;
	readonly upstream: string;
	readonly at: number;
};

type Suspect = {
	readonly upstreams: Set<string>;
	seenAt: number;
};

/**
Detects requests that are repeated and crash every upstream that runs them.

A lost connection alone is not a crash, because networks and single responses fail too. It counts as one when the upstream then
refuses connections, restarts or leaves the registry. Daemons announce each crash to each other.
*/
export class CrashDetector {
	readonly #options: CrashDetectorOptions;
	readonly #suspects = new Map<string, Suspect>();
	#lostRequests: LostRequest[] = [];

	constructor(options: CrashDetectorOptions) {
		this.#options = options;
	}

	/** Records that a connection was lost while an upstream handled the request. */
	connectionLost(request: RouteRequest, upstream: string): void {
		const at = this.#options.now();
		this.#lostRequests = this.#lostRequests.filter(loss => at - loss.at < crashConfirmationMs).slice(-maxLostRequests);
		const {id, method, host, target, callerAddress} = request;
		this.#lostRequests.push({
			request: {
				id, method, host, target, callerAddress,
			}, fingerprint: createFingerprint(request), upstream, at,
		});
	}

	/** Records that an upstream is down or has restarted: requests whose connections it lost shortly before may have crashed it. */
	upstreamDown(upstream: string, evidence: DownEvidence): void {
		const now = this.#options.now();
		const lost = this.#lostRequests.filter(loss => loss.upstream === upstream && now - loss.at < crashConfirmationMs);
		this.#lostRequests = this.#lostRequests.filter(loss => loss.upstream !== upstream);
		for (const {fingerprint, at, request: {id, method, host, target, callerAddress: caller}} of lost) {
			const crash = {fingerprint, upstream};
			this.#count([crash]);
			this.#options.log.write('crash.attributed', {
				request: id, fingerprint, upstream, evidence, lostMs: Math.round(now - at), crashes: this.#suspects.get(fingerprint)?.upstreams.size, method, host, target, caller,
			});
			this.#options.announce(crash);
		}
	}

	/** Applies crashes that another daemon has observed. */
	accept(crashes: readonly PeerCrash[]): void {
		this.#count(crashes);
		for (const {fingerprint, upstream} of crashes) {
			this.#options.log.write('crash.reported', {fingerprint, upstream, crashes: this.#suspects.get(fingerprint)?.upstreams.size});
		}
	}

	/** Records a complete answer: a request that crashes every upstream that runs it never gets one, so this one is cleared at all daemons. */
	completed(request: RouteRequest): void {
		if (this.#suspects.size === 0) {
			return;
		}

		const fingerprint = createFingerprint(request);
		if (this.#suspects.has(fingerprint)) {
			this.acceptCleared([fingerprint]);
			this.#options.announceCleared(fingerprint);
		}
	}

	/** Forgets the crashes of requests that have completed at this or another daemon. */
	acceptCleared(fingerprints: readonly string[]): void {
		for (const fingerprint of fingerprints) {
			if (this.#suspects.delete(fingerprint)) {
				this.#options.log.write('crash.cleared', {fingerprint});
			}
		}
	}

	/** Returns the fingerprint of a condemned request: one that has crashed several upstreams and is refused by all daemons (a poison request). */
	findCondemned(request: RouteRequest): string | undefined {
		if (this.#suspects.size === 0) {
			return undefined;
		}

		const fingerprint = createFingerprint(request);
		const suspect = this.#suspects.get(fingerprint);
		const isCondemned = suspect !== undefined && suspect.upstreams.size >= crashesToCondemn && this.#options.now() - suspect.seenAt < suspectTtlMs;
		return isCondemned ? fingerprint : undefined;
	}

	/** Counts crashes that this or another daemon has observed. */
	#count(crashes: readonly PeerCrash[]): void {
		const now = this.#options.now();
		for (const {fingerprint, upstream} of crashes) {
			const suspect = this.#suspects.get(fingerprint) ?? {upstreams: new Set<string>(), seenAt: now};
			const wasCondemned = suspect.upstreams.size >= crashesToCondemn;
			suspect.upstreams.add(upstream);
			suspect.seenAt = now;
			this.#suspects.delete(fingerprint);
			this.#suspects.set(fingerprint, suspect);
			if (!wasCondemned && suspect.upstreams.size >= crashesToCondemn) {
				this.#options.log.write('request.condemned', {fingerprint, upstreams: [...suspect.upstreams]});
			}
		}

		this.#removeExpired(now);
	}

	#removeExpired(now: number): void {
		for (const [key, {seenAt}] of this.#suspects) {
			if (this.#suspects.size <= maxSuspects && now - seenAt < suspectTtlMs) {
				return;
			}

			this.#suspects.delete(key);
		}
	}
}

/** Computes a fingerprint of what an upstream would run; the id and the caller's address differ from one repetition to the next. */
export function createFingerprint({method, host, target, body}: RouteRequest): string {
	return createHash('sha256').update(`${method}\n${normalizeHost(host)}\n${target}\n`).update(body).digest('base64url');
}
