/** Load generator process: callers on raw sockets; each sends its next request once its current stream ends. */
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {build as buildHistogram, type Histogram} from 'hdr-histogram-js';
import {SeededRandom} from '../../src/process/random.ts';
import {answerCommands, type Command} from './messages.ts';

type Load = {
	readonly port: number;
	readonly streams: number;
	readonly tokens: number;
};

const prompt = 'Check the plates of this carton. '.repeat(64);
const endMark = 'data: [DONE]';
const lastChunk = '0\r\n\r\n';
const microsecondsPerMs = 1000;
/** Callers start one after another, so that the cold start of the server does not affect the measurement. */
const rampStepMs = 4;
const pollIntervalMs = 20;

const sockets = new Set<Socket>();
const random = new SeededRandom(1);
let firstTokenUs: Histogram = buildHistogram();
let tokens = 0;
let failures = 0;
let running = 0;

function send(socket: Socket, count: number): void {
	const body = JSON.stringify({
		model: 'bench', stream: true, max_tokens: count, messages: [{role: 'user', content: prompt}],
	});
	const head = ['POST /v1/chat/completions HTTP/1.1', 'Host: bench', 'Authorization: Bearer bench-key', 'Content-Type: application/json', `Content-Length: ${body.length}`];
	socket.write(`${head.join('\r\n')}\r\n\r\n${body}`);
}

function openStream({port, tokens: count}: Load, startDelayMs: number): void {
	setTimeout(() => {
		const socket = connect(port, '127.0.0.1');
		sockets.add(socket);
		socket.setNoDelay(true);
		let sentMs = performance.now();
		let isWaiting = true;
		let isFirst = true;
		let tail = '';
		send(socket, 1 + random.integer(count));
		socket.on('data', (chunk: Uint8Array) => {
			const text = new TextDecoder('latin1').decode(chunk);
			const events = text.split('data: {').length - 1;
			tokens += events;
			failures += text.startsWith('HTTP/1.1 ') && !text.startsWith('HTTP/1.1 200') ? 1 : 0;
			if (isWaiting && events > 0) {
				isWaiting = false;
				running += isFirst ? 1 : 0;
				isFirst = false;
				firstTokenUs.recordValue((performance.now() - sentMs) * microsecondsPerMs);
			}

			tail = (tail + text).slice(-64);
			if (tail.includes(endMark) && tail.endsWith(lastChunk)) {
				tail = '';
				isWaiting = true;
				sentMs = performance.now();
				send(socket, count);
			}
		});
		socket.on('error', () => {
			failures += 1;
		});
	}, startDelayMs);
}

answerCommands({
	start(command: Command) {
		const load = command as unknown as Load & Command;
		for (let index = 0; index < load.streams; index += 1) {
			openStream(load, index * rampStepMs);
		}
	},
	/** Answers once every stream has received a token. */
	async running({streams}: Command) {
		while (running < Number(streams)) {
			await delay(pollIntervalMs);
		}
	},
	begin() {
		tokens = 0;
		failures = 0;
		firstTokenUs = buildHistogram();
	},
	end: () => ({
		tokens, failures, starts: firstTokenUs.totalCount, firstTokenP99Ms: firstTokenUs.getValueAtPercentile(99) / microsecondsPerMs,
	}),
	stop() {
		for (const socket of sockets) {
			socket.removeAllListeners('error');
			socket.on('error', () => {
				socket.destroy();
			});
			socket.destroy();
		}

		sockets.clear();
	},
});
