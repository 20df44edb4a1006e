import type {IncomingHttpHeaders} from 'node:http';

const hopByHopHeaders: ReadonlySet<string> = new Set([
	'connection',
	'expect',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
]);

/** Largest number of headers in a request. */
export const maxHeaderCount = 100;

/** True for a hop-by-hop header, which is not forwarded; the name is in lower case. */
export function isHopByHopHeader(name: string): boolean {
	return hopByHopHeaders.has(name);
}

/** Prefix of headers that only the daemon sets; values from callers and upstreams are never forwarded. */
const daemonHeaderPrefix = 'wagtailtack-';
/** Identifies a request; an upstream that repeats it in its answer shows to which request the answer belongs. */
export const requestIdHeader = 'x-request-id';

const droppedRequestHeaders: ReadonlySet<string> = new Set(['authorization', 'content-length', 'host', 'x-priority', requestIdHeader]);

/** Selects the caller's headers to forward to an upstream: no hop-by-hop headers, no credentials, none that the daemon sets. */
export function selectRequestHeaders(headers: IncomingHttpHeaders): IncomingHttpHeaders {
	return selectHeaders(headers, droppedRequestHeaders);
}

/** Selects the upstream's headers to forward to a caller. */
export function selectAnswerHeaders(headers: IncomingHttpHeaders): IncomingHttpHeaders {
	return selectHeaders(headers, new Set());
}

function selectHeaders(headers: IncomingHttpHeaders, dropped: ReadonlySet<string>): IncomingHttpHeaders {
	const {connection} = headers;
	const listed = connection === undefined || connection === 'keep-alive' || connection === 'close'
		? undefined
		: new Set(String(connection).split(',').map(name => name.trim().toLowerCase()));
	const selected: IncomingHttpHeaders = {};
	for (const name of Object.keys(headers)) {
		if (!isHopByHopHeader(name) && !dropped.has(name) && !name.startsWith(daemonHeaderPrefix) && listed?.has(name) !== true) {
			selected[name] = headers[name];
		}
	}

	return selected;
}
