import {Buffer} from 'node:buffer';
import {constants, deflateRawSync, inflateRawSync} from 'node:zlib';
import {Left, Right, type Either} from 'purify-ts';
import {
	array, boolean, Codec, exactly, oneOf, optional, string, tuple, type GetType,
} from 'purify-ts/Codec';
import type {Upstream} from '../../ports/upstream.ts';
import {isHostAddress} from '../address.ts';
import type {AccountWork} from '../accounts/account-usage.ts';
import type {LimitUse} from '../backpressure/shared-rate-limit.ts';
import type {CrashNews} from '../crashes/crash-attribution.ts';
import type {ServiceWork} from '../pool/service-work.ts';
import type {TableAnnouncement} from '../tables/table-sharing.ts';

/*
Daemons exchange these messages as datagrams. They are hints about load and cached prompts, so a lost one does no harm, and a
connection for each pair of daemons would cost more than the hints are worth.
*/

/** JSON has texts such as 1e999 that are decoded as infinite numbers. */
const finite = Codec.custom<number>({
	decode: value => typeof value === 'number' && Number.isFinite(value) ? Right(value) : Left('a number is missing or not finite'),
	encode: value => value,
});

const entryCodec = Codec.interface({
	/** IP address and port. */
	a: string,
	/** Availability zone. */
	z: string,
	/** Bandwidth of the host's link in megabits per second. */
	b: finite,
});

const loadCodec = Codec.interface({
	/** Upstream. */
	u: string,
	/** Number of the daemon's requests that run or wait there. */
	r: finite,
	/** The daemon's prompt tokens in prefill there: pairs of priority and tokens. */
	t: array(tuple([finite, finite])),
});

const prefillCodec = Codec.interface({
	/** Upstream that prefills a prompt. */
	u: string,
	/** Parts of the prompt: pairs of id and tokens. */
	p: array(tuple([string, finite])),
	/** Weighted tokens and milliseconds of a completed prefill. */
	o: optional(tuple([finite, finite])),
	/** Time between the events of an answer that has ended, in milliseconds. */
	i: optional(finite),
	/** Time for which the upstream takes no work, in milliseconds. */
	x: optional(finite),
});

/** News about a request, or about parts of prompts, that may crash upstreams. */
const crashCodec = Codec.interface({
	/** Fingerprint of the request; empty in news about parts. */
	f: string,
	/** Keys of the prompt parts of a suspected request, or of the parts that the news is about. */
	p: optional(array(string)),
	/** Upstream that crashed while the request was in flight there; set only for a suspected request. */
	u: optional(string),
	/** Age of that crash in milliseconds; for condemned parts, of their first crash. */
	a: optional(finite),
	/** Time for which a condemned request, or requests with condemned parts, are still refused, in milliseconds; without this and `u`, they have been cleared. */
	r: optional(finite),
});

/** Limit that an upstream named: upstream, requests per second (zero if it has ended), age in milliseconds, requests that the daemon has sent under it, and requests per second that it asks for. */
const limitCodec = tuple([string, finite, finite, finite, finite]);

/** Upstream that is leaving, and the start time of its process in Unix milliseconds, or -1 if it is unknown. */
const leavingCodec = tuple([string, finite]);

/** Copy of a table of the platform: name, version, digest and age in milliseconds. */
const tableCodec = tuple([string, finite, finite, finite]);

/** Epoch of the store that the version of a table belongs to. */
const tableEpochCodec = tuple([string, finite]);

/** Service, and the engine time that its requests need that have arrived at the daemon, and of those that it refused, in milliseconds since its start. */
const workCodec = tuple([string, finite, finite]);
/** Work of a client account since the last report: service, account, work asked for, and work placed at upstreams. */
const usageCodec = tuple([string, string, finite, finite]);

const messageCodec = Codec.interface({
	/** Name of the daemon that the message describes. */
	n: string,
	e: optional(entryCodec),
	/** True when the loads are complete: the daemon has no work on other upstreams. */
	w: optional(boolean),
	l: optional(array(loadCodec)),
	p: optional(array(prefillCodec)),
	/** Prompt tokens that are queued at the daemon: pairs of priority and tokens. */
	q: optional(array(tuple([finite, finite]))),
	k: optional(array(crashCodec)),
	g: optional(array(limitCodec)),
	v: optional(array(leavingCodec)),
	d: optional(array(tableCodec)),
	// A list of its own, because earlier releases reject tables with a further field.
	h: optional(array(tableEpochCodec)),
	o: optional(array(workCodec)),
	/** The part of `q` that belongs to client accounts beyond their share. */
	x: optional(array(tuple([finite, finite]))),
	a: optional(array(usageCodec)),
});

const scopeCodec = oneOf([exactly('direct'), exactly('own'), exactly('zones'), exactly('final')]);

