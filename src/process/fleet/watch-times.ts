import type {FleetSettings} from '../../version/fleet-settings.ts';
import type {WatchTimes} from './table-watch.ts';

/** Time to abandon a call that has exceeded its wait, reconnect and read, in milliseconds. */
const recoveryMs = 1500;
/** Time from the call that reports a draining upstream until sends already in progress have ended, with a slow store, in milliseconds. */
const drainMarginMs = 1200;
const minIntervalMs = 300;

/**
Times for the configuration watch.

Configurations change rarely, so each call waits for as long as a dead connection may go unnoticed. A host must know the
current configuration within `contactMs` after its connections broke, and reconnecting takes part of that time.
*/
export function createConfigurationTimes({contactMs}: Pick<FleetSettings['bounds'], 'contactMs'>): WatchTimes {
	return {waitMs: Math.max(minIntervalMs, contactMs - recoveryMs), pauseMs: 0};
}

/** Times for the upstream watch: upstreams write heartbeats constantly, so a pause batches them; it is short enough for draining to take effect within `drainMs`. */
export function createListTimes({drainMs, contactMs}: Pick<FleetSettings['bounds'], 'drainMs' | 'contactMs'>): WatchTimes {
	return {waitMs: minIntervalMs, pauseMs: Math.max(minIntervalMs, Math.min(drainMs - drainMarginMs, contactMs - recoveryMs - minIntervalMs))};
}
