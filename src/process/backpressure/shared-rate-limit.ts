/** What a daemon tells the others about its use of a limit. */
export type LimitUse = {
	/** Requests that the daemon has sent since it learned of the limit. */
	readonly sent: number;
	/** Requests per second that the daemon would send if it could. */
	readonly askedPerSecond: number;
};

type PeerUse = {
	sent: number;
	/** Moving average of the requests sent per millisecond. */
	sentPerMs: number;
	askedPerMs: number;
	heardAt: number;
	/** Requests that a silent daemon is assumed to have sent since it was heard. */
	assumed: number;
};

const millisecondsPerSecond = 1000;
/** Time constant of the moving averages of rates, in milliseconds. */
const rateWindowMs = 1000;
/** Silence of a daemon after which it is assumed to go on sending, in milliseconds; longer than the interval of its keep-alives. */
const silenceMs = 750;
/** Silence after which a daemon is assumed to have stopped, in milliseconds. */
const stoppedAfterMs = 3000;
/** Interval at which silent daemons are looked for, in milliseconds; there may be hundreds of daemons. */
const peerCheckIntervalMs = 100;
/** Largest debt, in the time that paying it takes, in milliseconds. */
const maxDebtMs = 2000;
/** Part of the credit that the daemons together use until they have heard of each other's sends; a larger part overshoots. */
const creditPartPerDelay = 0.5;
/** Credit beyond one request that may be saved, as a multiple of what the limit allows while news is on its way. */
const savedDelays = 4;

/**
The limit that one upstream sets on all daemons together, as a credit that grows with the limit and that each send of any daemon
reduces.

Daemons hear of each other's sends with a delay, so several of them may use the same credit. The debt that this makes is paid
before anybody sends again, so the long-run rate is the limit whatever the number of daemons and however the load is spread. To
keep the debt small, a daemon uses the credit only with a probability that falls with the number of requests that all daemons
would send while the news is on its way.
*/
export class SharedRateLimit {
	#requestsPerSecond: number;
	#credit = 0;
	#updatedAt: number;
	#sent = 0;
	#asked = 0;
	#askedAt: number;
	readonly #peers = new Map<string, PeerUse>();
	/** Sum over the daemons that are not assumed to have stopped. */
	#peersAskedPerMs = 0;
	#peersCheckedAt = Number.NEGATIVE_INFINITY;

	constructor(requestsPerSecond: number, now: number) {
		this.#requestsPerSecond = requestsPerSecond;
		this.#updatedAt = now;
		this.#askedAt = now;
	}

	/** Requests per second that the upstream takes from all daemons together. */
	get requestsPerSecond(): number {
		return this.#requestsPerSecond;
	}

	/** Changes the limit; the credit and the debt so far remain. */
	change(requestsPerSecond: number, now: number, newsDelayMs: number): void {
		this.#update(now, newsDelayMs);
		this.#requestsPerSecond = requestsPerSecond;
	}

	/** True if there is credit for a request. */
	hasRoom(now: number, newsDelayMs: number): boolean {
		this.#update(now, newsDelayMs);
		return this.#credit >= 1;
	}