const datagramCodec = Codec.interface({
	/** Name of the daemon that sends the datagram. */
	n: string,
	s: scopeCodec,
	m: array(messageCodec),
});

/** First byte of an uncompressed datagram, an opening brace. No compressed datagram starts with it. */
const jsonObjectStart = 0x7B;
/** Rates that daemons ask for are told in hundredths of a request per second. */
const rateResolution = 100;
const unknownStart = -1;
/** Maximum size of a datagram after decompression. */
const maxInflatedBytes = 256 * 1024;
/** Maximum numbers of loads, prefills, items of crash news, limits and leaving upstreams in one fragment of a message, so that a fragment fits one network frame. */
const maxLoadsPerFragment = 8;
const maxPrefillsPerFragment = 6;
const maxCrashNewsPerFragment = 6;
const maxLimitsPerFragment = 16;
const maxLeavingPerFragment = 16;
const maxUsagePerFragment = 32;

/**
Stage of a datagram on its way: `direct` from a daemon to all that it knows, `own` from a daemon to its relay, `zones` from a
relay to the relays of the other availability zones, `final` to receivers that do not forward it.
*/
export type PeerScope = GetType<typeof scopeCodec>;

/** Address of a daemon and bandwidth of its host's link. */
export type PeerEntry = {
	/** IP address and port. */
	readonly address: string;
	readonly availabilityZone: string;
	/** Bandwidth of the host's link in megabits per second. */
	readonly linkMbps: number;
};

/** Load that a daemon puts on one upstream. */
export type PeerLoad = {
	readonly upstream: string;
	readonly runs: number;
	readonly tokensByPriority: ReadonlyMap<number, number>;
};

/** News about the work of an upstream: a prompt that it begins to process, the duration of completed work, or that it takes none for a while. */
export type PeerPrefill = {
	readonly upstream: string;
	/** Parts of the prompt that it begins to process; empty in other news. */
	readonly parts: ReadonlyArray<{readonly id: string; readonly tokens: number}>;
	readonly observation?: {
		/** Weighted tokens of the prompt and the backlog ahead of it, multiplied by the reported slowdown. */
		readonly tokens: number;
		readonly elapsedMs: number;
	} | undefined;
	/** Mean time between the events of an answer that has ended, in milliseconds. */
	readonly eventMs?: number | undefined;
	/** Time for which the upstream rejects work, in milliseconds. */
	readonly unavailableMs?: number | undefined;
};

/** Limit that an upstream named, and its use by one daemon. */
export type PeerLimit = {
	readonly upstream: string;
	/** Undefined if the upstream no longer names a limit. */
	readonly requestsPerSecond: number | undefined;
	/** Age of the answer that says so, in milliseconds. */
	readonly ageMs: number;
	readonly use: LimitUse;
};

/** One start of an upstream. */
export type UpstreamStart = Pick<Upstream, 'id' | 'startedAt'>;

/** Message of one daemon to the others. */
export type PeerMessage = {
	readonly daemon: string;
	/** Address of the daemon; only some messages carry it, and it applies to the later ones too. */
	readonly entry: PeerEntry | undefined;
	/** True when `loads` lists all upstreams with work of the daemon; otherwise upstreams that are not listed keep their last reported load. */
	readonly isSnapshot: boolean;
	readonly loads: readonly PeerLoad[];
	readonly prefills: readonly PeerPrefill[];
	/** Prompt tokens that are queued at the daemon, by priority. */
	readonly queued: ReadonlyMap<number, number>;
	/** The part of `queued` that belongs to client accounts beyond their share, by priority. */
	readonly excessQueued: ReadonlyMap<number, number>;
	/** Work of client accounts that no earlier message has told; a relay sums that of several daemons. */
	readonly usage: readonly AccountWork[];
	readonly crashNews: readonly CrashNews[];
	/** All limits that the daemon knows, and those that ended recently; empty if nothing has changed. */
	readonly limits: readonly PeerLimit[];
	/** Upstreams that the daemon knows to be leaving; empty if nothing has changed. */
	readonly leaving: readonly UpstreamStart[];
	/** State of the tables that the daemon reads from the store for the others. */
	readonly tables: readonly TableAnnouncement[];
	/** Work that has arrived at the daemon; empty in messages between keep-alives. */
	readonly work: readonly ServiceWork[];
};

/** Messages of one or more daemons in one datagram. */
export type PeerDatagram = {
	/** Name of the daemon that sends the datagram. */
	readonly sender: string;
	readonly scope: PeerScope;
	readonly messages: readonly PeerMessage[];
};

