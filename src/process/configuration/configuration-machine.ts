import type {ConfigurationDifference, ConfigurationEntry} from '../../version/configuration.ts';
import type {PeerConfigurationVersion} from './peer-configuration-source.ts';

/** Result of offering a difference to the machine. */
export type AcceptResult
	= | {readonly kind: 'applied'; readonly entries: readonly ConfigurationEntry[]}
		| {readonly kind: 'stale'}
		| {readonly kind: 'gap'};

/** A decision to pull a difference from a peer. */
export type PeerPull = {readonly peer: string; readonly since: number};

/** Checks of the machine. All are on except in tests that show which fault each of them prevents. */
export type ConfigurationGuards = {
	readonly onlyHigherVersions: boolean;
	readonly onlyWithoutGaps: boolean;
};

/** Time after which a read or pull without an answer no longer blocks the next one, in milliseconds. */
export const pullTimeoutMs = 2000;

/** Interval of table reads by pollers, in milliseconds. */
export const pollerIntervalMs = 1000;

/** Interval of table reads by all other daemons, in milliseconds. */
export const nonPollerIntervalMs = 10_000;

/** Time by which a tick may be early, in milliseconds; without this tolerance a read would be delayed until the next tick. */
const tickToleranceMs = 100;

const allGuards: ConfigurationGuards = {onlyHigherVersions: true, onlyWithoutGaps: true};

/**
State machine of the configuration that a daemon has applied, which also decides what to read and pull next.

Each entry carries the version that wrote it, so that differences from any source can be merged in any order.
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

	/** Version of the whole configuration that is applied; 0 when none is. */
	get version(): number {
		return this.#version;
	}

	/** Applies a difference with all changes after `since`. A version that is not higher, or a gap to the applied version, changes nothing. */
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

	/** Returns the entries written after a version; the whole configuration for version 0. */
	differenceSince(version: number): ConfigurationDifference {
		const entries = [...this.#entries.values()].filter(entry => entry.version > version);
		return {version: this.#version, snapshot: version === 0, entries};
	}

	/** Decides whether to read the table now; if so, records that a read has started. */
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

	/** Records that a table read has ended; an incomplete one is repeated without waiting for the interval. */
	endTableRead(isComplete: boolean): void {
		this.#isTableReadPending = false;
		if (!isComplete) {
			this.#tableReadStartedAt = Number.NEGATIVE_INFINITY;
		}
	}

	/** Decides which peer to pull from now: the one with the highest version whose last pull did not fail. */
	startPeerPull(now: number, peers: readonly PeerConfigurationVersion[]): PeerPull | undefined {
		if (this.#peerPullStartedAt !== undefined && now - this.#peerPullStartedAt < pullTimeoutMs) {
			return undefined;
		}

		const ahead = peers.filter(({version}) => version > this.#version).toSorted((a, b) => b.version - a.version);
		const usable = ahead.filter(({peer}) => !this.#failedPeers.has(peer));
		if (usable.length === 0) {
			// All peers with a higher version have failed once; each is tried again.
			this.#failedPeers.clear();
		}

		const chosen = usable[0] ?? ahead[0];
		if (chosen === undefined) {
			return undefined;
		}

		this.#peerPullStartedAt = now;
		// Counts as failed until it answers, so that a silent peer is skipped next time.
		this.#failedPeers.add(chosen.peer);
		return {peer: chosen.peer, since: this.#version};
	}

	/** Records that a pull from a peer has ended. */
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
