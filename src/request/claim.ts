import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {createRefusal, type CallerError} from './caller-error.ts';
import type {StoredAnswer} from './claim-store.ts';

/** Phase of a claim: a released one may be claimed again, an unknown one never. */
export const claimPhases = ['claimed', 'done', 'unknown', 'released'] as const;

/** Phase of a claim. */
export type ClaimPhase = (typeof claimPhases)[number];

/** Answer in a claim's row: its body is inline or an object. */
export type RecordedAnswer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	/** Base64 text. */
	readonly body?: string;
	/** Name of the object with the body. */
	readonly object?: string;
};

/** Body of a claim's row. */
export type ClaimRecord = {
	/** Daemon that runs the request, one name per process. */
	readonly daemon: string;
	/** Random per claim. */
	readonly token: string;
	/** Hash of the request. */
	readonly digest: string;
	readonly phase: ClaimPhase;
	/** Wall time in milliseconds after which the key may be used again. */
	readonly expiresAt: number;
	readonly answer?: RecordedAnswer;
};

/** A claim's row as read. */
export type ClaimRow = {
	readonly revision: number;
	readonly record: ClaimRecord;
};

/** What the daemon knows when it resolves a row. */
export type ClaimContext = {
	readonly digest: string;
	/** Token of the daemon's own claim. */
	readonly token: string;
	/** Wall time in milliseconds. */
	readonly now: number;
	/** Whether a daemon is alive. */
	readonly isLive: (daemon: string) => boolean;
};

/** What a claim's row means for a request. */
export type ClaimResolution
	= | {readonly kind: 'free'; readonly revision: number}
		| {readonly kind: 'own'; readonly revision: number}
		| {readonly kind: 'answered'; readonly answer: RecordedAnswer}
		| {readonly kind: 'refused'; readonly error: CallerError};

/** Largest body that is kept in the row, in bytes. */
export const maxInlineBodyBytes = 64 * 1024;

/** Time for which a claim and its answer are kept, in milliseconds. */
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

/** Decides what a claim's row means for a request. */
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

/** Encodes an answer for a claim's row; a large body goes to the object of that name. */
export function encodeStoredAnswer(answer: StoredAnswer, object: string): RecordedAnswer {
	const {status, headers, body} = answer;
	return body.length > maxInlineBodyBytes
		? {status, headers, object}
		: {status, headers, body: Buffer.from(body).toString('base64')};
}

/** Decodes an answer of a claim's row; the body of an object is passed in. */
export function decodeStoredAnswer({status, headers, body}: RecordedAnswer, objectBody?: Uint8Array): StoredAnswer {
	return {status, headers, body: objectBody ?? Buffer.from(body ?? '', 'base64')};
}
