import type {FleetSettings} from '../../version/fleet-settings.ts';
import {announcementDelayMs} from './table-sharing.ts';

/** Times between the calls of a watch, in milliseconds. */
export type CallTimes = {
	/** Longest wait of one long-poll call; it also bounds how long a dead connection goes unnoticed. */
	readonly waitMs: number;
	/** Pause between calls, to batch rows that change constantly. */
	readonly pauseMs: number;
};

/** Timing of a watch, in milliseconds. */
export type WatchTimes = CallTimes & {
	/** Age from which the confirmation of another daemon no longer counts. */
	readonly maxAgeMs: number;
	/** Times of a daemon that reads for many others: each of its confirmations saves them a call. */
	readonly forMany: CallTimes;
};

/** Time to abandon a call that has exceeded its wait, reconnect and read, in milliseconds. */
const recoveryMs = 1500;
/** Time from the call that reports a change until sends already in progress have ended, with a slow store, in milliseconds. */
const applyMarginMs = 1200;
const minIntervalMs = 300;
/** Interval between the calls of a reader, as a fraction of the age at which its confirmation expires. */
const readIntervalFraction = 0.6;

/** Times for a table whose changes must take effect within `boundMs`. */
function createWatchTimes(boundMs: number): Pick<WatchTimes, 'maxAgeMs'> & {readonly intervalMs: number} {
	const maxAgeMs = Math.max(minIntervalMs, boundMs - applyMarginMs - minIntervalMs);
	return {maxAgeMs, intervalMs: Math.max(minIntervalMs, maxAgeMs * readIntervalFraction)};
}

/** True if a confirmation counts at other daemons for as long as its reader takes for the next one. */
function lasts(maxAgeMs: number, intervalMs: number): boolean {
	return maxAgeMs - announcementDelayMs >= intervalMs;
}

/**
Times for the configuration watch.

Configurations change rarely, so each call waits for as long as a dead connection may go unnoticed. A host must know the
current configuration within `contactMs` after its connections broke, and reconnecting takes part of that time.
*/
export function createConfigurationTimes({configApplyMs, contactMs}: Pick<FleetSettings['bounds'], 'configApplyMs' | 'contactMs'>): WatchTimes {
	const {maxAgeMs, intervalMs} = createWatchTimes(configApplyMs);
	const longestMs = Math.max(minIntervalMs, contactMs - recoveryMs);
	const sharedMs = Math.min(longestMs, intervalMs);
	return {
		waitMs: maxAgeMs > recoveryMs ? sharedMs : longestMs, pauseMs: 0, maxAgeMs, forMany: {waitMs: lasts(maxAgeMs, sharedMs) ? sharedMs : longestMs, pauseMs: 0},
	};
}

/** Times for the upstream watch: upstreams write heartbeats constantly, so a pause batches them; it is short enough for draining to take effect within `drainMs`. */
export function createListTimes({drainMs, contactMs}: Pick<FleetSettings['bounds'], 'drainMs' | 'contactMs'>): WatchTimes {
	const {maxAgeMs, intervalMs} = createWatchTimes(drainMs);
	const longestMs = Math.max(minIntervalMs, Math.min(drainMs - applyMarginMs, contactMs - recoveryMs - minIntervalMs));
	const sharedMs = Math.min(longestMs, intervalMs);
	return {
		waitMs: minIntervalMs, pauseMs: maxAgeMs > recoveryMs ? sharedMs : longestMs, maxAgeMs, forMany: {waitMs: minIntervalMs, pauseMs: lasts(maxAgeMs, sharedMs) ? sharedMs : longestMs},
	};
}
