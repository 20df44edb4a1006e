import {createHash} from 'node:crypto';
import type {RouteRequest} from '../../request/delivery/route-request.ts';
import type {PeerCrash} from '../peers/peer-message.ts';
import type {DecisionLog} from './decision-log.ts';

/** What the register of crashes needs. */
export type CrashDetectorOptions = {
	readonly now: () => number;
	readonly log: DecisionLog;
	/** Tells the other daemons. */
	readonly announce: (crash: PeerCrash) => void;
};

/** Upstreams that a request must have crashed before it is refused. */
const crashesToCondemn = 3;
/** A request that has crashed nothing for so long is forgotten, in milliseconds. */
const suspectTtlMs = 60_000;
/** A lost connection counts as a crash if the upstream turns out to be down within this time, in milliseconds. */
const crashConfirmationMs = 6000;
const maxSuspects = 2000;
const maxLostRequests = 2000;

type LostRequest = {
	readonly fingerprint: string;
	readonly upstream: string;
	readonly at: number;
};

type Suspect = {
	readonly upstreams: Set<string>;
	seenAt: number;
};

/**
Recognises requests that come again and crash each upstream that runs them.

A broken connection alone is no crash: networks and single answers fail too. It counts once the upstream refuses connections, has
restarted or has left the list, and daemons tell each other of each crash.
*/
export class CrashDetector {
	readonly #options: CrashDetectorOptions;
	readonly #suspects = new Map<string, Suspect>();
	#lostRequests: LostRequest[] = [];

	constructor(options: CrashDetectorOptions) {
		this.#options = options;
	}

	/** Notes that a connection broke while the request was on it. */
	connectionLost(request: RouteRequest, upstream: string): void {
		const at = this.#options.now();
		this.#lostRequests = this.#lostRequests.filter(loss => at - loss.at < crashConfirmationMs).slice(-maxLostRequests);
		this.#lostRequests.push({fingerprint: createFingerprint(request), upstream, at});
	}

	/** Notes that an upstream is down or was restarted: the requests that it lost shortly before may have crashed it. */
	upstreamDown(upstream: string): void {
		const now = this.#options.now();
		const lost = this.#lostRequests.filter(loss => loss.upstream === upstream && now - loss.at < crashConfirmationMs);
		this.#lostRequests = this.#lostRequests.filter(loss => loss.upstream !== upstream);
		for (const {fingerprint} of lost) {
			const crash = {fingerprint, upstream};
			this.accept([crash]);
			this.#options.announce(crash);
		}
	}

	/** Takes crashes that this or another daemon has seen. */
	accept(crashes: readonly PeerCrash[]): void {
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

	/** True when the request has crashed so many upstreams that it is kept from the others. */
	isCondemned(request: RouteRequest): boolean {
		if (this.#suspects.size === 0) {
			return false;
		}

		const suspect = this.#suspects.get(createFingerprint(request));
		return suspect !== undefined && suspect.upstreams.size >= crashesToCondemn && this.#options.now() - suspect.seenAt < suspectTtlMs;
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

/** Identifies a request that comes again under another id. */
export function createFingerprint({method, host, target, callerAddress: caller, body}: RouteRequest): string {
	return createHash('sha256').update(`${method}\n${host}\n${target}\n${caller}\n`).update(body).digest('base64url');
}
