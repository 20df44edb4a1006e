import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {createRefusal, type CallerError} from './caller-error.ts';
import type {StoredAnswer} from './claim-store.ts';

/** Phases of a claim: a `released` one can be claimed again, an `unknown` one cannot before it expires. */
export const claimPhases = ['claimed', 'done', 'unknown', 'released'] as const;

/** Phase of a claim. */
export type ClaimPhase = (typeof claimPhases)[number];

/** Answer in a claim's row; its body is stored inline or as an object. */
export type RecordedAnswer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	/** Inline body in Base64. */
	readonly body?: string;
	/** Name of the object that holds the body. */
	readonly object?: string;
};

/** Body of a claim's row. */
export type ClaimRecord = {
	/** Daemon that runs the request; each process has its own name. */
	readonly daemon: string;
	/** Random per claim. */
	readonly token: string;
	/** Hash of the request. */
	readonly digest: string;
	readonly phase: ClaimPhase;
	/** Wall-clock time after which the key may be used again, in milliseconds. */
	readonly expiresAt: number;
	readonly answer?: RecordedAnswer;
};

/** A claim's row as read. */
export type ClaimRow = {
	readonly revision: number;
	readonly record: ClaimRecord;
};

/** Request and daemon for which a row is resolved. */
export type ClaimContext = {
	readonly digest: string;
	/** Token of the daemon's own claim. */
	readonly token: string;
	/** Wall-clock time in milliseconds. */
	readonly now: number;
	/** Whether a daemon is alive. */
	readonly isLive: (daemon: string) => boolean;
};

/** How a request proceeds, given the row of its claim. */
export type ClaimResolution
	= | {readonly kind: 'free'; readonly revision: number}
		| {readonly kind: 'own'; readonly revision: number}
		| {readonly kind: 'answered'; readonly answer: RecordedAnswer}
		| {readonly kind: 'refused'; readonly error: CallerError};

/** Largest body stored inline in the row, in bytes; a larger one becomes an object. */
export const maxInlineBodyBytes = 64 * 1024;

/** Retention of a claim and its answer, in milliseconds. */
export const claimLifetimeMs = 24 * 3_600_000;

const recordSchema = z.object({
	daemon: z.string(),
	token: z.string(),
	digest: z.string(),
	phase: z.enum(claimPhases),
	expiresAt: z.number(),
	answer: z.object({
		status: z.number(),
		headers: z.record(z.string(), z.union([z.string(), z.array(z.string())]).optional()),
		body: z.string().optional(),
		object: z.string().optional(),
	}).optional(),
});

/** Parses the body of a claim's row; throws on a malformed one. */
export function parseClaimRecord(body: string): ClaimRecord {
	return recordSchema.parse(JSON.parse(body));
}

/** Decides how a request proceeds, given the row of its claim. */
export function resolveClaim(row: ClaimRow | undefined, context: ClaimContext): ClaimResolution {
	if (row === undefined) {
		return {kind: 'free', revision: 0};
	}

	const {revision, record} = row;
	if (record.phase === 'released' || context.now > record.expiresAt) {
		return {kind: 'free', revision};
	}

	if (record.token === context.token) {
		return {kind: 'own', revision};
	}

	if (record.digest !== context.digest) {
		return {kind: 'refused', error: createRefusal(422, 'key_reused', 'The Idempotency-Key belongs to another request.')};
	}

	if (record.phase === 'done' && record.answer !== undefined) {
		return {kind: 'answered', answer: record.answer};
	}

	const isRunning = record.phase === 'claimed' && context.isLive(record.daemon);
	return {kind: 'refused', error: isRunning ? inProgress : outcomeUnknown};
}

const inProgress: CallerError = {
	status: 409, code: 'in_progress', message: 'The request is being run.', ran: 'unknown', retryAfterS: 1,
};

const outcomeUnknown: CallerError = {
	status: 409, code: 'outcome_unknown', message: 'The request may have run; its answer is not known.', ran: 'unknown',
};

/** Encodes an answer for a claim's row; a large body is stored in the object of the given name. */
export function encodeStoredAnswer(answer: StoredAnswer, object: string): RecordedAnswer {
	const {status, headers, body} = answer;
	return body.length > maxInlineBodyBytes
		? {status, headers, object}
		: {status, headers, body: Buffer.from(body).toString('base64')};
}

/** Decodes an answer from a claim's row; `objectBody` is the body of an answer stored as an object. */
export function decodeStoredAnswer({status, headers, body}: RecordedAnswer, objectBody?: Uint8Array): StoredAnswer {
	return {status, headers, body: objectBody ?? Buffer.from(body ?? '', 'base64')};
}
