import {Buffer} from 'node:buffer';

/** Part of an answer for which it is given up: its status is not one of HTTP, the part is longer than its limit, or it has too many small chunks. */
export type AnswerFault = 'status' | 'head' | 'trailers' | 'chunks';

/** Largest head of an answer with the informational answers before it, in bytes; HTTP servers send up to 16 KiB by default. */
export const maxHeadBytes = 64 * 1024;
/** Most fields of such a head; each costs the client library some microseconds, however short it is. */
export const maxHeadFields = 256;
/** Largest trailers, in bytes; no upstream is known to send more than a checksum. */
export const maxTrailerBytes = 8 * 1024;
/** Most fields of the trailers. */
export const maxTrailerFields = 64;

/** Chunks of a body that may have any size; each costs the client library about as much as a field. */
const freeChunks = 16 * 1024;
/** Average size of chunks above which there may be any number of them, in bytes; the shortest useful event has nine. */
const minAverageChunkBytes = 8;
const minStatus = 100;
const maxStatus = 599;
const minFinalStatus = 200;
const lineFeed = 10;
/** Length up to which a line is kept; beyond it, only its bytes count. */
const keptLineCharacters = 256;

/** What the next bytes belong to; `unlimited`: to a body without chunks, or to what follows the answer. */
type State = 'head' | 'chunkSize' | 'chunk' | 'chunkEnd' | 'trailers' | 'unlimited';

/**
Follows the framing of an answer before the client library parses it, so that nothing is parsed beyond a limit.

The library goes on parsing what it has already read after its own limit, at a cost for each further field, and fails an assertion
on a status below 100. Bytes that are not framed as HTTP are left for the library to reject.
*/
export class AnswerScreen {
	#state: State = 'head';
	#line = '';
	#bytes = 0;
	#fields = 0;
	#status = 0;
	#isChunked = false;
	/** Bytes of the present chunk that have not been read. */
	#chunkBytes = 0;
	#chunks = 0;
	#bodyBytes = 0;

	/** Bytes of the head or of the trailers that have been read. */
	get bytes(): number {
		return this.#bytes;
	}

	/** Expects the head of another answer. */
	begin(): void {
		this.#state = 'head';
		this.#line = '';
		this.#bytes = 0;
		this.#fields = 0;
		this.#status = 0;
		this.#isChunked = false;
		this.#chunks = 0;
		this.#bodyBytes = 0;
	}

	/** Reads further bytes; returns the fault for which the answer must be given up, if there is one. */
	read(chunk: Uint8Array): AnswerFault | undefined {
		const bytes = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length);
		let position = 0;
		while (position < bytes.length && this.#state !== 'unlimited') {
			if (this.#state === 'chunk') {
				const length = Math.min(this.#chunkBytes, bytes.length - position);
				this.#chunkBytes -= length;
				position += length;
				this.#state = this.#chunkBytes === 0 ? 'chunkEnd' : 'chunk';
				continue;
			}

			const end = bytes.indexOf(lineFeed, position);
			const next = end === -1 ? bytes.length : end + 1;
			const text = bytes.toString('latin1', position, Math.min(next, position + keptLineCharacters));
			const fault = this.#readLine(text, next - position, end !== -1);
			if (fault !== undefined) {
				return fault;
			}

			position = next;
		}

		return undefined;
	}

	/** Reads the next `length` bytes of a line, which begin with `text`; `isLast` if the line ends with them. */
	#readLine(text: string, length: number, isLast: boolean): AnswerFault | undefined {
		this.#bytes += length;
		if (this.#line.length < keptLineCharacters) {
			this.#line += text;
		}

		const fault = this.#findExcess();
		if (fault !== undefined || !isLast) {
			return fault;
		}

		const line = this.#line.trimEnd();
		this.#line = '';
		return this.#endLine(line);
	}

	#endLine(line: string): AnswerFault | undefined {
		switch (this.#state) {
			case 'head': {
				return this.#endHeadLine(line);
			}

			case 'chunkSize': {
				return this.#beginChunk(line);
			}

			case 'chunkEnd': {
				this.#state = 'chunkSize';
				return undefined;
			}

			case 'trailers': {
				this.#fields += 1;
				this.#state = line === '' ? 'unlimited' : 'trailers';
				return this.#findExcess();
			}

			case 'chunk':
			case 'unlimited': {
				return undefined;
			}
		}
	}

	#endHeadLine(line: string): AnswerFault | undefined {
		if (line === '') {
			this.#endHead();
			return undefined;
		}

		if (this.#status > 0) {
			this.#fields += 1;
			this.#isChunked ||= /^transfer-encoding:.*chunked/iv.test(line);
			return this.#findExcess();
		}

		const status = /^HTTP\/\d\.\d (?<status>\d{3})(?!\d)/v.exec(line)?.groups?.status;
		if (status === undefined) {
			this.#state = 'unlimited';
			return undefined;
		}

		this.#status = Number(status);
		return this.#status < minStatus || this.#status > maxStatus ? 'status' : undefined;
	}

	/** Ends a head; an empty line before the status line is skipped, and another head follows an informational one. */
	#endHead(): void {
		if (this.#status >= minFinalStatus) {
			this.#state = this.#isChunked ? 'chunkSize' : 'unlimited';
		}

		this.#status = 0;
		this.#isChunked = false;
	}

	#beginChunk(line: string): AnswerFault | undefined {
		const size = /^[\da-f]{1,12}/iv.exec(line)?.[0];
		this.#chunkBytes = size === undefined ? 0 : Number.parseInt(size, 16);
		if (size === undefined) {
			this.#state = 'unlimited';
		} else if (this.#chunkBytes > 0) {
			this.#state = 'chunk';
			this.#chunks += 1;
			this.#bodyBytes += this.#chunkBytes;
		} else {
			this.#state = 'trailers';
			this.#bytes = 0;
			this.#fields = 0;
		}

		return this.#chunks > freeChunks + (this.#bodyBytes / minAverageChunkBytes) ? 'chunks' : undefined;
	}

	#findExcess(): AnswerFault | undefined {
		if (this.#state === 'head') {
			return this.#bytes > maxHeadBytes || this.#fields > maxHeadFields ? 'head' : undefined;
		}

		return this.#state === 'trailers' && (this.#bytes > maxTrailerBytes || this.#fields > maxTrailerFields) ? 'trailers' : undefined;
	}
}
