import type {PeerLoad, PeerMessage} from './peer-message.ts';

/** Maximum number of prefills of one daemon that are buffered. Beyond it the oldest are dropped, which is harmless because they are hints. */
const maxBufferedPrefills = 100;
/** Maximum number of items of crash news of one daemon that are buffered; the daemon repeats its recent ones. */
const maxBufferedCrashNews = 100;

/** Messages to relay, at most one per daemon: a later message of a daemon is merged into the earlier one. */
export class MessageBuffer {
	/** Their tables and crashes have an age relative to the time 0, which does not change while they wait. */
	#messages = new Map<string, PeerMessage>();

	/** Number of daemons with a buffered message. */
	get size(): number {
		return this.#messages.size;
	}

	/** Adds a message. It is merged with an earlier one of the same daemon, or replaces it when the address of the daemon has changed. */
	add(message: PeerMessage, now: number): void {
		const earlier = this.#messages.get(message.daemon);
		const added = withHigherAges(message, -now);
		this.#messages.set(message.daemon, earlier === undefined || hasNewAddress(earlier, added) ? added : merge(earlier, added));
	}

	/** Returns all messages, whose tables and crashes have aged since they were added, and empties the buffer. */
	takeAll(now: number): readonly PeerMessage[] {
		const messages = [...this.#messages.values()].map(message => withHigherAges(message, now));
		this.#messages = new Map();
		return messages;
	}
}

/** Returns a message whose tables and crashes are older by a time in milliseconds. */
function withHigherAges(message: PeerMessage, ms: number): PeerMessage {
	const {tables, crashNews} = message;
	return tables.length === 0 && crashNews.length === 0
		? message
		: {
			...message,
			tables: tables.map(table => ({...table, ageMs: table.ageMs + ms})),
			crashNews: crashNews.map(news => news.kind === 'suspected' ? {...news, ageMs: news.ageMs + ms} : news),
		};
}

/** True when the daemon has restarted at another address. */
function hasNewAddress(earlier: PeerMessage, later: PeerMessage): boolean {
	return earlier.entry !== undefined && later.entry !== undefined && earlier.entry.address !== later.entry.address;
}

function merge(earlier: PeerMessage, later: PeerMessage): PeerMessage {
	if (later.isSnapshot) {
		return {...later, ...mergeHints(earlier, later)};
	}

	const loads = new Map<string, PeerLoad>([...earlier.loads, ...later.loads].map(load => [load.upstream, load]));
	return {
		...later,
		entry: later.entry ?? earlier.entry,
		isSnapshot: earlier.isSnapshot,
		loads: [...loads.values()],
		...mergeHints(earlier, later),
	};
}

function mergeHints(earlier: PeerMessage, later: PeerMessage): Pick<PeerMessage, 'prefills' | 'crashNews' | 'limits' | 'leaving' | 'tables' | 'work'> {
	return {
		prefills: [...earlier.prefills, ...later.prefills].slice(-maxBufferedPrefills),
		crashNews: [...earlier.crashNews, ...later.crashNews].slice(-maxBufferedCrashNews),
		// Counts of sends under a limit are cumulative, so the later ones replace the earlier ones.
		limits: [...new Map([...earlier.limits, ...later.limits].map(limit => [limit.upstream, limit])).values()],
		leaving: [...new Map([...earlier.leaving, ...later.leaving].map(upstream => [upstream.id, upstream])).values()],
		tables: later.tables.length > 0 ? later.tables : earlier.tables,
		work: later.work.length > 0 ? later.work : earlier.work,
	};
}
