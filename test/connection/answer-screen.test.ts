import {AssertionError} from 'node:assert';
import {Buffer} from 'node:buffer';
import {describe, expect, test} from 'vitest';
import {isInvalidAnswerError} from '../../src/connection/answer-guard.ts';
import {
	AnswerScreen, maxHeadBytes, maxHeadFields, maxTrailerBytes, maxTrailerFields, type AnswerFault,
} from '../../src/connection/answer-screen.ts';

const head = 'HTTP/1.1 200 OK\r\n';
const chunkedHead = `${head}Transfer-Encoding: chunked\r\n\r\n`;

/** Reads an answer in parts of a size; returns the fault and the number of bytes that were read before it was found. */
function screen(answer: string, size: number): {readonly fault: AnswerFault | undefined; readonly read: number} {
	const answerScreen = new AnswerScreen();
	const bytes = Buffer.from(answer, 'latin1');
	for (let start = 0; start < bytes.length; start += size) {
		const fault = answerScreen.read(bytes.subarray(start, start + size));
		if (fault !== undefined) {
			return {fault, read: start};
		}
	}

	return {fault: undefined, read: bytes.length};
}

const sound: ReadonlyArray<readonly [string, string]> = [
	['with a length', `${head}Content-Length: 3\r\n\r\n0\r\n`],
	['without a length', `${head}\r\n${'X: 1\r\n'.repeat(1000)}`],
	['with as many fields as are allowed', `${head}${'X: 1\r\n'.repeat(maxHeadFields)}\r\n`],
	['with one long field', `${head}X: ${'x'.repeat(maxHeadBytes - 100)}\r\n\r\n`],
	['after empty lines and informational answers', `\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n${chunkedHead}0\r\n\r\n`],
	['in chunks with extensions and trailers', `${chunkedHead}5;a=b\r\n0\r\n\r\n\r\nA\r\n0123456789\r\n0\r\n${'X: 1\r\n'.repeat(maxTrailerFields - 1)}\r\n`],
	['in chunks, with lines that end without a carriage return', chunkedHead.replaceAll('\r', '') + '1\na\n0\n\n'],
	['in chunks of one byte', `${chunkedHead}${'1\r\na\r\n'.repeat(16_000)}0\r\n\r\n`],
	['in any number of small events', `${chunkedHead}${'9\r\ndata: a\n\n\r\n'.repeat(100_000)}0\r\n\r\n`],
	['with bytes after its end, which the client library rejects', `${chunkedHead}0\r\n\r\n${'X: 1\r\n'.repeat(10_000)}`],
	['that is not HTTP, which the client library rejects', 'SSH-2.0-server\r\n'.repeat(10_000)],
	['with a chunk size that the client library rejects', `${chunkedHead}zz\r\n${'X: 1\r\n'.repeat(10_000)}`],
];

const faulty: ReadonlyArray<readonly [string, string, AnswerFault, number]> = [
	['a status below 100', 'HTTP/1.1 073 \r\nContent-Length: 4\r\n\r\nabcd', 'status', 20],
	['a status of 0 behind an informational answer', 'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 000 \r\n\r\n', 'status', 64],
	['small fields without end', head + 'X-A: b\r\n'.repeat(100_000), 'head', maxHeadFields * 9],
	['a field without end', `${head}X: ${'x'.repeat(1_000_000)}`, 'head', maxHeadBytes],
	['a status line without end', `HTTP/1.1 200 ${'x'.repeat(1_000_000)}`, 'head', maxHeadBytes],
	['empty lines without end', '\r\n'.repeat(100_000), 'head', maxHeadBytes],
	['informational answers without end', 'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n'.repeat(100_000), 'head', maxHeadBytes],
	['small trailers without end', `${chunkedHead}1\r\na\r\n0\r\n${'X-A: b\r\n'.repeat(100_000)}`, 'trailers', 1024],
	['a trailer without end', `${chunkedHead}0\r\nX: ${'x'.repeat(1_000_000)}`, 'trailers', maxTrailerBytes + 100],
	['chunks of one byte without end', chunkedHead + '1\r\na\r\n'.repeat(100_000), 'chunks', 20_000 * 6],
];

describe('the screen of answers', () => {
	test.each(sound)('passes an answer %s', (_, answer) => {
		for (const size of [1, 7, 4096, answer.length]) {
			expect(screen(answer, size)).toMatchObject({fault: undefined});
		}
	});

	// Guards against bytes that cost the client library processor time and memory without limit.
	test.each(faulty)('finds %s within a bound of bytes', (_, answer, fault, bound) => {
		for (const size of [1, 7, 4096, answer.length]) {
			const result = screen(answer, size);
			expect(result.fault).toBe(fault);
			expect(result.read).toBeLessThanOrEqual(bound);
		}
	});

	test('counts anew for each answer on a connection', () => {
		const answerScreen = new AnswerScreen();
		for (let count = 0; count < 20; count += 1) {
			answerScreen.begin();
			expect(answerScreen.read(Buffer.from(`${head}Transfer-Encoding: chunked\r\n${'X: 1\r\n'.repeat(200)}\r\n1\r\na\r\n0\r\n${'X: 1\r\n'.repeat(50)}\r\n`))).toBeUndefined();
		}
	});
});

// Guards against an assertion of the client library that counts as a connection lost in a crash of the upstream.
test('an assertion that fails while an answer is read makes the answer invalid', () => {
	expect(isInvalidAnswerError(new AssertionError({message: 'assertion failed'}))).toBe(true);
	expect(isInvalidAnswerError(new Error('other side closed'))).toBe(false);
});
