/* eslint-disable camelcase, no-await-in-loop -- The fields are those of the platform; steps of a case follow each other. */
import {randomBytes} from 'node:crypto';
import {createServer} from 'node:http';
import {listen, readAll, sleep} from './net.mjs';

/** Requests whose prompts were read apart and have not been fetched, by address and handle. */
const handles = new Map();

/** Speed at which an engine that prefills reads a prompt; one that decodes reads at half of it. */
const promptTokensPerMs = 157;

/** Stand-in for one replica: a plain service, or a model engine if it has a stage. */
export class Replica {
	/** Requests that the replica began to run. */
	runs = [];
	/** All requests of clients that arrived, with those that were turned away and prompts that were read. */
	arrivals = [];
	#sequence = 0;
	#orders = 0;
	#sockets = new Set();

	/** `answer` may answer a request in place of the replica; it returns true if it has. */
	constructor({id, service, stage, slots = 6, workMs = 20, answer = async () => false}) {
		Object.assign(this, {
			id, service, stage, slots, workMs, answer, born: Date.now(),
		});
	}

	async start() {
		this.#createServer();
		this.address = await listen(this.server);
	}

	/** Ends the process of the replica: its connections are reset. */
	async crash() {
		const {server} = this;
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}

		await new Promise(resolve => {
			server.close(resolve);
		});
	}

	/** Starts again with a new id; it knows nothing of before. */
	async restart(id) {
		this.id = id;
		this.born = Date.now();
		this.#sequence = 0;
		this.#orders = 0;
		await this.start();
	}

	/** The replica's next entry in the list. */
	entry() {
		this.#sequence += 1;
		return {
			service: this.service, address: this.address, zone: 'zone-a', version: 'v1', slots: this.slots, state: 'ready', cold_remaining_ms: 0, sequence: this.#sequence, born: this.born,
			...(this.stage === undefined ? {} : {stage: this.stage, models: [{name: 'm', version: 1, adapters: []}]}),
		};
	}

	#createServer() {
		this.server = createServer({maxHeaderSize: 65_536}, (request, response) => {
			this.#handle(request, response).catch(() => {
				response.destroy();
			});
		});
		// No limit on the number of fields.
		this.server.maxHeadersCount = 0;
		this.server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.once('close', () => {
				this.#sockets.delete(socket);
			});
		});
	}

	async #handle(request, response) {
		const {headers, url} = request;
		const body = await readAll(request);
		const id = headers['x-request-id'];
		response.on('error', () => {
			response.destroy();
		});
		if (headers['x-expect-instance'] !== undefined && headers['x-expect-instance'] !== this.id) {
			response.writeHead(421, {'x-instance-id': this.id, ...(id === undefined ? {} : {'x-request-id': id})}).end();
			return;
		}

		if (id === undefined) {
			this.#answerCall(url, body, response);
			return;
		}

		const arrival = {
			at: performance.now(), id, url, headers, fields: request.rawHeaders.length / 2, isPrefill: headers['x-inference-stage'] === 'prefill',
		};
		this.arrivals.push(arrival);
		if (await this.answer(arrival, response, this)) {
			return;
		}

		if (arrival.isPrefill) {
			await this.#prefill(arrival, response);
		} else if (this.stage === 'prefill') {
			response.writeHead(421, {'x-request-id': id}).end();
		} else if (this.stage === 'decode') {
			await this.#stream(arrival, response);
		} else {
			this.runs.push(arrival);
			await sleep(this.workMs);
			response.writeHead(200, {...this.#answerHeaders(id), 'content-length': 4}).end('done');
		}
	}

	#answerHeaders(id) {
		return {'x-request-id': id, 'x-response-seal': `seal.${this.id}`, 'x-server-load': `1,0,${this.slots},100`};
	}

	#answerCall(url, body, response) {
		response.setHeader('content-type', 'application/json');
		if (url === '/api/report') {
			response.end(JSON.stringify({
				stage: this.stage, models: [{name: 'm', version: 1, adapters: []}], busy: false, sequence: this.#orders,
				queued: 0, active: 0, kv_used: 0, kv_total: 1_180_745, kv_handles: handles.size,
			}));
		} else if (url === '/api/order') {
			const order = JSON.parse(body.toString('utf8'));
			const isExpected = order.expected === undefined || order.expected === this.#orders;
			this.#orders += isExpected ? 1 : 0;
			this.stage = isExpected ? order.stage : this.stage;
			response.writeHead(isExpected ? 202 : 409).end('{}');
		} else {
			handles.delete(`${this.address}/${url.split('/').at(-1)}`);
			response.end('{}');
		}
	}

	async #prefill({id, headers}, response) {
		const tokens = countPromptTokens(headers);
		await sleep(tokens / promptTokensPerMs);
		const handle = randomBytes(6).toString('hex');
		handles.set(`${this.address}/${handle}`, id);
		const body = JSON.stringify({kv_handle: handle, tokens, version: 1});
		response.socket.lastPrefill = body;
		response.writeHead(200, {'content-type': 'application/json', 'x-request-id': id, 'content-length': body.length}).end(body);
	}

	async #stream(arrival, response) {
		const {id, headers} = arrival;
		const source = headers['x-kv-source'];
		if (source !== undefined && !handles.has(source)) {
			response.writeHead(503, {'x-request-id': id, 'x-not-executed': '1'}).end();
			return;
		}

		this.runs.push({...arrival, source, preparedFor: handles.get(source)});
		handles.delete(source);
		await sleep(source === undefined ? countPromptTokens(headers) / promptTokensPerMs * 2 : this.workMs);
		response.writeHead(200, {...this.#answerHeaders(id), 'content-type': 'text/event-stream'});
		for (let event = Number(headers['last-event-id'] ?? 0) + 1; event <= 3; event += 1) {
			response.write(`id: ${event}\ndata: piece ${event}\n\n`);
			await sleep(5);
		}

		response.end();
	}
}

function countPromptTokens(headers) {
	return Number((headers['x-token-counts'] ?? '0').split(',')[0]);
}
