/* eslint-disable camelcase -- Names of the platform's protocol. */
import {once} from 'node:events';
import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {listen} from './network.mjs';

const heartbeatMs = 1200;
const slots = 6;
const queueLength = 24;

/** Stand-in for a replica of a plain service, as the protocol page describes it. */
export class Replica {
	/** Requests that reached the replica and were not rejected with 421, with the time of their arrival. */
	arrivals = [];
	/** Returns bytes that the replica sends instead of its answer to a request, or undefined. */
	spoil = () => undefined;
	/** Returns a status with which the replica fails a request that it has run, or undefined. */
	failWith = () => undefined;
	/** Called when the replica begins to run a request; returns true if the request crashes it. */
	crashes = () => false;
	/** Called with a replica that a request has crashed. */
	onCrash = () => undefined;
	#store;
	#zone;
	#service;
	#workMs;
	#server;
	#address = '';
	#sequence = 0;
	#born = 0;
	#running = 0;
	#waiting = [];
	#heartbeat;

	constructor({store, id, service, zone, workMs}) {
		this.#store = store;
		this.id = id;
		this.#service = service;
		this.#zone = zone;
		this.#workMs = workMs;
	}

	get address() {
		return this.#address;
	}

	/** Listens, on the port of an earlier start if there was one, and registers. */
	async start() {
		this.#server = createServer((request, response) => {
			this.#handle(request, response);
		});
		this.#server.keepAliveTimeout = 10_000;
		this.#address = await listen(this.#server, Number(this.#address.split(':')[1] ?? 0));
		this.#sequence = 0;
		this.#running = 0;
		this.#waiting = [];
		this.#born = Date.now();
		this.#writeEntry();
		this.#heartbeat = setInterval(() => {
			this.#writeEntry();
		}, heartbeatMs);
	}

	/** The entry is removed without a report of `draining`; the replica goes on serving. Returns the time of the store's acknowledgement. */
	removeEntry() {
		clearInterval(this.#heartbeat);
		return this.#store.remove('servers', this.id);
	}

	/** Ends the process: the listener and all connections close. */
	exit() {
		clearInterval(this.#heartbeat);
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#writeEntry() {
		this.#sequence += 1;
		this.#store.put('servers', this.id, {
			service: this.#service, address: this.#address, zone: this.#zone, version: 'v1', slots, state: 'ready', cold_remaining_ms: 0, sequence: this.#sequence, born: this.#born,
		});
	}

	get #load() {
		return `${this.#running},${this.#waiting.length},${slots},100`;
	}

	async #handle(request, response) {
		const at = performance.now();
		const id = request.headers['x-request-id'] ?? '';
		if (!await readToEnd(request)) {
			return;
		}

		const headers = {'x-request-id': id, 'x-instance-id': this.id, 'x-server-load': this.#load};
		const expected = request.headers['x-expect-instance'];
		if (expected !== undefined && expected !== this.id) {
			response.writeHead(421, headers);
			response.end();
			return;
		}

		const arrival = {
			id, path: request.url, at, outcome: 'rejected',
		};
		this.arrivals.push(arrival);
		if (!await this.#takeSlot()) {
			response.writeHead(503, {...headers, 'x-not-executed': '1'});
			response.end();
			return;
		}

		arrival.outcome = 'run';
		if (this.crashes(request)) {
			arrival.outcome = 'crashed';
			this.exit();
			this.onCrash(this);
			return;
		}

		const server = this.#server;
		await delay(this.#workMs());
		if (server !== this.#server || !server.listening) {
			arrival.outcome = 'cut';
			return;
		}

		this.#releaseSlot();
		if (response.destroyed) {
			return;
		}

		const spoiled = this.spoil(id);
		if (spoiled !== undefined) {
			arrival.outcome = 'spoiled';
			response.socket.write(spoiled);
			return;
		}

		const failureStatus = this.failWith();
		if (failureStatus !== undefined) {
			arrival.outcome = `failed with ${failureStatus}`;
			response.writeHead(failureStatus, {...headers, 'x-response-seal': `seal.${this.id}.${id}`, 'content-type': 'text/plain'});
			response.end('failed');
			return;
		}

		arrival.outcome = 'answered';
		response.writeHead(200, {
			...headers, 'x-server-load': this.#load, 'x-response-seal': `seal.${this.id}.${id}`, 'content-type': 'text/plain',
		});
		response.end(`done ${id}`);
	}

	async #takeSlot() {
		if (this.#running < slots) {
			this.#running += 1;
			return true;
		}

		if (this.#waiting.length >= queueLength) {
			return false;
		}

		await new Promise(resolve => {
			this.#waiting.push(resolve);
		});
		return true;
	}

	#releaseSlot() {
		const next = this.#waiting.shift();
		if (next === undefined) {
			this.#running -= 1;
		} else {
			next();
		}
	}
}

/** Reads a request to its end; returns false if the connection closed before. */
async function readToEnd(request) {
	try {
		request.resume();
		await once(request, 'end');
		return true;
	} catch {
		return false;
	}
}
