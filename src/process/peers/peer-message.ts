import {Left, type Either} from 'purify-ts';
import {
	array, Codec, number, optional, string, tuple, type GetType,
} from 'purify-ts/Codec';

/*
Messages between daemons go as datagrams: they are hints about load and cached prompts, a lost one does no harm, and a
connection for each pair of daemons would cost more than they are worth.
*/

const loadCodec = Codec.interface({
	/** Upstream. */
	u: string,
	/** Requests that run or wait there for the sender. */
	r: number,
	/** Prompt tokens that are being read there for the sender, by priority: pairs of priority and tokens. */
	t: array(tuple([number, number])),
});

const readingCodec = Codec.interface({
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
	/** Name of the sender. */
	n: string,
	/** IP and port of the sender. */
	a: string,
	l: array(loadCodec),
	p: array(readingCodec),
	/** Prompt tokens that wait at the sender, by priority. */
	q: array(tuple([number, number])),
	c: optional(array(crashCodec)),
});

/** Load that a daemon puts on one upstream. */
export type PeerLoad = {
	readonly upstream: string;
	readonly runs: number;
	readonly tokensByPriority: ReadonlyMap<number, number>;
};

/** A prompt that an upstream begins to read. */
export type PeerReading = {
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
	readonly address: string;
	readonly loads: readonly PeerLoad[];
	readonly readings: readonly PeerReading[];
	/** Prompt tokens that wait at the daemon, by priority. */
	readonly queued: ReadonlyMap<number, number>;
	readonly crashes: readonly PeerCrash[];
};

/** Encodes a message as one datagram. */
export function encodePeerMessage({daemon, address, loads, readings, queued, crashes}: PeerMessage): string {
	const message: GetType<typeof messageCodec> = {
		n: daemon,
		a: address,
		l: loads.map(({upstream, runs, tokensByPriority}) => ({u: upstream, r: runs, t: encodeTokens(tokensByPriority)})),
		p: readings.map(({upstream, parts}) => ({u: upstream, p: parts.map(({id, tokens}): [string, number] => [id, tokens])})),
		q: encodeTokens(queued),
		c: crashes.length === 0 ? undefined : crashes.map(({fingerprint, upstream}) => ({f: fingerprint, u: upstream})),
	};
	return JSON.stringify(message);
}

/** Decodes a datagram; a failure is a short message. */
export function decodePeerMessage(text: string): Either<string, PeerMessage> {
	try {
		return messageCodec.decode(JSON.parse(text)).map(({n, a, l, p, q, c}) => ({
			daemon: n,
			address: a,
			loads: l.map(({u, r, t}) => ({upstream: u, runs: r, tokensByPriority: new Map(t)})),
			readings: p.map(({u, p: parts}) => ({upstream: u, parts: parts.map(([id, tokens]) => ({id, tokens}))})),
			queued: new Map(q),
			crashes: (c ?? []).map(({f, u}) => ({fingerprint: f, upstream: u})),
		}));
	} catch (error) {
		return Left(error instanceof Error ? error.message : String(error));
	}
}

function encodeTokens(tokensByPriority: ReadonlyMap<number, number>): Array<[number, number]> {
	return [...tokensByPriority].map(([priority, tokens]) => [priority, Math.round(tokens)]);
}
