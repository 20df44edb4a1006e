/** One line of a daemon's decision log. */
export type LogLine = {
	readonly time: number;
	readonly event: string;
	readonly daemon: string;
	readonly request: string | undefined;
	readonly upstream: string | undefined;
	/** Ids of the requests that were not answered on a closed connection. */
	readonly closedRequests: readonly string[];
	readonly values: Readonly<Record<string, unknown>>;
};

/** Context events are shown from this long before the first line of the request until its last one. */
const contextWindowMs = 15_000;
const contextEvents = /^(?:upstream|store|start|configuration|stages|pool|peers|process|task)\./v;

/** Event that names several requests. */
const closedConnectionEvent = 'connection.closed';

/** Parses a log; skips lines without valid JSON, and text before the JSON of a line, such as the prefix of a log collector. */
export function parseLog(text: string): readonly LogLine[] {
	return text.split('\n').flatMap(line => {
		const start = line.indexOf('{"time"');
		if (start === -1) {
			return [];
		}

		try {
			return toLogLines(JSON.parse(line.slice(start)) as Readonly<Record<string, unknown>>);
		} catch {
			// The last line of a file may be truncated.
			return [];
		}
	});
}

/**
Selects the lines that explain one request: its own lines from all daemons, and the context events of these daemons shortly before
and during the request. Context events about upstreams that the request was not sent to are left out.
*/
export function selectTimeline(lines: readonly LogLine[], request: string): readonly LogLine[] {
	const requestLines = lines.filter(line => isAbout(line, request));
	if (requestLines.length === 0) {
		return [];
	}

	const daemons = new Set(requestLines.map(({daemon}) => daemon));
	const upstreams = new Set(requestLines.map(({upstream}) => upstream).filter(id => id !== undefined));
	const begin = Math.min(...requestLines.map(({time}) => time)) - contextWindowMs;
	const end = Math.max(...requestLines.map(({time}) => time));
	const contextLines = lines.filter(({time, event, daemon, upstream}) =>
		time >= begin && time <= end && daemons.has(daemon) && contextEvents.test(event) && (upstream === undefined || upstreams.has(upstream)));
	return [...requestLines, ...contextLines].toSorted((a, b) => a.time - b.time);
}

/** Formats a timeline, one line per event, with times in milliseconds relative to the first line of the request. */
export function formatTimeline(lines: readonly LogLine[], request: string): string {
	const start = Math.min(...lines.filter(line => isAbout(line, request)).map(({time}) => time));
	return lines.map(line => {
		const {time, event, daemon, values} = line;
		const offset = `${time >= start ? '+' : ''}${time - start}`.padStart(8);
		const details = Object.entries(values).map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`).join(' ');
		return `${offset} ms  ${daemon}  ${isAbout(line, request) ? event : '(' + event + ')'}  ${details}`;
	}).join('\n');
}

function isAbout({request, closedRequests}: LogLine, id: string): boolean {
	return request === id || closedRequests.includes(id);
}

function toLogLines({time, event, daemon, request, ...values}: Readonly<Record<string, unknown>>): readonly LogLine[] {
	const {upstream, requests} = values;
	return typeof time === 'number' && typeof event === 'string'
		? [{
			time,
			event,
			daemon: typeof daemon === 'string' ? daemon : '',
			request: typeof request === 'string' ? request : undefined,
			upstream: typeof upstream === 'string' ? upstream : undefined,
			closedRequests: event === closedConnectionEvent && Array.isArray(requests) ? requests.filter(id => typeof id === 'string') : [],
			values,
		}]
		: [];
}
