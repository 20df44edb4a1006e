import type {ConfigurationDifference, ConfigurationEntry} from '../../version/configuration.ts';
import type {PeerConfigurationVersion} from './peer-configuration-source.ts';

/** What became of a difference that was offered. */
export type AcceptResult
	= | {readonly kind: 'applied'; readonly entries: readonly ConfigurationEntry[]}
		| {readonly kind: 'stale'}
		| {readonly kind: 'gap'};

/** A decision to pull from a peer. */
export type PeerPull = {readonly peer: string; readonly since: number};

/** Checks of the machine; all are on except in tests that show what each of them prevents. */
export type ConfigurationGuards = {
	readonly onlyHigherVersions: boolean;
	readonly onlyWithoutGaps: boolean;
};

/** Time after which a call without an answer no longer blocks the next one, in milliseconds. */
export const pullTimeoutMs = 2000;

/** Interval of table reads by pollers in milliseconds. */
export const pollerIntervalMs = 1000;

/** Interval of table reads by all other daemons in milliseconds. */
export const nonPollerIntervalMs = 10_000;

/** A tick may come this much early, in milliseconds; without it a read would slip to the next tick. */
const tickToleranceMs = 100;

const allGuards: ConfigurationGuards = {onlyHigherVersions: true, onlyWithoutGaps: true};

/**
Configuration that a daemon has applied, and what to pull next.

Entries carry the version that wrote them, so that a difference from any source can be merged in any order.
*/
export class ConfigurationMachine {
	readonly #guards: ConfigurationGuards;
	readonly #entries = new Map<string, ConfigurationEntry>();
	readonly #failedPeers = new Set<string>();
	#version = 0;
	#tableReadStartedAt = Number.NEGATIVE_INFINITY;
	#isTableReadPending = false;
	#peerPullStartedAt: number | undefined;

	constructor(guards: ConfigurationGuards = allGuards) {
		this.#guards = guards;
	}

	/** Version of the whole configuration that is applied; 0 for none. */
	get version(): number {
		return this.#version;
	}

	/** Applies a difference that covers everything after `since`; a lower version or one with a gap changes nothing. */
	accept(difference: ConfigurationDifference, since: number): AcceptResult {
		if (this.#guards.onlyHigherVersions && difference.version <= this.#version) {
			return {kind: 'stale'};
		}

		if (this.#guards.onlyWithoutGaps && !difference.snapshot && since > this.#version) {
			return {kind: 'gap'};
		}

		const entries = difference.entries.filter(entry => !this.#guards.onlyHigherVersions || this.#isNewer(entry));
		for (const entry of entries) {
			this.#entries.set(toEntryName(entry), entry);
		}

		this.#version = difference.version;
		return {kind: 'applied', entries};
	}

	/** Entries written after a version; the whole configuration for version 0. */
	differenceSince(version: number): ConfigurationDifference {
		const entries = [...this.#entries.values()].filter(entry => entry.version > version);
		return {version: this.#version, snapshot: version === 0, entries};
	}

	/** Decides whether to read the table now, and marks it as being read. */
	startTableRead(now: number, isPoller: boolean): boolean {
		const age = now - this.#tableReadStartedAt;
		const interval = isPoller || this.#version === 0 ? pollerIntervalMs : nonPollerIntervalMs;
		if (age < interval - tickToleranceMs || (this.#isTableReadPending && age < pullTimeoutMs)) {
			return false;
		}

		this.#tableReadStartedAt = now;
		this.#isTableReadPending = true;
		return true;
	}

	/** Notes that a table read has ended; one that found more to read is repeated at once. */
	endTableRead(isComplete: boolean): void {
		this.#isTableReadPending = false;
		if (!isComplete) {
			this.#tableReadStartedAt = Number.NEGATIVE_INFINITY;
		}
	}

	/** Decides which peer to pull from now: the one with the highest version that has not just failed. */
	startPeerPull(now: number, peers: readonly PeerConfigurationVersion[]): PeerPull | undefined {
		if (this.#peerPullStartedAt !== undefined && now - this.#peerPullStartedAt < pullTimeoutMs) {
			return undefined;
		}

		const ahead = peers.filter(({version}) => version > this.#version).toSorted((a, b) => b.version - a.version);
		const usable = ahead.filter(({peer}) => !this.#failedPeers.has(peer));
		if (usable.length === 0) {
			// All have failed once; each gets another chance.
			this.#failedPeers.clear();
		}

		const chosen = usable[0] ?? ahead[0];
		if (chosen === undefined) {
			return undefined;
		}

		this.#peerPullStartedAt = now;
		// A peer that stays silent is passed over next time.
		this.#failedPeers.add(chosen.peer);
		return {peer: chosen.peer, since: this.#version};
	}

	/** Notes that a pull from a peer has ended. */
	endPeerPull(peer: string, isAnswered: boolean): void {
		this.#peerPullStartedAt = undefined;
		if (isAnswered) {
			this.#failedPeers.delete(peer);
		}
	}

	#isNewer(entry: ConfigurationEntry): boolean {
		return entry.version > (this.#entries.get(toEntryName(entry))?.version ?? 0);
	}
}

function toEntryName({kind, name}: ConfigurationEntry): string {
	return `${kind}/${name}`;
}
