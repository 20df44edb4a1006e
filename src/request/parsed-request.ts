import {createHash, randomUUID} from 'node:crypto';
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import {Left, Right, type Either} from 'purify-ts';
import {resolveCall} from './call.ts';
import {createRefusal, type CallerError} from './caller-error.ts';
import {deadlineHeader, parseDeadline} from './deadline.ts';
import {maxHeaderCount} from './headers.ts';
import type {RequestBody} from './request-body.ts';
import {identifyMessages} from './prompt-parts.ts';
import type {RequestDemand, ServiceClass} from './request-demand.ts';

/** Validated head of a request, before its body is read. */
export type RequestHead = {
	readonly requestId: string;
	readonly method: string;
	readonly url: string;
	readonly headers: IncomingHttpHeaders;
	readonly serviceClass: ServiceClass;
	/** Remaining time in milliseconds, if the caller set a deadline. */
	readonly remainingMs?: number;
	readonly idempotencyKey?: string;
};

/** A complete and valid request, ready to be claimed, admitted and dispatched. */
export type ParsedRequest = {
	readonly head: RequestHead;
	readonly demand: RequestDemand;
};

const classHeader = 'wagtailtack-class';
/** Headers that must not be repeated; Node.js would silently keep one of the values. */
const singleHeaders: ReadonlySet<string> = new Set(['authorization', 'host', 'idempotency-key', classHeader, deadlineHeader]);
const validRequestId = /^[\w.\-]{1,128}$/v;
const validIdempotencyKey = /^[\u0021-\u007E]{1,255}$/v;

/** Parses and validates the head of a request. */
export function parseHead(request: IncomingMessage): Either<CallerError, RequestHead> {
	const {method = 'GET', url = '/', headers} = request;
	const key = headers['idempotency-key'] as string | undefined;
	const serviceClass = headers[classHeader] ?? 'live';
	const error = findHeadError(request);
	if (error !== undefined) {
		return Left(error);
	}

	if (serviceClass !== 'live' && serviceClass !== 'patient') {
		return Left(createRefusal(400, 'invalid_class', `${classHeader} is "live" or "patient".`));
	}

	return parseDeadline(headers[deadlineHeader] as string | undefined).map(remainingMs => ({
		requestId: resolveRequestId(headers),
		method,
		url,
		headers,
		serviceClass,
		...(remainingMs === undefined ? {} : {remainingMs}),
		...(key === undefined ? {} : {idempotencyKey: key}),
	}));
}

/** Parses a complete request from its validated head and its body. */
export function parseRequest(
	head: RequestHead,
	body: RequestBody,
	identity: {readonly customer: string; readonly nowMs: number},
): Either<CallerError, ParsedRequest> {
	const {requestId, method, url, serviceClass, remainingMs} = head;
	const {customer, nowMs} = identity;
	return resolveCall(method, url, body.bytes).map(call => ({
		head,
		demand: {
			requestId,
			customer,
			method,
			call,
			serviceClass,
			body: body.bytes,
			promptParts: identifyMessages(customer, call),
			fingerprint: createHash('sha256').update(JSON.stringify([customer, method, url])).update(body.bytes).digest('hex'),
			...(remainingMs === undefined ? {} : {deadlineMs: nowMs + remainingMs}),
		},
	}));
}

function findHeadError(request: IncomingMessage): CallerError | undefined {
	const {headers, rawHeaders} = request;
	if (rawHeaders.length > maxHeaderCount * 2) {
		return createRefusal(431, 'headers_too_large', `A request has at most ${maxHeaderCount} headers.`);
	}

	const repeated = findRepeatedHeader(rawHeaders);
	if (repeated !== undefined) {
		return createRefusal(400, 'malformed_request', `The header ${repeated} is given more than once.`);
	}

	const coding = headers['transfer-encoding'];
	if (coding !== undefined && (coding.toLowerCase() !== 'chunked' || headers['content-length'] !== undefined || request.httpVersion !== '1.1')) {
		return createRefusal(400, 'malformed_request', 'The framing of the body is ambiguous.');
	}

	const key = headers['idempotency-key'];
	return key === undefined || validIdempotencyKey.test(String(key))
		? undefined
		: createRefusal(400, 'invalid_idempotency_key', 'Idempotency-Key takes 1 to 255 visible ASCII characters.');
}

function findRepeatedHeader(rawHeaders: readonly string[]): string | undefined {
	const seen = new Set<string>();
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!.toLowerCase();
		if (singleHeaders.has(name) && seen.has(name)) {
			return name;
		}

		seen.add(name);
	}

	return undefined;
}

function resolveRequestId(headers: IncomingHttpHeaders): string {
	const given = headers['x-request-id'];
	return typeof given === 'string' && validRequestId.test(given) ? given : randomUUID();
}
