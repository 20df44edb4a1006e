import {
	Code, ConnectError, createClient, type Client, type Interceptor,
} from '@connectrpc/connect';
import {createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';
import {PeerService} from '../generated/peer_pb.js';
import {NetworkConnectivity, type Connectivity} from './connectivity.ts';
import type {PeerAuthenticator} from './peer-authenticator.ts';

/** Typed client of one peer. */
export type PeerClient = Client<typeof PeerService>;

type Connection = {
	readonly client: PeerClient;
	readonly session: Http2SessionManager;
	failures: number;
};

const maxConnections = 256;
const maxAnswerBytes = 64 * 1024 * 1024;
/** A connection that was idle for longer is verified with a ping before it is used. */
const pingIntervalMs = 2000;
const pingTimeoutMs = 500;
const idleTimeoutMs = 60_000;
/** Consecutive failed calls after which a connection is replaced, because it may have gone silent. */
const maxConsecutiveFailures = 2;

/** Connections to peers: one for each peer, replaced when it goes silent. */
export class PeerClients implements AsyncDisposable {
	readonly #connections = new Map<string, Connection>();
	readonly #interceptor: Interceptor;

	readonly #connectivity: Connectivity;

	constructor(authenticator: PeerAuthenticator, connectivity: Connectivity = new NetworkConnectivity()) {
		this.#connectivity = connectivity;
		this.#interceptor = next => async request => {
			for (const [name, value] of Object.entries(authenticator.createHeaders())) {
				request.header.set(name, value);
			}

			return next(request);
		};
	}

	/** Calls a peer; after two consecutive failures, the next call opens a new connection. */
	async call<Result>(peerUrl: string, timeoutMs: number, send: (client: PeerClient, options: {readonly timeoutMs: number}) => Promise<Result>): Promise<Result> {
		if (!this.#connectivity.canReach(peerUrl)) {
			throw new ConnectError('The peer is unreachable.', Code.Unavailable);
		}

		const connection = this.#connect(peerUrl);
		try {
			const result = await send(connection.client, {timeoutMs});
			connection.failures = 0;
			return result;
		} catch (error) {
			connection.failures += 1;
			if (connection.failures >= maxConsecutiveFailures) {
				this.#drop(peerUrl, connection);
			}

			throw error;
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		for (const [peerUrl, connection] of this.#connections) {
			this.#drop(peerUrl, connection);
		}
	}

	#connect(peerUrl: string): Connection {
		const known = this.#connections.get(peerUrl);
		if (known !== undefined) {
			this.#connections.delete(peerUrl);
			this.#connections.set(peerUrl, known);
			return known;
		}

		const session = new Http2SessionManager(peerUrl, {
			pingIntervalMs, pingTimeoutMs, idleConnectionTimeoutMs: idleTimeoutMs,
		});
		const transport = createConnectTransport({
			baseUrl: peerUrl, httpVersion: '2', sessionManager: session, readMaxBytes: maxAnswerBytes, interceptors: [this.#interceptor],
		});
		const connection = {client: createClient(PeerService, transport), session, failures: 0};
		this.#connections.set(peerUrl, connection);
		this.#evict();
		return connection;
	}

	#evict(): void {
		if (this.#connections.size > maxConnections) {
			const [[peerUrl, connection]] = this.#connections as unknown as [[string, Connection]];
			this.#drop(peerUrl, connection);
		}
	}

	#drop(peerUrl: string, connection: Connection): void {
		if (this.#connections.get(peerUrl) === connection) {
			this.#connections.delete(peerUrl);
		}

		connection.session.abort();
	}
}
