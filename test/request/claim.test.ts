import {describe, expect, it} from 'vitest';
import {
	maxInlineBodyBytes, encodeStoredAnswer, resolveClaim, decodeStoredAnswer, type ClaimRecord,
} from '../../src/request/claim.ts';

const answer = {status: 201, headers: {'content-type': 'text/plain'}, body: 'b25l'};
const record: ClaimRecord = {
	daemon: 'a1', token: 't1', digest: 'd1', phase: 'claimed', expiresAt: 1000,
};
const context = {
	digest: 'd1', token: 't2', now: 500, isLive: (daemon: string) => daemon === 'a1',
};

describe('resolveClaim', () => {
	// Guards against a booking that runs twice, and against one that never ran but stays blocked.
	it.each([
		['no row', undefined, {}, {kind: 'free', revision: 0}],
		['its own token', record, {token: 't1'}, {kind: 'own', revision: 3}],
		['a released claim', {...record, phase: 'released'}, {}, {kind: 'free', revision: 3}],
		['an expired claim', record, {now: 1001}, {kind: 'free', revision: 3}],
		['another digest', record, {digest: 'd2'}, {kind: 'refused', error: {status: 422, code: 'key_reused', ran: 'no'}}],
		['another digest of a stored answer', {...record, phase: 'done', answer}, {digest: 'd2'}, {kind: 'refused', error: {code: 'key_reused'}}],
		['a stored answer', {...record, phase: 'done', answer}, {}, {kind: 'answered', answer}],
		['a claim of a live daemon', record, {}, {kind: 'refused', error: {status: 409, code: 'in_progress', ran: 'unknown'}}],
		['a claim of a dead daemon', {...record, daemon: 'a2'}, {}, {kind: 'refused', error: {status: 409, code: 'outcome_unknown', ran: 'unknown'}}],
		['an abandoned claim of a live daemon', {...record, phase: 'unknown'}, {}, {kind: 'refused', error: {code: 'outcome_unknown'}}],
	])('resolves %s', (_, row, changes, expected) => {
		const resolution = resolveClaim(row && {revision: 3, record: row as ClaimRecord}, {...context, ...changes});
		expect(resolution).toMatchObject(expected);
	});
});

describe('encodeStoredAnswer', () => {
	it.each([maxInlineBodyBytes, maxInlineBodyBytes + 1])('preserves a body of %i bytes, inline or as an object', size => {
		const body = new Uint8Array(size).fill(200);
		const recorded = encodeStoredAnswer({status: 200, headers: {}, body}, 'name');
		expect(recorded.object).toBe(size > maxInlineBodyBytes ? 'name' : undefined);
		const restored = decodeStoredAnswer(recorded, recorded.object === undefined ? undefined : body);
		expect(new Uint8Array(restored.body)).toEqual(body);
	});
});