	/** Asks for a send, and counts it if it is allowed; `draw` is a random number below 1. */
	take(now: number, newsDelayMs: number, draw: number): boolean {
		this.#asked = this.#decayedAsked(now) + 1;
		this.#askedAt = now;
		this.#update(now, newsDelayMs);
		if (this.#credit < 1) {
			return false;
		}

		const peersPerMs = this.#peersAskedPerMs;
		const expected = peersPerMs === 0 ? 0 : (peersPerMs + this.#askedPerMs(now)) * newsDelayMs;
		if (expected > 0 && draw >= (this.#credit * creditPartPerDelay) / expected) {
			return false;
		}

		this.count(now, newsDelayMs);
		return true;
	}

	/** Counts a send that cannot be put off. */
	count(now: number, newsDelayMs: number): void {
		this.#update(now, newsDelayMs);
		this.#sent += 1;
		this.#spend(1);
	}

	/** Use of the limit by this daemon. */
	use(now: number): LimitUse {
		return {sent: this.#sent, askedPerSecond: this.#askedPerMs(now) * millisecondsPerSecond};
	}

	/** Applies what another daemon told about its use. */
	applyPeer(daemon: string, {sent, askedPerSecond}: LimitUse, now: number, newsDelayMs: number): void {
		this.#update(now, newsDelayMs);
		const known = this.#peers.get(daemon);
		const askedPerMs = askedPerSecond / millisecondsPerSecond;
		if (known === undefined) {
			this.#peers.set(daemon, {
				sent, sentPerMs: 0, askedPerMs, heardAt: now, assumed: 0,
			});
			this.#peersAskedPerMs += askedPerMs;
			return;
		}

		this.#peersAskedPerMs += askedPerMs - (hasStopped(known, this.#peersCheckedAt) ? 0 : known.askedPerMs);

		// A daemon that has restarted counts from zero.
		const added = sent >= known.sent ? sent - known.sent : sent;
		this.#spend(added - known.assumed);
		const kept = Math.exp(-(now - known.heardAt) / rateWindowMs);
		known.sentPerMs = (known.sentPerMs * kept) + (added / rateWindowMs);
		known.sent = sent;
		known.askedPerMs = askedPerMs;
		known.heardAt = now;
		known.assumed = 0;
	}

	/** Time until the upstream takes another request of any daemon, in milliseconds. */
	predictWaitMs(now: number, newsDelayMs: number): number {
		this.#update(now, newsDelayMs);
		return Math.max(0, 1 - this.#credit) / this.#perMs;
	}

	/** Requests per second that this daemon can expect to send. */
	ownRequestsPerSecond(now: number): number {
		return this.requestsPerSecond * this.#ownPart(now);
	}

	get #perMs(): number {
		return this.#requestsPerSecond / millisecondsPerSecond;
	}

	#ownPart(now: number): number {
		const peersPerMs = this.#peersAskedPerMs;
		// One request more, so that a daemon that has not asked yet expects a part.
		const own = this.#askedPerMs(now) + (1 / rateWindowMs);
		return own / (own + peersPerMs);
	}

	#askedPerMs(now: number): number {
		return this.#decayedAsked(now) / rateWindowMs;
	}

	#decayedAsked(now: number): number {
		return this.#asked * Math.exp(-(now - this.#askedAt) / rateWindowMs);
	}

	#spend(requests: number): void {
		this.#credit = Math.max(-this.#perMs * maxDebtMs, this.#credit - requests);
	}

	/** Adds the credit of the time that has passed. */
	#update(now: number, newsDelayMs: number): void {
		if (now - this.#peersCheckedAt >= peerCheckIntervalMs) {
			this.#checkPeers(now);
		}

		const maxCredit = 1 + (this.#perMs * newsDelayMs * savedDelays);
		this.#credit = Math.min(maxCredit, this.#credit + (this.#perMs * (now - this.#updatedAt)));
		this.#updatedAt = now;
	}

	/** Counts what silent daemons are assumed to have sent, and forgets what stopped ones asked for. */
	#checkPeers(now: number): void {
		this.#peersCheckedAt = now;
		this.#peersAskedPerMs = 0;
		for (const peer of this.#peers.values()) {
			const silent = Math.min(now - peer.heardAt, stoppedAfterMs) - silenceMs;
			const assumed = Math.max(peer.assumed, silent * peer.sentPerMs);
			this.#spend(assumed - peer.assumed);
			peer.assumed = assumed;
			this.#peersAskedPerMs += hasStopped(peer, now) ? 0 : peer.askedPerMs;
		}
	}
}

function hasStopped({heardAt}: PeerUse, now: number): boolean {
	return now - heardAt >= stoppedAfterMs;
}
