import type {FleetSettings} from '../../version/fleet-settings.ts';
import type {WatchTimes} from './table-watch.ts';

/** Time for a call to be given up beyond its wait, to connect again and to read, in milliseconds. */
const recoveryMs = 1500;
/** Time from the call that brings a leaving upstream to the end of the sends that were under way, with a slow store, in milliseconds. */
const drainMarginMs = 1200;
const minIntervalMs = 300;

/**
Configurations change seldom, so each call waits as long as a connection may be silent without notice: a host counts as
connected again `contactMs` after its connections were harmed, and must know the configuration by then.
*/
export function createConfigurationTimes({contactMs}: Pick<FleetSettings['bounds'], 'contactMs'>): WatchTimes {
	return {waitMs: Math.max(minIntervalMs, contactMs - recoveryMs), pauseMs: 0};
}

/** Upstreams write their entries all the time; the pause gathers them, and leaving takes effect within `drainMs`. */
export function createListTimes({drainMs, contactMs}: Pick<FleetSettings['bounds'], 'drainMs' | 'contactMs'>): WatchTimes {
	return {waitMs: minIntervalMs, pauseMs: Math.max(minIntervalMs, Math.min(drainMs - drainMarginMs, contactMs - recoveryMs - minIntervalMs))};
}
