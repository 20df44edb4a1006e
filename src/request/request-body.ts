import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {Left, Right, type Either} from 'purify-ts';
import {createRefusal, type CallerError} from './caller-error.ts';

/** Reads a request body of at most `limit` bytes. */
export async function readBody(request: IncomingMessage, limit: number): Promise<Either<CallerError, Uint8Array>> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		size += chunk.length;
		if (size > limit) {
			return Left(createRefusal(413, 'body_too_large', `The body is larger than ${limit} bytes.`));
		}

		chunks.push(chunk);
	}

	return Right(Buffer.concat(chunks));
}
