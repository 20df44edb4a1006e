import {Buffer} from 'node:buffer';
import type {RequestDemand} from '../../request/request-demand.ts';
import type {RequestSize} from './upstream-load.ts';

/** Estimated bytes of request body per prompt token. */
const bytesPerToken = 4;
/** Assumed output length of requests without a limit. */
const defaultOutputTokens = 128;
const serviceRequestSize: RequestSize = {promptTokens: 16, outputTokens: 1};
const outputLimitFields = ['"max_tokens"', '"max_completion_tokens"'];
/** Bytes after a field's name that are searched for its value. */
const maxValueBytes = 24;

/** Estimates the size of a request without parsing its body. */
export function estimateSize({call, body}: Pick<RequestDemand, 'call' | 'body'>): RequestSize {
	if (call.kind === 'service') {
		return serviceRequestSize;
	}

	return {promptTokens: Math.ceil(body.length / bytesPerToken), outputTokens: readOutputLimit(body) ?? defaultOutputTokens};
}

function readOutputLimit(body: Uint8Array): number | undefined {
	const bytes = Buffer.from(body.buffer, body.byteOffset, body.byteLength);
	for (const field of outputLimitFields) {
		const start = bytes.lastIndexOf(field);
		if (start !== -1) {
			const value = bytes.toString('latin1', start + field.length, start + field.length + maxValueBytes);
			const digits = /^\s*:\s*(?<digits>\d+)/v.exec(value)?.groups?.digits;
			return digits === undefined ? undefined : Math.max(1, Number(digits));
		}
	}

	return undefined;
}
