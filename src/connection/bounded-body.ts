import {ByteBuffer} from '../request/byte-buffer.ts';

const decoder = new TextDecoder();

/** Reads the body of an answer as text; rejects when it is larger than `maxBytes`, and closes its connection. */
export async function readBoundedText(body: AsyncIterable<Uint8Array>, maxBytes: number): Promise<string> {
	return decoder.decode(await readBoundedBody(body, maxBytes));
}

/** Reads the body of an answer; rejects when it is larger than `maxBytes`, and closes its connection. */
export async function readBoundedBody(body: AsyncIterable<Uint8Array>, maxBytes: number): Promise<Uint8Array> {
	const buffer = new ByteBuffer();
	for await (const chunk of body) {
		buffer.append(chunk);
		if (buffer.length > maxBytes) {
			// Leaving the loop destroys the stream and with it the connection.
			throw new Error(`the answer is larger than ${maxBytes} bytes`);
		}
	}

	return buffer.take();
}