/** Encodes a message as JSON text. */
function encodePeerMessage({daemon, entry, isSnapshot, loads, prefills, queued, excessQueued, usage, crashNews, limits, leaving, tables, work}: PeerMessage): string {
	const message: GetType<typeof messageCodec> = {
		n: daemon,
		e: entry === undefined ? undefined : {a: entry.address, z: entry.availabilityZone, b: entry.linkMbps},
		w: isSnapshot || undefined,
		l: omitEmpty(loads.map(({upstream, runs, tokensByPriority}) => ({u: upstream, r: runs, t: encodeTokens(tokensByPriority)}))),
		p: omitEmpty(prefills.map(prefill => encodePrefill(prefill))),
		q: omitEmpty(encodeTokens(queued)),
		k: omitEmpty(crashNews.map(news => encodeCrashNews(news))),
		g: omitEmpty(limits.map(({upstream, requestsPerSecond, ageMs, use}): [string, number, number, number, number] => [
			upstream, requestsPerSecond ?? 0, Math.round(ageMs), use.sent, Math.round(use.askedPerSecond * rateResolution) / rateResolution,
		])),
		v: omitEmpty(leaving.map(({id, startedAt}): [string, number] => [id, startedAt ?? unknownStart])),
		d: omitEmpty(tables.map(({table, position: {version}, digest, ageMs}): [string, number, number, number] => [table, version, digest, Math.round(ageMs)])),
		h: omitEmpty(tables.flatMap(({table, position: {epoch}}): Array<[string, number]> => epoch === undefined ? [] : [[table, epoch]])),
		o: omitEmpty(work.map(({service, arrivedMs, refusedMs}): [string, number, number] => [service, Math.round(arrivedMs), Math.round(refusedMs)])),
		x: omitEmpty(encodeTokens(excessQueued)),
		a: omitEmpty(usage.map(({service, account, asked, placed}): [string, string, number, number] => [service, account, Math.round(asked), Math.round(placed)])),
	};
	return JSON.stringify(message);
}

/** Encodes messages as datagrams of at most `limitBytes`. Messages that do not fit into one datagram are compressed, and divided if they still do not fit. */
export function encodePeerDatagrams({sender, scope, messages}: PeerDatagram, limitBytes: number): readonly Uint8Array[] {
	const prefix = `{"n":${JSON.stringify(sender)},"s":"${scope}","m":[`;
	const encode = (texts: readonly string[]): readonly Uint8Array[] => {
		const plain = Buffer.from(`${prefix}${texts.join(',')}]}`);
		if (plain.length <= limitBytes) {
			return [plain];
		}

		const compressed = deflateRawSync(plain, {level: constants.Z_BEST_SPEED});
		if (compressed.length <= limitBytes || texts.length === 1) {
			return [compressed];
		}

		const middle = Math.ceil(texts.length / 2);
		return [...encode(texts.slice(0, middle)), ...encode(texts.slice(middle))];
	};

	return encode(messages.flatMap(message => splitMessage(message)).map(piece => encodePeerMessage(piece)));
}

/** Splits a message into fragments that have the same effect when applied in order. */
function splitMessage(message: PeerMessage): readonly PeerMessage[] {
	const {loads, prefills, usage, crashNews, limits, leaving} = message;
	const count = Math.max(
		1,
		Math.ceil(loads.length / maxLoadsPerFragment),
		Math.ceil(prefills.length / maxPrefillsPerFragment),
		Math.ceil(crashNews.length / maxCrashNewsPerFragment),
		Math.ceil(limits.length / maxLimitsPerFragment),
		Math.ceil(leaving.length / maxLeavingPerFragment),
		Math.ceil(usage.length / maxUsagePerFragment),
	);
	return Array.from({length: count}, (_, index) => ({
		...message,
		entry: index === 0 ? message.entry : undefined,
		isSnapshot: message.isSnapshot && index === 0,
		loads: loads.slice(index * maxLoadsPerFragment, (index + 1) * maxLoadsPerFragment),
		prefills: prefills.slice(index * maxPrefillsPerFragment, (index + 1) * maxPrefillsPerFragment),
		crashNews: crashNews.slice(index * maxCrashNewsPerFragment, (index + 1) * maxCrashNewsPerFragment),
		limits: limits.slice(index * maxLimitsPerFragment, (index + 1) * maxLimitsPerFragment),
		leaving: leaving.slice(index * maxLeavingPerFragment, (index + 1) * maxLeavingPerFragment),
		usage: usage.slice(index * maxUsagePerFragment, (index + 1) * maxUsagePerFragment),
		tables: index === 0 ? message.tables : [],
		work: index === 0 ? message.work : [],
	}));
}

function encodePrefill({upstream, parts, observation, eventMs, unavailableMs}: PeerPrefill): GetType<typeof prefillCodec> {
	return {
		u: upstream,
		p: parts.map(({id, tokens}): [string, number] => [id, tokens]),
		o: observation === undefined ? undefined : [Math.round(observation.tokens), Math.round(observation.elapsedMs)],
		i: eventMs === undefined ? undefined : Math.round(eventMs),
		x: unavailableMs === undefined ? undefined : Math.round(unavailableMs),
	};
}

