import type {UpstreamLoad} from './upstream-load.ts';

/** Multiple of the group's median latency above which an upstream is an outlier. */
const outlierRatio = 3;
/** Largest fraction of a group that may be ejected at the same time. */
const maxEjectedFraction = 1 / 3;

/** Returns the median of the values; undefined if there are none. */
export function median(values: readonly number[]): number | undefined {
	return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)];
}

/** Returns how many more upstreams of a group may be ejected. */
export function countEjectable(now: number, loads: readonly UpstreamLoad[]): number {
	return Math.floor(loads.length * maxEjectedFraction) - loads.filter(load => load.isEjected(now)).length;
}

/** Ejects the slowest outliers of one group up to the limit, and extends the ejection of those that are still slow. */
export function ejectOutliers(now: number, loads: readonly UpstreamLoad[]): void {
	const usual = median(loads.flatMap(({msPerToken}) => msPerToken ?? []));
	if (usual === undefined) {
		return;
	}

	const slow = loads
		.filter(({msPerToken}) => msPerToken !== undefined && msPerToken > usual * outlierRatio)
		.toSorted((a, b) => b.msPerToken! - a.msPerToken!);
	let room = countEjectable(now, loads);
	for (const load of slow) {
		if (load.isEjected(now)) {
			if (load.ownTokens > 0) {
				load.extendEjection(now);
			}
		} else if (room > 0) {
			load.eject(now);
			room -= 1;
		}
	}

	for (const load of loads) {
		load.expireObservations(now);
	}
}
