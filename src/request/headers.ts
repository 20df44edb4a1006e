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

/** True for headers that concern one connection and are not passed on; names are in lower case. */
export function isHopByHopHeader(name: string): boolean {
	return hopByHopHeaders.has(name);
}

/** Headers that the daemon sets itself, so that a caller's or an upstream's value never passes through. */
const daemonHeaderPrefix = 'wagtailtack-';
const droppedRequestHeaders: ReadonlySet<string> = new Set(['authorization', 'content-length', 'host', 'x-priority', 'x-request-id']);

/** Keeps a caller's headers that an upstream may see: nothing of the connection, no credentials, nothing that the daemon sets. */
export function selectRequestHeaders(headers: IncomingHttpHeaders): IncomingHttpHeaders {
	return selectHeaders(headers, droppedRequestHeaders);
}

/** Keeps an upstream's headers that a caller may see. */
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
