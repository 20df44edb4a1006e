import type {Host} from '../../ports/host-list.ts';
import type {AttemptEnd, AttemptStart} from '../../request/attempt-listener.ts';
import {createRefusal, type CallerError} from '../../request/caller-error.ts';
import {CrashRegister} from '../../request/crash-register.ts';
import type {RequestDemand} from '../../request/request-demand.ts';
import type {Clock} from '../clock.ts';
import {CrashSuspicion, type CrashNews, type FlightEnd} from './crash-suspicion.ts';

/** What the register needs from the rest of the daemon. */
export type UpstreamCrashRegisterOptions = {
	readonly clock: Clock;
	/** Tells the other daemons. */
	readonly announce: (news: CrashNews) => void;
	/** @default one with all checks */
	readonly suspicion?: CrashSuspicion;
};

const condemned = createRefusal(422, 'request_crashes_upstreams', 'The request has crashed the upstreams that ran it.');
const withheld = createRefusal(503, 'request_under_suspicion', 'The request may have crashed upstreams; this is being settled.', 2);

/** Keeps requests that crash upstreams away from them, with what all daemons know. */
export class UpstreamCrashRegister extends CrashRegister {
	readonly #options: UpstreamCrashRegisterOptions;
	readonly #suspicion: CrashSuspicion;

	constructor(options: UpstreamCrashRegisterOptions) {
		super();
		this.#options = options;
		this.#suspicion = options.suspicion ?? new CrashSuspicion();
	}

	check({fingerprint}: RequestDemand): CallerError | undefined {
		const standing = this.#suspicion.standingOf(fingerprint, this.#now());
		if (standing === 'condemned') {
			return condemned;
		}

		return standing === 'pending' ? withheld : undefined;
	}

	selectUsable({fingerprint}: RequestDemand, candidates: readonly Host[]): readonly Host[] {
		return this.#suspicion.select(fingerprint, candidates, this.#now());
	}

	attemptStarted({attemptId, demand, upstream, startMs}: AttemptStart): void {
		this.#suspicion.started(attemptId, {upstream: upstream.id, fingerprint: demand.fingerprint, startedAt: startMs});
	}

	attemptEnded({attemptId}: AttemptStart, end: AttemptEnd): void {
		this.#suspicion.ended(attemptId, toFlightEnd(end), this.#now());
		this.#tell();
	}

	/** Learns what another daemon has told. */
	learn(news: CrashNews): void {
		this.#suspicion.learn(news, this.#now());
		this.#tell();
	}

	/** Draws the conclusions that time alone brings; called each second. */
	tick(): void {
		this.#suspicion.tick(this.#now());
		this.#tell();
	}

	#now(): number {
		return this.#options.clock.now();
	}

	#tell(): void {
		for (const news of this.#suspicion.takeNews()) {
			this.#options.announce(news);
		}
	}
}

function toFlightEnd({outcome, status, isLeaving}: AttemptEnd): FlightEnd {
	if (outcome === 'complete') {
		return 'complete';
	}

	// An upstream that refuses a request with 503 is up.
	return outcome === 'connection_lost' && status !== 503 && !isLeaving ? 'lost' : 'other';
}
