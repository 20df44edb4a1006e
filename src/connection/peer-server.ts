import {createServer, type Http2Server, type ServerHttp2Session} from 'node:http2';
import type {AddressInfo} from 'node:net';
import {
	Code, ConnectError, type ConnectRouter, type Interceptor,
} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {
	PeerService, type HeartbeatRequest, type HeartbeatResponse, type PullChangesResponse,
} from '../generated/peer_pb.js';
import type {Address} from '../process/address.ts';
import type {PeerAuthenticator} from './peer-authenticator.ts';

/** Handlers for the calls of the peer protocol. */
export type PeerHandlers = {
	readonly heartbeat: (request: HeartbeatRequest) => Promise<HeartbeatResponse>;
	/** Absent when the daemon keeps no configuration changes. */
	readonly pullChanges?: (sinceVersion: number) => Promise<PullChangesResponse>;
	/** Returns true when this daemon may have dispatched the request of a claim. */
	readonly findClaim: (name: string) => Promise<boolean>;
	/** Returns the state of the daemon as a JSON document. */
	readonly status: () => Promise<string>;
};

/** Leaves room for a heartbeat, which has 1,200 bytes of news and a digest of at most a hundred members. */
const maxRequestBytes = 65_536;
const maxAnswerBytes = 64 * 1024 * 1024;
const defaultMaxConnections = 2048;
/** Time without a byte after which a connection is closed, in milliseconds; daemons send heartbeats far more often. */
const idleTimeoutMs = 30_000;
const maxStreamsPerConnection = 32;
const maxCallMs = 10_000;

/** Server of the peer protocol, on an address of its own. */
export class PeerServer implements AsyncDisposable {
	readonly #server: Http2Server;
	readonly #sessions = new Set<ServerHttp2Session>();

	constructor(handlers: PeerHandlers, authenticator: PeerAuthenticator, maxConnections = defaultMaxConnections) {
		const handler = connectNodeAdapter({
			routes(router) {
				addRoutes(router, handlers);
			},
			interceptors: [createGuard(authenticator)],
			readMaxBytes: maxRequestBytes,
			writeMaxBytes: maxAnswerBytes,
			maxTimeoutMs: maxCallMs,
		});
		this.#server = createServer({settings: {maxConcurrentStreams: maxStreamsPerConnection}}, (request, response) => {
			handler(request, response);
		});
		this.#server.maxConnections = maxConnections;
		this.#server.on('session', session => {
			this.#sessions.add(session);
			session.setTimeout(idleTimeoutMs, () => {
				session.destroy();
			});
			session.once('close', () => {
				this.#sessions.delete(session);
			});
			session.on('error', () => {
				session.destroy();
			});
		});
	}

	/** Binds the server and resolves with the bound address. */
	async listen(address: Address): Promise<Address> {
		const {promise, resolve, reject} = Promise.withResolvers<void>();
		this.#server.once('error', reject);
		this.#server.listen(address.port, address.host, resolve);
		await promise;
		this.#server.off('error', reject);
		return {host: address.host, port: (this.#server.address() as AddressInfo).port};
	}

	async [Symbol.asyncDispose](): Promise<void> {
		const {promise, resolve} = Promise.withResolvers<void>();
		this.#server.close(() => {
			resolve();
		});
		for (const session of this.#sessions) {
			session.destroy();
		}

		await promise;
	}
}

function addRoutes(router: ConnectRouter, handlers: PeerHandlers): void {
	router.service(PeerService, {
		heartbeat: async request => handlers.heartbeat(request),
		async pullChanges(request) {
			if (handlers.pullChanges === undefined) {
				throw new ConnectError('No changes are kept.', Code.Unavailable);
			}

			return handlers.pullChanges(Number(request.sinceVersion));
		},
		async findClaim({name}) {
			return {mayHaveRun: await handlers.findClaim(name)};
		},
		async status() {
			return {body: await handlers.status()};
		},
	});
}

function createGuard(authenticator: PeerAuthenticator): Interceptor {
	return next => async request => {
		if (!authenticator.accepts(request.header)) {
			throw new ConnectError('The peer is not known.', Code.Unauthenticated);
		}

		return next(request);
	};
}
