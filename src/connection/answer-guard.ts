import type {Socket} from 'node:net';
import type {buildConnector} from 'undici';
import {AnswerScreen, type AnswerFault} from './answer-screen.ts';
import {errors} from './links/http-client.ts';

/** Largest part of an answer that is not its body (head, informational answers, chunk framing and trailers), in bytes. */
const maxFramingBytes = 256 * 1024;
/** Framing bytes allowed for each byte of the body; a chunk of one byte has five. */
const maxFramingBytesPerBodyByte = 16;

/** Limit at which an answer was given up; `framing`: the one on all bytes outside the body, `body`: the one on the body, or on the memory of all bodies. */
export type AnswerLimit = AnswerFault | 'framing' | 'body';

const limitMessages: Readonly<Record<AnswerLimit, string>> = {
	status: 'the status of the answer is not from 100 to 599',
	head: 'the head of the answer is too long',
	trailers: 'the trailers of the answer are too long',
	chunks: 'the answer has too many small chunks',
	body: 'the body of the answer is too large',
	framing: `the answer has more than ${maxFramingBytes} bytes outside its body`,
};

/** Error of a connection that was closed at a limit on its answers. */
export class EndlessAnswerError extends Error {
	override name = 'EndlessAnswerError';
	readonly limit: AnswerLimit;

	constructor(limit: AnswerLimit, bytes: number) {
		super(`${limitMessages[limit]} (${bytes} bytes read)`);
		this.limit = limit;
	}
}

/** True if an exchange ended because of what the upstream sent, and not because the connection broke, as in a crash. */
export function isInvalidAnswerError(error: Error & {readonly code?: string}): boolean {
	const isTruncated = error instanceof errors.HTTPParserError && error.code === 'HPE_INVALID_EOF_STATE';
	// While it reads an answer, the client library fails assertions because of what the upstream sent.
	return !isTruncated && (error instanceof errors.HTTPParserError || error instanceof errors.HeadersOverflowError || error instanceof EndlessAnswerError || error.code === 'ERR_ASSERTION');
}

/**
Closes a connection whose answers consist of bytes that belong to no body.

The client library limits header fields but skips a status line, a chunk size or a chunk extension of any length without
reporting it. It is therefore passed nothing that it must not parse.
*/
export class AnswerGuard {
	readonly #screen = new AnswerScreen();
	#socket: Socket | undefined;
	#startBytes = 0;
	#bodyBytes = 0;
	/** Bytes that the client library has put back and will read again. */
	#repeatedBytes = 0;

	/** Watches the socket of the connection; must be called before the client library starts to read from it. */
	watch(socket: Socket): void {
		this.#socket = socket;
		this.#repeatedBytes = 0;
		this.begin();
		const read = socket.read.bind(socket);
		const unshift = socket.unshift.bind(socket);
		socket.read = size => {
			const chunk = read(size) as Uint8Array | undefined;
			// Streams return null when they have no data.
			return chunk instanceof Uint8Array && !this.#mayPass(socket, chunk) ? null : chunk;
		};

		socket.unshift = (chunk: Uint8Array, encoding) => {
			this.#repeatedBytes += chunk.length;
			unshift(chunk, encoding);
		};
	}

	/** Expects another answer whenever the socket is written to, for clients that report no starts; their requests must have been written before they are answered. */
	beginAtWrites(socket: Socket): void {
		const write = socket.write.bind(socket) as (...values: readonly unknown[]) => boolean;
		socket.write = (...values: readonly unknown[]) => {
			this.begin();
			return write(...values);
		};
	}

	/** Wraps a connector of the client library, so that the guard watches each connection that it opens. */
	wrap(connect: buildConnector.connector): buildConnector.connector {
		return (options, callback) => {
			connect(options, (...result) => {
				const [error, socket] = result;
				// The client library passes no socket with an error.
				if (error === null && socket !== null) {
					this.watch(socket);
				}

				callback(...result);
			});
		};
	}

	/** Starts to count the bytes of another answer. */
	begin(): void {
		this.#startBytes = this.#socket?.bytesRead ?? 0;
		this.#bodyBytes = 0;
		this.#screen.begin();
	}

	/** Counts bytes of the body. */
	countBody(bytes: number): void {
		this.#bodyBytes += bytes;
	}

	/** Closes the connection instead of passing bytes that exceed a limit. */
	#mayPass(socket: Socket, chunk: Uint8Array): boolean {
		if (socket.destroyed) {
			return false;
		}

		const repeated = Math.min(this.#repeatedBytes, chunk.length);
		this.#repeatedBytes -= repeated;
		const framingBytes = socket.bytesRead - this.#startBytes - this.#bodyBytes;
		const fault = this.#screen.read(chunk.subarray(repeated));
		if (fault !== undefined) {
			socket.destroy(new EndlessAnswerError(fault, this.#screen.bytes));
			return false;
		}

		if (framingBytes > maxFramingBytes + (this.#bodyBytes * maxFramingBytesPerBodyByte)) {
			socket.destroy(new EndlessAnswerError('framing', framingBytes));
			return false;
		}

		return true;
	}
}

/** Wraps a connector, so that each connection that it opens has a guard of its own. */
export function guardConnections(connect: buildConnector.connector): buildConnector.connector {
	return (options, callback) => {
		const guard = new AnswerGuard();
		guard.wrap(connect)(options, (...result) => {
			const [error, socket] = result;
			if (error === null && socket !== null) {
				guard.beginAtWrites(socket);
			}

			callback(...result);
		});
	};
}
