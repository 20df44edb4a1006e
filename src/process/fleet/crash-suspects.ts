import {createHash} from 'node:crypto';
import type {RouteRequest} from '../../request/delivery/route-request.ts';

/** Upstreams that a request must have crashed before it is refused. */
const crashLimit = 3;
/** A request that has crashed nothing for so long is forgotten. */
const memoryMs = 60_000;
const suspectLimit = 2000;

type Suspect = {
	readonly upstreams: Set<string>;
	seenAt: number;
};

/** Recognises requests that come again and crash each upstream that runs them. */
export class CrashSuspects {
	readonly #now: () => number;
	readonly #suspects = new Map<string, Suspect>();

	constructor(now: () => number) {
		this.#now = now;
	}

	/** Notes that a connection broke while the request was on it. */
	connectionLost(request: RouteRequest, upstreamId: string): void {
		const now = this.#now();
		const key = createFingerprint(request);
		const suspect = this.#suspects.get(key) ?? {upstreams: new Set<string>(), seenAt: now};
		suspect.upstreams.add(upstreamId);
		suspect.seenAt = now;
		this.#suspects.delete(key);
		this.#suspects.set(key, suspect);
		this.#forget(now);
	}

	/** True when the request has crashed so many upstreams that it is kept from the others. */
	isCondemned(request: RouteRequest): boolean {
		if (this.#suspects.size === 0) {
			return false;
		}

		const suspect = this.#suspects.get(createFingerprint(request));
		return suspect !== undefined && suspect.upstreams.size >= crashLimit && this.#now() - suspect.seenAt < memoryMs;
	}

	#forget(now: number): void {
		for (const [key, {seenAt}] of this.#suspects) {
			if (this.#suspects.size <= suspectLimit && now - seenAt < memoryMs) {
				return;
			}

			this.#suspects.delete(key);
		}
	}
}

/** Identifies a request that comes again under another id. */
export function createFingerprint({method, host, target, caller, body}: RouteRequest): string {
	return createHash('sha256').update(`${method}\n${host}\n${target}\n${caller}\n`).update(body).digest('base64url');
}
