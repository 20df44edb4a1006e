/** What a decision about a caller's connection needs; times in milliseconds of the steady clock. */
export type ConnectionView = {
	/** Requests that were read completely and are not answered completely. */
	readonly servedCount: number;
	/** True if nothing was read since the last answer. */
	readonly isIdle: boolean;
	/** Time of the last byte that was seen to arrive or to leave, or of the last answer. */
	readonly progressAt: number;
	/** Bytes of answers that the caller has not taken. */
	readonly unsentBytes: number;
};

/** Time without a byte after which an unfinished request may be given up for another connection, in milliseconds. */
const stallMs = 500;
/** Time after which a connection that waits for its next request may be closed for another connection, in milliseconds. */
const idleMs = 2000;

/**
Chooses the connection to close when there is no room for another one: one whose request has stopped arriving, the longest stalled
first, or else the one that has been idle longest. Connections with requests in progress are kept.
*/
export function chooseDispensable<View extends ConnectionView>(connections: Iterable<View>, now: number): View | undefined {
	let stalled: View | undefined;
	let idle: View | undefined;
	for (const connection of connections) {
		const {servedCount, isIdle, progressAt} = connection;
		if (servedCount > 0) {
			continue;
		}

		if (isIdle) {
			idle = now - progressAt >= idleMs && (idle === undefined || progressAt < idle.progressAt) ? connection : idle;
		} else if (now - progressAt >= stallMs && (stalled === undefined || progressAt < stalled.progressAt)) {
			stalled = connection;
		}
	}

	return stalled ?? idle;
}

/** Chooses the connections to close so that the answers that callers have not taken fit into memory: those that take nothing, and those that take some only beyond twice that memory; those with most first. */
export function chooseUnread<View extends ConnectionView>(connections: Iterable<View>, now: number, maxBytes: number): readonly View[] {
	const unread = [...connections].filter(({unsentBytes}) => unsentBytes > 0);
	let bytes = unread.reduce((sum, {unsentBytes}) => sum + unsentBytes, 0);
	if (bytes <= maxBytes) {
		return [];
	}

	const isStalled = ({progressAt}: View) => now - progressAt >= stallMs ? 1 : 0;
	const closed: View[] = [];
	for (const connection of unread.toSorted((left, right) => (isStalled(right) - isStalled(left)) || (right.unsentBytes - left.unsentBytes))) {
		if (bytes <= maxBytes * (isStalled(connection) === 1 ? 1 : 2)) {
			break;
		}

		bytes -= connection.unsentBytes;
		closed.push(connection);
	}

	return closed;
}

/** Memory of a connection with the head of a request that is being read, in bytes. */
const connectionBytes = 24 * 1024;
/** Fraction of the host's memory that the connections of callers may use. */
const connectionMemoryFraction = 0.3;
/** Descriptors that the platform keeps for files. */
const reservedDescriptors = 200;
/** Fractions of the other descriptors for connections of callers, for requests in progress, each of which has a connection to an upstream, and for connections of other daemons. */
const callerDescriptorFraction = 0.5;
const requestDescriptorFraction = 0.35;
const peerDescriptorFraction = 0.1;
const defaultMaxConnections = 8192;
const defaultMaxPeerConnections = 2048;
const minLimit = 16;

/** Returns the number of connections that callers may have on a host, whose limits are undefined where they are not known. */
export function limitConnections(memoryBytes: number | undefined, maxDescriptors: number | undefined): number {
	const byMemory = memoryBytes === undefined ? Number.POSITIVE_INFINITY : memoryBytes * connectionMemoryFraction / connectionBytes;
	return Math.max(minLimit, Math.floor(Math.min(defaultMaxConnections, byMemory, shareDescriptors(maxDescriptors, callerDescriptorFraction))));
}

/** Returns the number of requests that may be in progress at a time. */
export function limitOpenRequests(maxDescriptors: number | undefined): number {
	return Math.max(minLimit, Math.floor(shareDescriptors(maxDescriptors, requestDescriptorFraction)));
}

/** Returns the number of connections that other daemons may have. */
export function limitPeerConnections(maxDescriptors: number | undefined): number {
	return Math.max(minLimit, Math.floor(Math.min(defaultMaxPeerConnections, shareDescriptors(maxDescriptors, peerDescriptorFraction))));
}

function shareDescriptors(maxDescriptors: number | undefined, fraction: number): number {
	return maxDescriptors === undefined ? Number.POSITIVE_INFINITY : (maxDescriptors - reservedDescriptors) * fraction;
}
