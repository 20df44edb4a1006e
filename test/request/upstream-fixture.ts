import {createServer, type Server, type Socket} from 'node:net';
import type {Host} from '../../src/ports/host-list.ts';

/** Upstream on raw sockets, with the bytes and connections that it has received. */
export type RawUpstream = AsyncDisposable & {
	readonly host: Host;
	/** Text received on each connection, in the order of the connections. */
	readonly received: string[];
	/** Connections that are currently open. */
	readonly open: Set<Socket>;
	readonly server: Server;
};

/** Answers one request on a raw socket; `text` is everything received on that connection so far. */
export type RawAnswer = (socket: Socket, text: string, connection: number) => unknown;

/** Starts an upstream that answers with raw bytes, so that it can violate HTTP in any way. */
export async function createRawUpstream(id: string, answer: RawAnswer, serves = 'model-a'): Promise<RawUpstream> {
	const received: string[] = [];
	const open = new Set<Socket>();
	const server = createServer(socket => {
		const connection = received.push('') - 1;
		open.add(socket);
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('close', () => {
			open.delete(socket);
		});
		socket.on('data', (chunk: Uint8Array) => {
			received[connection] += new TextDecoder().decode(chunk);
			if (isWholeRequest(received[connection]!)) {
				answer(socket, received[connection]!, connection);
			}
		});
	});
	const port = await bind(server);
	return {
		host: {
			kind: serves.startsWith('service') ? 'service' : 'engine', id, address: `127.0.0.1:${port}`, availabilityZone: 'zone-a', state: 'live', serves, enforcesFencing: true,
		},
		received,
		open,
		server,
		async [Symbol.asyncDispose]() {
			for (const socket of open) {
				socket.destroy();
			}

			const {promise, resolve} = Promise.withResolvers<void>();
			server.close(() => {
				resolve();
			});
			await promise;
		},
	};
}

/** Returns a host on whose port nothing listens. */
export async function createClosedHost(id: string, serves = 'model-a'): Promise<Host> {
	await using upstream = await createRawUpstream(id, () => {
		// Never reached.
	}, serves);
	return upstream.host;
}

/** Formats a chunk of a chunked body. */
export function formatChunk(text: string): string {
	return `${new TextEncoder().encode(text).length.toString(16)}\r\n${text}\r\n`;
}

/** Formats an event of a completion stream. */
export function formatEvent(id: string, content = 'token'): string {
	return `data: ${JSON.stringify({id, choices: [{delta: {content}}]})}\n\n`;
}

/** Head of a chunked event stream. */
export const streamHead = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n';

/** A complete completion stream. */
export const completeStream = streamHead + formatChunk(formatEvent('a')) + formatChunk('data: [DONE]\n\n') + '0\r\n\r\n';

function isWholeRequest(text: string): boolean {
	const headEnd = text.lastIndexOf('\r\n\r\n');
	const length = Number(/content-length: (?<length>\d+)/iv.exec(text)?.groups?.length ?? 0);
	return headEnd !== -1 && text.length - headEnd - 4 >= length;
}

async function bind(server: Server): Promise<number> {
	const {promise, resolve} = Promise.withResolvers<void>();
	server.listen(0, '127.0.0.1', resolve);
	await promise;
	return (server.address() as {readonly port: number}).port;
}
