import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {create} from '@bufbuild/protobuf';
import {
	describe, expect, it, vi,
} from 'vitest';
import {AllowAllPeerAuthenticator, PeerAuthenticator} from '../../src/connection/peer-authenticator.ts';
import {PeerClients} from '../../src/connection/peer-clients.ts';
import {PeerServer} from '../../src/connection/peer-server.ts';
import {HeartbeatResponseSchema} from '../../src/generated/peer_pb.js';

const loopback = {host: '127.0.0.1', port: 0};
const callTimeoutMs = 500;
const detectionLimitMs = 5000;

/** Forwards connections. Those that are open when it is silenced forward nothing more, but stay open. */
class SilencingProxy implements AsyncDisposable {
	readonly #sockets = new Set<Socket>();
	readonly #server;

	constructor(targetPort: number) {
		this.#server = createServer(inbound => {
			const outbound = connect(targetPort, loopback.host);
			for (const [from, to] of [[inbound, outbound], [outbound, inbound]] as const) {
				this.#sockets.add(from);
				from.on('error', () => {
					from.destroy();
				});
				from.pipe(to);
			}
		});
	}

	async listen(): Promise<string> {
		this.#server.listen(loopback);
		await once(this.#server, 'listening');
		return `http://${loopback.host}:${(this.#server.address() as AddressInfo).port}`;
	}

	silence(): void {
		for (const socket of this.#sockets) {
			socket.unpipe();
			socket.pause();
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		this.#server.close();
	}
}

class SecretPeerAuthenticator extends PeerAuthenticator {
	createHeaders(): Readonly<Record<string, string>> {
		return {};
	}

	accepts(headers: Headers): boolean {
		return headers.get('authorization') === 'Bearer secret';
	}
}

function createPeerServer(authenticator: PeerAuthenticator = new AllowAllPeerAuthenticator()): PeerServer {
	return new PeerServer({
		heartbeat: async () => create(HeartbeatResponseSchema, {daemonId: 'peer'}),
		findClaim: async () => false,
		status: async () => '{}',
	}, authenticator);
}

async function sendHeartbeat(clients: PeerClients, url: string, peerUrl = ''): Promise<string> {
	const answer = await clients.call(url, callTimeoutMs, async (client, options) => client.heartbeat({peerUrl}, options));
	return answer.daemonId;
}

describe('a connection to a peer', () => {
	it('that goes silent is replaced within 5 s, so that a live peer is not declared dead', async () => {
		await using server = createPeerServer();
		const {port} = await server.listen(loopback);
		await using proxy = new SilencingProxy(port);
		const url = await proxy.listen();
		await using clients = new PeerClients(new AllowAllPeerAuthenticator());
		expect(await sendHeartbeat(clients, url)).toBe('peer');
		proxy.silence();
		await vi.waitFor(async () => {
			expect(await sendHeartbeat(clients, url)).toBe('peer');
		}, {timeout: detectionLimitMs, interval: 50});
	});

	it('rejects messages above the size limit, so that a faulty peer cannot exhaust the memory', async () => {
		await using server = createPeerServer();
		const {port} = await server.listen(loopback);
		await using clients = new PeerClients(new AllowAllPeerAuthenticator());
		await expect(sendHeartbeat(clients, `http://127.0.0.1:${port}`, 'x'.repeat(100_000))).rejects.toThrow(/resource_exhausted/v);
	});

	it('is refused by the authenticator of the deployment, so that a secret can be required later', async () => {
		await using server = createPeerServer(new SecretPeerAuthenticator());
		const {port} = await server.listen(loopback);
		await using clients = new PeerClients(new AllowAllPeerAuthenticator());
		await expect(sendHeartbeat(clients, `http://127.0.0.1:${port}`)).rejects.toThrow(/unauthenticated/v);
	});
});
