import {createSocket, type Socket} from 'node:dgram';
import type {Table} from '../../ports/table.ts';
import {parseAddress} from '../address.ts';
import type {Clock} from '../clock.ts';
import type {DecisionLog} from '../fleet/decision-log.ts';
import {PeerBoard} from './peer-board.ts';
import {
	decodePeerMessage, encodePeerMessage, type PeerCrash, type PeerLoad, type PeerMessage, type PeerReading,
} from './peer-message.ts';

/** What the link needs. */
export type PeerLinkOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly table: Table;
	readonly daemon: string;
	/** IP and port of this daemon's datagrams. */
	readonly address: string;
	/** This daemon's own load on all upstreams with work. */
	readonly loads: () => readonly PeerLoad[];
	/** Prompt tokens that wait at this daemon, by priority. */
	readonly queued: () => ReadonlyMap<number, number>;
	/** The others' load has changed. */
	readonly onLoads: () => void;
	readonly onReadings: (readings: readonly PeerReading[]) => void;
	readonly onCrashes: (crashes: readonly PeerCrash[]) => void;
};

/** Changes within this time go out together, in milliseconds. */
const gatherMs = 12;
/** An idle daemon is heard so often. */
const keepAliveMs = 500;
/** A daemon whose entry could not be written or read tries again after so long. */
const registerRetryMs = 1000;
const registerIntervalMs = 15_000;
/** Entries of daemons that are gone are passed over once they have been silent for so long. */
const lostAfterMs = 10_000;
const partition = 'daemons';
const datagramLimitBytes = 8000;

/** Tells the other daemons of load and prompts by datagrams, and finds them by their entries in the platform's table. */
export class PeerLink implements AsyncDisposable {
	readonly board = new PeerBoard();
	readonly #options: PeerLinkOptions;
	readonly #socket: Socket = createSocket('udp4');
	readonly #addresses = new Map<string, {readonly address: string; heardAt: number}>();
	#readings: PeerReading[] = [];
	#crashes: PeerCrash[] = [];
	readonly #changed = new Set<string>();
	#timer: NodeJS.Timeout | undefined;
	#keepAlive: NodeJS.Timeout | undefined;
	#register: NodeJS.Timeout | undefined;
	#isClosed = false;

	constructor(options: PeerLinkOptions) {
		this.#options = options;
		this.#socket.on('message', bytes => {
			this.#accept(bytes.toString('utf8'));
		});
		this.#socket.on('error', error => {
			options.log.write('peers.socketError', {cause: error.message});
		});
	}

	/** Opens the socket and makes this daemon known. */
	async start(): Promise<void> {
		const {host, port} = parseAddress(this.#options.address);
		await new Promise<void>(resolve => {
			this.#socket.bind(port, host, resolve);
		});
		this.#keepAlive = setInterval(() => {
			this.#send(this.#options.loads());
		}, keepAliveMs);
		void this.#registerSelf();
	}

	/** Notes that the load on an upstream has changed. */
	changed(upstream: string): void {
		this.#changed.add(upstream);
		this.#schedule();
	}

	/** Tells that an upstream begins to read a prompt. */
	tellReading(reading: PeerReading): void {
		this.#readings.push(reading);
		this.#schedule();
	}

	/** Tells that an upstream crashed while it ran a request. */
	tellCrash(crash: PeerCrash): void {
		this.#crashes.push(crash);
		this.#schedule();
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#isClosed = true;
		clearTimeout(this.#timer);
		clearInterval(this.#keepAlive);
		clearTimeout(this.#register);
		this.#socket.close();
	}

	#schedule(): void {
		this.#timer ??= setTimeout(() => {
			this.#timer = undefined;
			const loads = new Map(this.#options.loads().map(load => [load.upstream, load]));
			const told = [...this.#changed].map(upstream => loads.get(upstream) ?? {upstream, runs: 0, tokensByPriority: new Map<number, number>()});
			this.#changed.clear();
			this.#send(told);
		}, gatherMs);
	}

	#send(loads: readonly PeerLoad[]): void {
		if (this.#isClosed) {
			return;
		}

		const readings = this.#readings;
		const crashes = this.#crashes;
		this.#readings = [];
		this.#crashes = [];
		const {daemon, address, clock} = this.#options;
		const queued = this.#options.queued();
		const encoded = encodePeerMessage({
			daemon, address, loads, readings, queued, crashes,
		});
		if (encoded.length > datagramLimitBytes) {
			// The prompts are a hint that may be left out.
			this.#deliver(encodePeerMessage({
				daemon, address, loads, readings: [], queued, crashes,
			}));
			return;
		}

		this.#deliver(encoded);
		const now = clock.now();
		for (const [name, {heardAt}] of this.#addresses) {
			if (now - heardAt > lostAfterMs) {
				this.#addresses.delete(name);
				this.board.forget(name);
				this.#options.log.write('peers.lost', {peer: name, silentMs: Math.round(now - heardAt)});
			}
		}
	}

	#deliver(text: string): void {
		for (const {address} of this.#addresses.values()) {
			const {host, port} = parseAddress(address);
			this.#socket.send(text, port, host, error => {
				if (error !== null && !this.#isClosed) {
					this.#options.log.write('peers.notSent', {address, cause: error.message});
				}
			});
		}
	}

	#accept(text: string): void {
		decodePeerMessage(text).caseOf({
			Left: cause => {
				this.#options.log.write('peers.invalid', {cause});
			},
			Right: message => {
				this.#take(message);
			},
		});
	}

	#take(message: PeerMessage): void {
		const {clock, log, daemon} = this.#options;
		if (message.daemon === daemon) {
			return;
		}

		const now = clock.now();
		if (this.board.accept(message, now)) {
			log.write('peers.seen', {peer: message.daemon, address: message.address});
		}

		this.#addresses.set(message.daemon, {address: message.address, heardAt: now});
		this.#options.onReadings(message.readings);
		this.#options.onCrashes(message.crashes);
		this.#options.onLoads();
	}

	/** Writes this daemon's entry and reads those of the others; new ones are told by the next datagram. */
	async #registerSelf(): Promise<void> {
		const isDone = await this.#writeEntry() && await this.#readEntries();
		if (!this.#isClosed) {
			this.#register = setTimeout(() => {
				void this.#registerSelf();
			}, isDone ? registerIntervalMs : registerRetryMs);
		}
	}

	async #writeEntry(): Promise<boolean> {
		const {table, daemon, address, log} = this.#options;
		const key = {partition, sort: daemon};
		const row = await table.get(key);
		if (row.isLeft()) {
			return false;
		}

		const found = row.toMaybe().extract();
		if (found?.body === address) {
			return true;
		}

		const written = await table.write([{
			kind: 'put', key, expected: found?.revision ?? 0, body: address,
		}]);
		return written.caseOf({
			Left(failure) {
				log.write('peers.notRegistered', {cause: failure.kind});
				return false;
			},
			Right: () => true,
		});
	}

	async #readEntries(): Promise<boolean> {
		const {table, daemon, clock} = this.#options;
		const rows = await table.query(partition);
		return rows.caseOf({
			Left: () => false,
			Right: found => {
				for (const {key, body} of found) {
					if (key.sort !== daemon && !this.#addresses.has(key.sort)) {
						this.#addresses.set(key.sort, {address: body, heardAt: clock.now()});
					}
				}

				return true;
			},
		});
	}
}