function decodePrefill({u, p, o, i, x}: GetType<typeof prefillCodec>): PeerPrefill {
	return {
		upstream: u,
		parts: p.map(([id, tokens]) => ({id, tokens})),
		observation: o === undefined ? undefined : {tokens: o[0], elapsedMs: o[1]},
		eventMs: i,
		unavailableMs: x,
	};
}

function encodeCrashNews(news: CrashNews): GetType<typeof crashCodec> {
	const empty = {
		p: undefined, u: undefined, a: undefined, r: undefined,
	};
	switch (news.kind) {
		case 'suspected': {
			return {
				...empty, f: news.fingerprint, p: omitEmpty([...news.promptParts]), u: news.upstream, a: Math.round(news.ageMs),
			};
		}

		case 'condemned': {
			return {...empty, f: news.fingerprint, r: Math.ceil(news.refusedForMs)};
		}

		case 'cleared': {
			return {...empty, f: news.fingerprint};
		}

		case 'partsCondemned': {
			return {
				...empty, f: '', p: [...news.promptParts], a: news.firstCrashAgeMs, r: Math.ceil(news.refusedForMs),
			};
		}

		case 'partsCleared': {
			return {...empty, f: '', p: [...news.promptParts]};
		}
	}
}

function decodeCrashNews({f, p, u, a, r}: GetType<typeof crashCodec>): CrashNews {
	const promptParts = p ?? [];
	if (u !== undefined) {
		return {
			kind: 'suspected', fingerprint: f, promptParts, upstream: u, ageMs: a ?? 0,
		};
	}

	if (f === '') {
		return r === undefined
			? {kind: 'partsCleared', promptParts}
			: {
				kind: 'partsCondemned', promptParts, refusedForMs: r, firstCrashAgeMs: a ?? 0,
			};
	}

	return r === undefined ? {kind: 'cleared', fingerprint: f} : {kind: 'condemned', fingerprint: f, refusedForMs: r};
}

/** Decodes a datagram; a failure is a short message. */
export function decodePeerDatagram(bytes: Uint8Array): Either<string, PeerDatagram> {
	try {
		const plain = bytes[0] === jsonObjectStart ? Buffer.from(bytes) : inflateRawSync(bytes, {maxOutputLength: maxInflatedBytes});
		return datagramCodec.decode(JSON.parse(plain.toString('utf8'))).map(({n, s, m}) => ({
			sender: n,
			scope: s,
			messages: m.map(message => decodeMessage(message)),
		}));
	} catch (error) {
		return Left(error instanceof Error ? error.message : String(error));
	}
}

function decodeMessage({n, e, w, l, p, q, k, g, v, d, h, o, x, a}: GetType<typeof messageCodec>): PeerMessage {
	const epochs = new Map(h);
	return {
		daemon: n,
		// A socket throws when it is told to send to a port out of range.
		entry: e === undefined || !isHostAddress(e.a) || e.b <= 0 ? undefined : {address: e.a, availabilityZone: e.z, linkMbps: e.b},
		isSnapshot: w ?? false,
		loads: (l ?? []).map(({u, r, t}) => ({upstream: u, runs: r, tokensByPriority: new Map(t)})),
		prefills: (p ?? []).map(prefill => decodePrefill(prefill)),
		queued: new Map(q),
		excessQueued: new Map(x),
		usage: (a ?? []).map(([service, account, asked, placed]) => ({
			service, account, asked: Math.max(0, asked), placed: Math.max(0, placed),
		})),
		crashNews: (k ?? []).map(news => decodeCrashNews(news)),
		limits: (g ?? []).map(([upstream, requestsPerSecond, ageMs, sent, askedPerSecond]) => ({
			upstream, requestsPerSecond: requestsPerSecond > 0 ? requestsPerSecond : undefined, ageMs, use: {sent, askedPerSecond},
		})),
		leaving: (v ?? []).map(([id, startedAt]) => ({id, startedAt: startedAt === unknownStart ? undefined : startedAt})),
		tables: (d ?? []).map(([table, version, digest, ageMs]) => ({
			table, position: {epoch: epochs.get(table), version}, digest, ageMs,
		})),
		work: (o ?? []).map(([service, arrivedMs, refusedMs]) => ({service, arrivedMs, refusedMs})),
	};
}

/** Omits empty lists, because most messages have only one or two items in total. */
function omitEmpty<T>(items: T[]): T[] | undefined {
	return items.length === 0 ? undefined : items;
}

function encodeTokens(tokensByPriority: ReadonlyMap<number, number>): Array<[number, number]> {
	return [...tokensByPriority].map(([priority, tokens]) => [priority, Math.round(tokens)]);
}
