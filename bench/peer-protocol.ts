import {once} from 'node:events';
import {
	createServer, connect, type Socket, type AddressInfo,
} from 'node:net';
import process from 'node:process';
import {create, toBinary} from '@bufbuild/protobuf';
import {AllowAllPeerAuthenticator} from '../src/connection/peer-authenticator.ts';
import {PeerClients} from '../src/connection/peer-clients.ts';
import {PeerServer} from '../src/connection/peer-server.ts';
import {HeartbeatRequestSchema, HeartbeatResponseSchema} from '../src/generated/peer_pb.js';
import {atMost, type Measure, type Measurement} from './measure.ts';

const exchanges = 1000;
const warmUpExchanges = 200;
/** Heartbeats per second that a gateway of the largest deployment sends; it answers as many. */
const exchangesPerSecond = 5;
const digestEntries = 62;
const processorCoresBound = 0.02;
/** Bytes that the control cost simulation adds to each encoded message for framing, without TCP and IP headers. */
const overheadBoundBytes = 68;
const timeoutMs = 5000;

const digest = {
	members: Array.from({length: digestEntries}, (_, index) => index * 65_537),
	lags: Array.from({length: digestEntries}, (_, index) => index % 5),
};

/** Measures the processor time and framing overhead of heartbeats over real HTTP/2 connections. */
export const peerProtocol: Measure = {
	name: 'peer protocol',
	deterministic: false,
	run: measureExchanges,
};

async function measureExchanges(): Promise<readonly Measurement[]> {
	await using server = new PeerServer({
		heartbeat: async () => create(HeartbeatResponseSchema, {daemonId: 'daemon-zone-a-0', digest}),
		findClaim: async () => false,
		status: async () => '{}',
	}, new AllowAllPeerAuthenticator());
	const {port} = await server.listen({host: '127.0.0.1', port: 0});
	await using proxy = await CountingProxy.start(port);
	await using clients = new PeerClients(new AllowAllPeerAuthenticator());
	const url = `http://127.0.0.1:${proxy.port}`;
	await exchange(clients, url, warmUpExchanges);
	const bytesAtStart = proxy.bytes;
	const processorAtStart = process.cpuUsage();
	await exchange(clients, url, exchanges);
	const processor = process.cpuUsage(processorAtStart);
	const secondsPerExchange = (processor.user + processor.system) / 1e6 / exchanges;
	const overhead = ((proxy.bytes - bytesAtStart) / exchanges / 2) - (encodedBytes() / 2);
	return [
		atMost('processor share of heartbeats over HTTP/2 at 420 members, both ends and a proxy', secondsPerExchange * exchangesPerSecond, 'cores', {bound: processorCoresBound}),
		atMost('frames and headers of a heartbeat message over HTTP/2', overhead, 'B', {bound: overheadBoundBytes}),
	];
}

async function exchange(clients: PeerClients, url: string, count: number): Promise<void> {
	for (let index = 0; index < count; index += 1) {
		await clients.call(url, timeoutMs, async (client, options) => client.heartbeat(request(), options));
	}
}

function request() {
	return create(HeartbeatRequestSchema, {daemonId: 'daemon-zone-a-1', digest});
}

function encodedBytes(): number {
	const response = create(HeartbeatResponseSchema, {daemonId: 'daemon-zone-a-0', digest});
	return toBinary(HeartbeatRequestSchema, request()).length + toBinary(HeartbeatResponseSchema, response).length;
}

/** TCP proxy that counts the bytes in both directions. */
class CountingProxy implements AsyncDisposable {
	static async start(target: number): Promise<CountingProxy> {
		const proxy = new CountingProxy(target);
		proxy.#server.listen(0, '127.0.0.1');
		await once(proxy.#server, 'listening');
		return proxy;
	}

	bytes = 0;
	readonly #sockets = new Set<Socket>();
	readonly #server;

	private constructor(target: number) {
		this.#server = createServer(inbound => {
			const outbound = connect(target, '127.0.0.1');
			for (const [from, to] of [[inbound, outbound], [outbound, inbound]] as const) {
				this.#sockets.add(from);
				from.on('data', chunk => {
					this.bytes += chunk.length;
					to.write(chunk);
				});
				from.on('error', () => {
					to.destroy();
				});
			}
		});
	}

	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		this.#server.close();
	}
}
