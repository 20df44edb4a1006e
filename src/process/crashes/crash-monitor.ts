import {setTimeout as delay} from 'node:timers/promises';
import type {RequestIdentity} from '../../request/request-identity.ts';
import type {Clock} from '../clock.ts';
import {
	CrashAttribution, type AttemptResult, type CrashNews, type DownEvidence,
} from './crash-attribution.ts';
import type {CrashMemory} from './crash-memory.ts';
import type {InFlightAttempt} from './in-flight-attempts.ts';
import type {SuspicionStatus} from './crash-history.ts';
import type {PartRestriction} from './prompt-part-history.ts';

/** An attempt with the address at which its upstream is checked. */
export type MonitoredAttempt = InFlightAttempt & {
	/** IP address and port of the upstream. */
	readonly address: string;
};

/** Dependencies of the crash monitor. */
export type CrashMonitorOptions = {
	readonly clock: Clock;
	/** Sends news to the other daemons. */
	readonly announce: (news: CrashNews) => void;
	/** Returns true if an address refuses connections at this moment. */
	readonly refusesConnections: (address: string) => Promise<boolean>;
	/** True while an upstream accepts work; one that is leaving may drop connections as planned. */
	readonly isServing: (upstream: string) => boolean;
	/** Records a decision for operators. */
	readonly report: (event: CrashEvent, fields: Readonly<Record<string, unknown>>) => void;
	/** @default an attribution with all safety checks enabled */
	readonly attribution?: CrashAttribution;
};

/** Decisions that are reported: a request was in flight in a crash here or at a peer, a request or prompt part is refused from now on, or is no longer suspected. */
export type CrashEvent = 'crash.attributed' | 'crash.reported' | 'request.condemned' | 'crash.cleared' | 'parts.condemned' | 'parts.cleared';

/** Log messages of the events, for a log of sentences. */
export const crashMessages: Readonly<Record<CrashEvent, string>> = {
	'crash.attributed': 'A request was in flight in a crash of an upstream.',
	'crash.reported': 'A peer reported a request that may crash upstreams.',
	'request.condemned': 'A request crashes upstreams and is refused from now on.',
	'crash.cleared': 'A request is no longer suspected of crashing upstreams.',
	'parts.condemned': 'Requests with certain prompt parts crash upstreams and are refused from now on.',
	'parts.cleared': 'Prompt parts are no longer suspected of crashing upstreams.',
};

const announcedEvents: Readonly<Record<Exclude<CrashNews['kind'], 'suspected'>, CrashEvent>> = {
	condemned: 'request.condemned', cleared: 'crash.cleared', partsCondemned: 'parts.condemned', partsCleared: 'parts.cleared',
};

/** Pauses before the checks whether an upstream that has lost a connection is down, in milliseconds; a process may close connections before its listener. */
const checkDelaysMs = [0, 50, 250];
const maxReportedAttempts = 16;

/** Finds requests that crash upstreams: follows attempts, checks upstreams that lose connections, and exchanges news with the other daemons. */
export class CrashMonitor {
	readonly #options: CrashMonitorOptions;
	readonly #attribution: CrashAttribution;
	/** Addresses of the upstreams of the attempts in flight. */
	readonly #addresses = new Map<number, string>();
	/** Upstreams that are being checked. */
	readonly #checked = new Set<string>();

	constructor(options: CrashMonitorOptions) {
		this.#options = options;
		this.#attribution = options.attribution ?? new CrashAttribution();
	}

	/** Records the start of an attempt; its id is unique within the process. */
	attemptStarted(attemptId: number, attempt: MonitoredAttempt): void {
		this.#addresses.set(attemptId, attempt.address);
		this.#attribution.attemptStarted(attemptId, attempt);
	}

	/** Records the end of an attempt. */
	attemptEnded(attemptId: number, upstream: string, result: AttemptResult): void {
		const address = this.#addresses.get(attemptId);
		this.#addresses.delete(attemptId);
		const isLost = result === 'lost' && this.#options.isServing(upstream);
		this.#reportCrash(this.#attribution.attemptEnded(attemptId, result === 'lost' && !isLost ? 'other' : result, this.#now()), 'refused');
		if (isLost && address !== undefined && this.#attribution.isUndecided(upstream)) {
			void this.#check(upstream, address);
		}

		this.#announceNews();
	}

