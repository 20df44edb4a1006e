/** One line of a daemon's log of decisions. */
export type LogLine = {
	readonly time: number;
	readonly event: string;
	readonly daemon: string;
	readonly request: string | undefined;
	readonly upstream: string | undefined;
	readonly values: Readonly<Record<string, unknown>>;
};

/** What daemons believed is shown from this long before the request until it ended, in milliseconds. */
const contextWindowMs = 15_000;
const contextEvents = /^(?:upstream|store|configuration|stages|peers|process|task)\./v;

/** Parses a log; text around the JSON of a line, such as a collector's prefix, is passed over. */
export function parseLog(text: string): readonly LogLine[] {
	return text.split('\n').flatMap(line => {
		const start = line.indexOf('{"time"');
		if (start === -1) {
			return [];
		}

		try {
			return toLogLines(JSON.parse(line.slice(start)) as Readonly<Record<string, unknown>>);
		} catch {
			// A line that was cut off at the end of a file tells nothing.
			return [];
		}
	});
}

/**
Selects what explains one request: its own lines over all daemons, and what these daemons came to believe shortly before and
meanwhile about themselves and about the upstreams that the request was sent to.
*/
export function selectTimeline(lines: readonly LogLine[], request: string): readonly LogLine[] {
	const own = lines.filter(line => line.request === request);
	if (own.length === 0) {
		return [];
	}

	const daemons = new Set(own.map(({daemon}) => daemon));
	const upstreams = new Set(own.map(({upstream}) => upstream).filter(id => id !== undefined));
	const begin = Math.min(...own.map(({time}) => time)) - contextWindowMs;
	const end = Math.max(...own.map(({time}) => time));
	const beliefs = lines.filter(({time, event, daemon, upstream}) =>
		time >= begin && time <= end && daemons.has(daemon) && contextEvents.test(event) && (upstream === undefined || upstreams.has(upstream)));
	return [...own, ...beliefs].toSorted((a, b) => a.time - b.time);
}

/** Formats a timeline, one line each, with times in milliseconds from the request's first line. */
export function formatTimeline(lines: readonly LogLine[], request: string): string {
	const start = Math.min(...lines.filter(line => line.request === request).map(({time}) => time));
	return lines.map(({time, event, daemon, request: of, values}) => {
		const offset = `${time >= start ? '+' : ''}${time - start}`.padStart(8);
		const details = Object.entries(values).map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`).join(' ');
		return `${offset} ms  ${daemon}  ${of === undefined ? '(' + event + ')' : event}  ${details}`;
	}).join('\n');
}

function toLogLines({time, event, daemon, request, ...values}: Readonly<Record<string, unknown>>): readonly LogLine[] {
	const {upstream} = values;
	return typeof time === 'number' && typeof event === 'string'
		? [{
			time,
			event,
			daemon: typeof daemon === 'string' ? daemon : '',
			request: typeof request === 'string' ? request : undefined,
			upstream: typeof upstream === 'string' ? upstream : undefined,
			values,
		}]
		: [];
}
