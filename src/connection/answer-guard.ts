import type {Socket} from 'node:net';
import {errors, type buildConnector} from 'undici';

/** Largest part of an answer that is not its body (head, informational answers, chunk framing and trailers), in bytes. */
const maxFramingBytes = 256 * 1024;
/** Framing bytes allowed for each byte of the body; a chunk of one byte has five. */
const maxFramingBytesPerBodyByte = 16;

/** Error of a connection that was closed because of an answer without end. */
export class EndlessAnswerError extends Error {
	override name = 'EndlessAnswerError';

	constructor() {
		super(`the answer has more than ${maxFramingBytes} bytes outside its body`);
	}
}

/** True if an exchange ended because of what the upstream sent, and not because the connection broke, as in a crash. */
export function isInvalidAnswerError(error: Error): boolean {
	const isTruncated = error instanceof errors.HTTPParserError && error.code === 'HPE_INVALID_EOF_STATE';
	return !isTruncated && (error instanceof errors.HTTPParserError || error instanceof errors.HeadersOverflowError || error instanceof EndlessAnswerError);
}

/**
Closes a connection whose answers consist of bytes that belong to no body.

The client library limits header fields but skips a status line, a chunk size or a chunk extension of any length without
reporting it.
*/
export class AnswerGuard {
	#socket: Socket | undefined;
	#startBytes = 0;
	#bodyBytes = 0;

	/** Watches the socket of the connection; must be called before the client library starts to read from it. */
	watch(socket: Socket): void {
		this.#socket = socket;
		this.begin();
		socket.on('readable', () => {
			const framingBytes = socket.bytesRead - this.#startBytes - this.#bodyBytes;
			if (framingBytes > maxFramingBytes + (this.#bodyBytes * maxFramingBytesPerBodyByte)) {
				socket.destroy(new EndlessAnswerError());
			}
		});
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
	}

	/** Counts bytes of the body. */
	countBody(bytes: number): void {
		this.#bodyBytes += bytes;
	}
}