	/** Records evidence that an upstream is down or has restarted. */
	upstreamDown(upstream: string, evidence: DownEvidence): void {
		this.#reportCrash(this.#attribution.upstreamDown(upstream, evidence, this.#now()), evidence);
		this.#announceNews();
	}

	/** Applies news from another daemon. */
	applyNews(news: CrashNews): void {
		const subject = {fingerprint: '', promptParts: [], ...news};
		const status = this.statusOf(subject);
		const crashes = this.#attribution.countCrashes(subject.fingerprint);
		this.#attribution.applyNews(news, this.#now());
		if (this.#attribution.countCrashes(subject.fingerprint) > crashes || this.statusOf(subject) !== status) {
			this.#options.report('crash.reported', {...news, crashes: this.#attribution.countCrashes(subject.fingerprint), status: this.statusOf(subject)});
		}

		this.#announceNews();
	}

	/** Re-evaluates what depends on elapsed time; called several times in the delay of a condemnation. */
	tick(): void {
		this.#attribution.tick(this.#now());
		this.#announceNews();
	}

	/** Returns how strongly a request is suspected. */
	statusOf(request: RequestIdentity): SuspicionStatus {
		return this.#attribution.statusOf(request, this.#now());
	}

	/** Time for which a request must not be sent, in milliseconds; 0 if it may be. */
	withheldForMs(request: RequestIdentity): number {
		return this.#attribution.withheldForMs(request, this.#now());
	}

	/** Returns why a request must not be sent because of its prompt; undefined if its prompt is no reason. */
	restrictionOf(request: RequestIdentity): PartRestriction | undefined {
		return this.#attribution.restrictionOf(request, this.#now());
	}

	/** Selects the upstreams on which a request may run; see `CrashAttribution`. */
	selectAllowed<Upstream extends {readonly id: string}>(request: RequestIdentity, candidates: readonly Upstream[]): readonly Upstream[] {
		return this.#attribution.selectAllowed(request, candidates, this.#now());
	}

	/** Returns the news that a daemon needs which has just started or missed earlier ones. */
	repeatNews(isRelay: boolean): readonly CrashNews[] {
		return this.#attribution.repeatNews(this.#now(), isRelay);
	}

	/** Changes whenever `remember` may return something else, but for the passing of time. */
	get memoryRevision(): number {
		return this.#attribution.memoryRevision;
	}

	/** Returns what is known of crashes, to be stored. */
	remember(): CrashMemory {
		return this.#attribution.remember(this.#now());
	}

	/** Adds what was stored of crashes, unless it has been cleared since. */
	recall(memory: CrashMemory): void {
		this.#attribution.recall(memory, this.#now());
		this.#announceNews();
	}

	/** Checks whether an upstream that has lost a connection refuses new ones. */
	async #check(upstream: string, address: string): Promise<void> {
		if (this.#checked.has(upstream)) {
			return;
		}

		this.#checked.add(upstream);
		for (const delayMs of checkDelaysMs) {
			await delay(delayMs, undefined, {ref: false});
			if (!this.#attribution.isUndecided(upstream)) {
				break;
			}

			if (await this.#options.refusesConnections(address)) {
				this.upstreamDown(upstream, 'refused');
				break;
			}
		}

		this.#checked.delete(upstream);
	}

	#reportCrash(attempts: readonly InFlightAttempt[], evidence: DownEvidence): void {
		for (const {upstream, fingerprint, promptParts, startedAt, details} of attempts.slice(0, maxReportedAttempts)) {
			this.#options.report('crash.attributed', {
				...details,
				fingerprint,
				promptParts: this.#attribution.countPartCrashes(promptParts),
				upstream,
				evidence,
				inFlight: attempts.length,
				runMs: Math.round(this.#now() - startedAt),
				crashes: this.#attribution.countCrashes(fingerprint),
			});
		}
	}

	#now(): number {
		return this.#options.clock.now();
	}

	/** Announces this daemon's own conclusions, and reports those that change whether a request is refused. */
	#announceNews(): void {
		for (const news of this.#attribution.takeNews()) {
			if (news.kind !== 'suspected') {
				this.#options.report(announcedEvents[news.kind], {...news, kind: undefined});
			}

			this.#options.announce(news);
		}
	}
}
