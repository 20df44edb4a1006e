import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';
import {pipeline} from 'node:stream/promises';
import type {Dispatcher} from 'undici';
import {forwardHeaders} from './attempt.ts';
import {ranHeader} from './caller-error.ts';

/**
Copies an upstream's answer to the caller with back pressure.

Rejects when either side ends early; the caller's connection is then destroyed, so that a part cannot pass for the whole.
*/
export async function relayAnswer(answer: Dispatcher.ResponseData, response: ServerResponse): Promise<void> {
	const length = answer.headers['content-length']?.toString();
	const headers: OutgoingHttpHeaders = {
		...(forwardHeaders(answer.headers) as OutgoingHttpHeaders),
		...(length === undefined ? {} : {'content-length': length}),
		[ranHeader]: 'yes',
	};
	response.writeHead(answer.statusCode, headers);
	response.flushHeaders();
	await pipeline(answer.body, response);
}
