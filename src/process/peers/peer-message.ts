import {Buffer} from 'node:buffer';
import {constants, deflateRawSync, inflateRawSync} from 'node:zlib';
import {Left, type Either} from 'purify-ts';
import {
	array, boolean, Codec, exactly, number, oneOf, optional, string, tuple, type GetType,
} from 'purify-ts/Codec';

/*
Messages between daemons go as datagrams: they are hints about load and cached prompts, a lost one does no harm, and a
connection for each pair of daemons would cost more than they are worth.
*/

const entryCodec = Codec.interface({
	/** IP and port. */
	a: string,
	/** Availability zone. */
	z: string,
	/** Bandwidth of the host's link in megabits a second. */
	b: number,
});

const loadCodec = Codec.interface({
	/** Upstream. */
	u: string,
	/** Requests that run or wait there for the sender. */
	r: number,
	/** Prompt tokens that are being read there for the sender, by priority: pairs of priority and tokens. */
	t: array(tuple([number, number])),
});

const prefillCodec = Codec.interface({
	/** Upstream that reads a prompt. */
	u: string,
	/** Prompt parts: pairs of id and tokens. */
	p: array(tuple([string, number])),
});

const crashCodec = Codec.interface({
	/** Fingerprint of a request. */
	f: string,
	/** Upstream that crashed while it ran the request. */
	u: string,
});

const messageCodec = Codec.interface({
	/** Name of the daemon that tells. */
	n: string,
	e: optional(entryCodec),
	/** True when the loads are all that the daemon puts on upstreams. */
	w: optional(boolean),
	l: optional(array(loadCodec)),
	p: optional(array(prefillCodec)),
	/** Prompt tokens that wait at the daemon, by priority. */
	q: optional(array(tuple([number, number]))),
	c: optional(array(crashCodec)),
});

const scopeCodec = oneOf([exactly('direct'), exactly('own'), exactly('zones'), exactly('final')]);

const datagramCodec = Codec.interface({
	/** Name of the daemon that sends the datagram. */
	n: string,
	s: scopeCodec,
	m: array(messageCodec),
});

/** First byte of a datagram that is not compressed: an opening brace, which no compressed one begins with. */
const jsonObjectStart = 0x7B;
/** Bound on what a compressed datagram may become. */
const maxInflatedBytes = 256 * 1024;
/** Loads and prompts in one piece of a message, so that a piece fits a frame of the network. */
const maxLoadsPerFragment = 8;
const maxPrefillsPerFragment = 6;

/**
How far a datagram has come: from a daemon to all that it knows, from a daemon to its relay, from a relay to the relays of the
other availability zones, or to its last receivers, which do not pass it on.
*/
export type PeerScope = GetType<typeof scopeCodec>;

/** How a daemon is reached, and what its host's link carries. */
export type PeerEntry = {
	/** IP and port. */
	readonly address: string;
	readonly availabilityZone: string;
	/** Bandwidth of the host's link in megabits a second. */
	readonly linkMbps: number;
};

/** Load that a daemon puts on one upstream. */
export type PeerLoad = {
	readonly upstream: string;
	readonly runs: number;
	readonly tokensByPriority: ReadonlyMap<number, number>;
};

/** A prompt that an upstream begins to read. */
export type PeerPrefill = {
	readonly upstream: string;
	readonly parts: ReadonlyArray<{readonly id: string; readonly tokens: number}>;
};

/** A crash of an upstream while it ran a request. */
export type PeerCrash = {
	readonly fingerprint: string;
	readonly upstream: string;
};

/** What one daemon tells the others. */
export type PeerMessage = {
	readonly daemon: string;
	/** Left out of messages that follow one with it. */
	readonly entry: PeerEntry | undefined;
	/** True when `loads` names all upstreams with work of the daemon; otherwise those that are not named stay as told before. */
	readonly isSnapshot: boolean;
	readonly loads: readonly PeerLoad[];
	readonly prefills: readonly PeerPrefill[];
	/** Prompt tokens that wait at the daemon, by priority. */
	readonly queued: ReadonlyMap<number, number>;
	readonly crashes: readonly PeerCrash[];
};

/** Messages of one or more daemons in one datagram. */
export type PeerDatagram = {
	/** Name of the daemon that sends the datagram. */
	readonly sender: string;
	readonly scope: PeerScope;
	readonly messages: readonly PeerMessage[];
};

/** Encodes a message as JSON text. */
function encodePeerMessage({daemon, entry, isSnapshot, loads, prefills, queued, crashes}: PeerMessage): string {
	const message: GetType<typeof messageCodec> = {
		n: daemon,
		e: entry === undefined ? undefined : {a: entry.address, z: entry.availabilityZone, b: entry.linkMbps},
		w: isSnapshot || undefined,
		l: omitEmpty(loads.map(({upstream, runs, tokensByPriority}) => ({u: upstream, r: runs, t: encodeTokens(tokensByPriority)}))),
		p: omitEmpty(prefills.map(({upstream, parts}) => ({u: upstream, p: parts.map(({id, tokens}): [string, number] => [id, tokens])}))),
		q: omitEmpty(encodeTokens(queued)),
		c: omitEmpty(crashes.map(({fingerprint, upstream}) => ({f: fingerprint, u: upstream}))),
	};
	return JSON.stringify(message);
}

/** Encodes datagrams of at most `limitBytes`; messages that do not fit one as they are get compressed, and divided if need be. */
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

/** Splits a message into pieces that have the same effect one after the other. */
function splitMessage(message: PeerMessage): readonly PeerMessage[] {
	const {loads, prefills} = message;
	const count = Math.max(1, Math.ceil(loads.length / maxLoadsPerFragment), Math.ceil(prefills.length / maxPrefillsPerFragment));
	return Array.from({length: count}, (_, index) => ({
		...message,
		entry: index === 0 ? message.entry : undefined,
		isSnapshot: message.isSnapshot && index === 0,
		loads: loads.slice(index * maxLoadsPerFragment, (index + 1) * maxLoadsPerFragment),
		prefills: prefills.slice(index * maxPrefillsPerFragment, (index + 1) * maxPrefillsPerFragment),
		crashes: index === 0 ? message.crashes : [],
	}));
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

function decodeMessage({n, e, w, l, p, q, c}: GetType<typeof messageCodec>): PeerMessage {
	return {
		daemon: n,
		entry: e === undefined ? undefined : {address: e.a, availabilityZone: e.z, linkMbps: e.b},
		isSnapshot: w ?? false,
		loads: (l ?? []).map(({u, r, t}) => ({upstream: u, runs: r, tokensByPriority: new Map(t)})),
		prefills: (p ?? []).map(({u, p: parts}) => ({upstream: u, parts: parts.map(([id, tokens]) => ({id, tokens}))})),
		queued: new Map(q),
		crashes: (c ?? []).map(({f, u}) => ({fingerprint: f, upstream: u})),
	};
}

/** Empty lists are left out, since most messages have one or two items in all. */
function omitEmpty<T>(items: T[]): T[] | undefined {
	return items.length === 0 ? undefined : items;
}

function encodeTokens(tokensByPriority: ReadonlyMap<number, number>): Array<[number, number]> {
	return [...tokensByPriority].map(([priority, tokens]) => [priority, Math.round(tokens)]);
}
