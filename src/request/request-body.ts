import type {IncomingMessage} from 'node:http';
import {Left, Right, type Either} from 'purify-ts';
import type {ByteBudget} from './byte-budget.ts';
import {ByteBuffer} from './byte-buffer.ts';
import {createRefusal, type CallerError} from './caller-error.ts';

/** A request body; disposal returns its bytes to the byte budget. */
export type RequestBody = Disposable & {
	readonly bytes: Uint8Array;
};

/** Limits on reading a request body. */
export type BodyLimits = {
	/** Largest body of one request, in bytes. */
	readonly maxBodyBytes: number;
	/** Budget shared by all requests. */
	readonly budget: ByteBudget;
};

/** Reads a request body within the limits; rejects when the caller disconnects early. */
export async function readBody(request: IncomingMessage, limits: BodyLimits): Promise<Either<CallerError, RequestBody>> {
	const declared = Number(request.headers['content-length'] ?? 0);
	if (declared > limits.maxBodyBytes) {
		return Left(createSizeRefusal(limits.maxBodyBytes));
	}

	const body = new ByteBuffer();
	let size = 0;
	const release = () => {
		limits.budget.release(size);
		size = 0;
	};

	try {
		// By default, leaving the loop early destroys the request and with it the connection that the answer needs.
		for await (const chunk of request.iterator({destroyOnReturn: false}) as AsyncIterable<Uint8Array>) {
			if (size + chunk.length > limits.maxBodyBytes) {
				release();
				return Left(createSizeRefusal(limits.maxBodyBytes));
			}

			if (!limits.budget.reserve(chunk.length)) {
				release();
				return Left(createRefusal(503, 'overloaded', 'Too many request bodies are being received.', 1));
			}

			size += chunk.length;
			body.append(chunk);
		}
	} catch (error) {
		release();
		throw error;
	}

	return Right({bytes: body.bytes, [Symbol.dispose]: release});
}

function createSizeRefusal(limitBytes: number): CallerError {
	return createRefusal(413, 'body_too_large', `The body is larger than ${limitBytes} bytes.`);
}
