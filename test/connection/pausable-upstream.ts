import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {closeAbruptly, listen} from '../../src/connection/http-listener.ts';
import type {Host} from '../../src/ports/host-list.ts';

/** What stands still: the whole upstream, the connections that were open then, or only the work. */
export type PauseScope = 'upstream' | 'open connections' | 'work';

/** Writes the answer to one request; `progress` ends once nothing stands still for the request. */
export type PausableAnswer = (response: ServerResponse, progress: () => Promise<void>) => Promise<void>;

/** Upstream that can stand still for a while and then goes on with everything that it has received. */
export type PausableUpstream = AsyncDisposable & {
	readonly host: Host;
	/** Number of requests received, without probes. */
	readonly requests: number;
	readonly pause: (scope: PauseScope, milliseconds: number) => void;
};

type Pause = {
	readonly scope: PauseScope;
	readonly sockets: ReadonlySet<Socket>;
	readonly end: Promise<void>;
};

/** Starts a pausable upstream. Its answers carry the id of the request, so that its connections are kept. */
export async function createPausableUpstream(id: string, serves: string, answer: PausableAnswer): Promise<PausableUpstream> {
	const sockets = new Set<Socket>();
	let pause: Pause | undefined;
	let requests = 0;
	const progressOf = ({socket, url}: IncomingMessage) => async () => {
		const isPaused = pause !== undefined && {
			upstream: true, 'open connections': pause.sockets.has(socket), work: url !== '/healthz',
		}[pause.scope];
		await (isPaused ? pause?.end : undefined);
	};

	const serve = async (request: IncomingMessage, response: ServerResponse) => {
		const progress = progressOf(request);
		request.resume();
		await progress();
		if (request.url === '/healthz') {
			response.end('ok');
			return;
		}

		requests += 1;
		response.setHeader('x-request-id', String(request.headers['x-request-id']));
		await answer(response, progress);
	};

	const server = createServer((request, response) => {
		void serve(request, response);
	});
	server.on('connection', socket => {
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	});
	const {port} = await listen(server, {host: '127.0.0.1', port: 0});
	return {
		host: {
			kind: serves.startsWith('service') ? 'service' : 'engine', id, address: `127.0.0.1:${port}`, availabilityZone: 'zone-a', state: 'live', serves, enforcesFencing: true,
		},
		get requests() {
			return requests;
		},
		pause(scope, milliseconds) {
			pause = {scope, sockets: new Set(sockets), end: delay(milliseconds)};
		},
		async [Symbol.asyncDispose]() {
			await closeAbruptly(server);
		},
	};
}
