import {createServer, connect, type Socket} from 'node:net';
import {once} from 'node:events';
import {OrderedDelay} from './ordered-delay.ts';

/** How a proxy handles the data on its connections; `answersLost` drops only the data from the server. */
export type ProxyMode = 'open' | 'silent' | 'answersLost' | 'refused' | 'slow';

const slowDelayMs = 150;
/** Delay before a FIN is forwarded, in milliseconds: a reset right behind it must be forwarded instead. */
const endDelayMs = 20;

/** TCP proxy on loopback in front of one server that delays or drops data and resets connections. */
export class FaultProxy implements AsyncDisposable {
	mode: ProxyMode = 'open';
	/** Port while the proxy refuses connections. */
	#port = 0;
	readonly #target: string;
	readonly #sockets = new Set<Socket>();
	/** Number of overlapping standstills. */
	#standstills = 0;
	readonly #server = createServer({allowHalfOpen: true}, socket => {
		this.#accept(socket);
	});

	constructor(target: string) {
		this.#target = target;
	}

	/** Address as `IP:PORT`; empty before the start. */
	get address(): string {
		const port = this.#listeningPort;
		return port === 0 ? '' : `127.0.0.1:${port}`;
	}

	/** Listens on a free loopback port. */
	async start(): Promise<void> {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
	}

	/** Reads nothing until `resume`, as a server that stands still: connections stay open and are still accepted, and no data is lost. */
	pause(): void {
		this.#standstills += 1;
		for (const socket of this.#sockets) {
			socket.pause();
		}
	}

	/** Ends a standstill; data that arrived meanwhile is forwarded once no other standstill is left. */
	resume(): void {
		this.#standstills -= 1;
		for (const socket of this.#standstills === 0 ? this.#sockets : []) {
			socket.resume();
		}
	}

	/** Refuses connections, as the address of a process that has ended does, until `reopen`. */
	refuse(): void {
		this.#port = this.#listeningPort;
		this.#server.close();
		this.reset();
	}

	/** Accepts connections at the same address again. */
	async reopen(): Promise<void> {
		this.#server.listen(this.#port, '127.0.0.1');
		await once(this.#server, 'listening');
	}

	/** Resets all connections. */
	reset(): void {
		for (const socket of this.#sockets) {
			reset(socket);
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#server.close();
		this.reset();
	}

	get #listeningPort(): number {
		const address = this.#server.address();
		return typeof address === 'object' && address !== null ? address.port : this.#port;
	}

	#accept(socket: Socket): void {
		if (this.mode === 'refused') {
			socket.resetAndDestroy();
			return;
		}

		const [host, port] = this.#target.split(':');
		const upstream = connect({host, port: Number(port), allowHalfOpen: true});
		this.#forward(socket, upstream, () => this.mode !== 'silent');
		this.#forward(upstream, socket, () => this.mode !== 'silent' && this.mode !== 'answersLost');
	}

	#forward(from: Socket, to: Socket, shouldForward: () => boolean): void {
		this.#sockets.add(from);
		from.setNoDelay(true);
		if (this.#standstills > 0) {
			from.pause();
		}

		const order = new OrderedDelay();
		from.on('data', chunk => {
			if (!shouldForward()) {
				return;
			}

			order.schedule(this.mode === 'slow' ? slowDelayMs : 0, () => {
				to.write(chunk);
			});
		});
		from.once('end', () => {
			order.schedule(this.mode === 'slow' ? slowDelayMs : endDelayMs, () => {
				// A reset that follows a FIN is reported as an end; only the missing remote port tells them apart.
				if (from.remotePort === undefined) {
					reset(to);
				} else {
					to.end();
				}
			});
		});
		from.on('error', () => {
			// Forwards a reset to the other side.
			reset(to);
		});
		from.once('close', () => {
			this.#sockets.delete(from);
			if (!to.destroyed && !to.writableEnded) {
				to.destroy();
			}
		});
	}
}

/** Resets a socket; only destroys it when it has sent its FIN or is not connected yet, since a reset would leak its handle. */
function reset(socket: Socket): void {
	if (socket.writableEnded || socket.connecting || socket.destroyed) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}
