/* eslint-disable camelcase -- Names of the platform's protocol. */
/* eslint-disable no-await-in-loop -- The events of a stream follow one another in time. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {listen} from './network.mjs';

const heartbeatMs = 1200;

/** Stand-in for a model replica of the stage `decode` that streams events and can stand still, as the protocol page describes it. */
export class Engine {
	/** Requests that arrived, with what became of them. */
	arrivals = [];
	#store;
	#options;
	#server = createServer((request, response) => {
		this.#handle(request, response);
	});
	#address = '';
	#sequence = 0;
	#born = 0;
	#running = 0;
	#waiting = [];
	#heartbeat;
	/** Resolves at the end of a standstill. */
	#standstill = Promise.resolve();

	/** `queue`: number of requests that wait while all slots are taken. */
	constructor({store, id, service, zone, slots, queue, events, eventIntervalMs}) {
		this.id = id;
		this.#store = store;
		this.#options = {
			service, zone, slots, queue, events, eventIntervalMs,
		};
	}

	async start() {
		this.#address = await listen(this.#server);
		this.#born = Date.now();
		this.#writeEntry();
		this.#heartbeat = setInterval(() => {
			this.#writeEntry();
		}, heartbeatMs);
	}

	/** Does nothing for a time and goes on where it was; what arrives meanwhile is handled afterwards, in its order. */
	standStill(ms) {
		this.#standstill = delay(ms);
	}

	exit() {
		clearInterval(this.#heartbeat);
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#writeEntry() {
		this.#sequence += 1;
		const {service, zone, slots} = this.#options;
		this.#store.put('servers', this.id, {
			service, address: this.#address, zone, version: 'v1', slots, state: 'ready', cold_remaining_ms: 0, sequence: this.#sequence, born: this.#born,
			stage: 'decode', models: [{name: 'm', version: 1, adapters: []}],
		});
	}

	async #handle(request, response) {
		const at = performance.now();
		const chunks = [];
		request.on('data', chunk => {
			chunks.push(chunk);
		});
		try {
			await once(request, 'end');
		} catch {
			return;
		}

		await this.#standstill;
		const expected = request.headers['x-expect-instance'];
		const id = request.headers['x-request-id'] ?? '';
		if (expected !== undefined && expected !== this.id) {
			response.writeHead(421, {'x-instance-id': this.id, 'x-request-id': id});
			response.end();
		} else if (request.url.startsWith('/api/')) {
			this.#answerCall(request.url, Buffer.concat(chunks).toString('utf8'), response);
		} else {
			await this.#answer(request, response, {id, at});
		}
	}

	#answerCall(url, body, response) {
		const {status, answer} = this.#decideCall(url, body);
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify(answer));
	}

	#decideCall(url, body) {
		if (url === '/api/report') {
			return {
				status: 200,
				answer: {
					stage: 'decode', models: [{name: 'm', version: 1, adapters: []}], busy: false, sequence: 0, born: this.#born,
					queued: this.#waiting.length, active: this.#running, kv_used: 0, kv_total: 1_000_000, kv_handles: 0,
				},
			};
		}

		if (url === '/api/order') {
			const {stage} = JSON.parse(body);
			// The case needs no change of the stage; an order for another one would be a fault of its set-up.
			return {status: stage === 'decode' ? 200 : 409, answer: {}};
		}

		return {status: 200, answer: {}};
	}

	async #answer(request, response, {id, at}) {
		const {slots, queue, events, eventIntervalMs} = this.#options;
		const arrival = {
			id, at, outcome: 'rejected', lastEventId: request.headers['last-event-id'],
		};
		this.arrivals.push(arrival);
		const headers = {'x-request-id': id, 'x-server-load': `${this.#running},${this.#waiting.length},${slots},100`};
		if (request.headers['x-inference-stage'] === 'prefill') {
			arrival.outcome = 'misdirected';
			response.writeHead(421, headers);
			response.end();
			return;
		}

		if (this.#running >= slots && this.#waiting.length >= queue) {
			response.writeHead(503, {...headers, 'x-not-executed': '1'});
			response.end();
			return;
		}

		const caller = {hasLeft: false};
		response.once('close', async () => {
			await this.#standstill;
			caller.hasLeft = true;
		});
		if (this.#running >= slots) {
			arrival.outcome = 'waiting';
			await new Promise(resolve => {
				this.#waiting.push(resolve);
			});
		} else {
			this.#running += 1;
		}

		if (!caller.hasLeft) {
			arrival.outcome = 'run';
			response.writeHead(200, {
				...headers, 'x-response-seal': `seal.${this.id}.${id}`, 'content-type': 'text/event-stream', 'x-weight-versions': '1',
			});
			for (let event = Number(arrival.lastEventId ?? 0) + 1; event <= events && !caller.hasLeft; event += 1) {
				response.write(`id: ${event}\ndata: piece ${event} of ${id}\n\n`);
				await delay(eventIntervalMs);
				await this.#standstill;
			}

			arrival.outcome = caller.hasLeft ? 'dropped' : 'complete';
			response.end();
		}

		const next = this.#waiting.shift();
		if (next === undefined) {
			this.#running -= 1;
		} else {
			next();
		}
	}
}
