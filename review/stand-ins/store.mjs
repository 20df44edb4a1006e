/* eslint-disable camelcase -- Names of the platform's protocol. */
/* eslint-disable no-await-in-loop -- The steps follow one another in time. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {listen} from './network.mjs';

const answerMs = 4;
const maxRowsPerPage = 500;
const maxPageBytes = 1_000_000;
const maxWaitMs = 30_000;

/** Stand-in for the platform's store: rows, conditional transactions and the change feed, as the protocol page describes them. */
export class Store {
	/** Delay of each answer, in milliseconds. */
	answerMs = answerMs;
	/** Called with the name of a call and its query before the answer is sent. */
	onAnswer = () => undefined;
	#rows = new Map();
	#version = 1;
	#waiters = new Set();
	#server = createServer((request, response) => {
		this.#handle(request, response);
	});

	/** Listens on a free port; returns the address. */
	async start() {
		return listen(this.#server);
	}

	stop() {
		this.#wake();
		this.#server.close();
		this.#server.closeAllConnections();
	}

	/** Writes a row as the operator or a server does; returns the time of the acknowledgement. */
	put(table, key, value) {
		this.#version += 1;
		this.#set({table, part: '', key}, Buffer.from(JSON.stringify(value)).toString('base64'));
		this.#wake();
		return performance.now();
	}

	/** Removes a row; returns the time of the acknowledgement. */
	remove(table, key) {
		this.#version += 1;
		this.#set({table, part: '', key}, undefined);
		this.#wake();
		return performance.now();
	}

	#set({table, part = '', key}, value) {
		this.#rows.set(`${table}\n${part}\n${key}`, {
			table, part, key, value, version: this.#version,
		});
	}

	#wake() {
		for (const wake of this.#waiters) {
			wake();
		}

		this.#waiters.clear();
	}

	async #handle(request, response) {
		const url = new URL(request.url, 'http://store');
		const chunks = [];
		try {
			for await (const chunk of request) {
				chunks.push(chunk);
			}
		} catch {
			return;
		}

		const answer = await this.#answer(url, Buffer.concat(chunks).toString('utf8'));
		await delay(this.answerMs);
		this.onAnswer(url.pathname, url.searchParams);
		response.writeHead(answer.status, {'content-type': 'application/json'});
		response.end(JSON.stringify({...answer.body, now_ms: Math.round(performance.now())}));
	}

	async #answer(url, body) {
		const query = url.searchParams;
		switch (url.pathname) {
			case '/api/rows-get': {
				return {status: 200, body: this.#get(query)};
			}

			case '/api/rows-feed': {
				return {status: 200, body: await this.#feed(query)};
			}

			case '/api/rows-tx': {
				return this.#transact(JSON.parse(body));
			}

			default: {
				return {status: 404, body: {}};
			}
		}
	}

	#get(query) {
		const from = query.get('from') ?? '';
		const to = query.get('to');
		const limit = Math.min(maxRowsPerPage, Number(query.get('limit') ?? maxRowsPerPage));
		const found = [...this.#rows.values()]
			.filter(row => row.table === query.get('table') && row.part === (query.get('part') ?? '') && row.value !== undefined && row.key >= from && (to === null || row.key < to))
			.toSorted((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)));
		const rows = [];
		let bytes = 0;
		for (const row of found.slice(0, limit)) {
			bytes += row.value.length;
			if (rows.length > 0 && bytes > maxPageBytes) {
				break;
			}

			rows.push(encode(row));
		}

		return {rows, has_more: rows.length < found.length, row_version: this.#version};
	}

	async #feed(query) {
		const after = Number(query.get('after'));
		const find = () => [...this.#rows.values()].filter(row => row.table === query.get('table') && row.version > after).toSorted((a, b) => a.version - b.version);
		const end = performance.now() + Math.min(maxWaitMs, Number(query.get('wait_ms') ?? 0));
		while (find().length === 0 && performance.now() < end) {
			const {promise, resolve} = withResolvers();
			const timer = setTimeout(resolve, Math.max(0, end - performance.now()));
			this.#waiters.add(resolve);
			await promise;
			clearTimeout(timer);
			this.#waiters.delete(resolve);
		}

		return {rows: find().map(row => encode(row)), row_version: this.#version};
	}

	#transact({expected = [], set_keys: puts = [], remove: removals = []}) {
		const versionOf = ({table, part = '', key}) => {
			const row = this.#rows.get(`${table}\n${part}\n${key}`);
			return row?.value === undefined ? 0 : row.version;
		};

		if ([...puts, ...removals].some(({table}) => table === 'op' || table === 'servers')) {
			return {status: 403, body: {}};
		}

		if (expected.some(row => versionOf(row) !== row.row_version)) {
			const rows = expected.filter(row => versionOf(row) !== 0).map(({table, part = '', key}) => this.#rows.get(`${table}\n${part}\n${key}`));
			return {status: 412, body: {rows: rows.map(row => encode(row)), row_version: this.#version}};
		}

		this.#version += 1;
		for (const row of puts) {
			this.#set(row, row.value);
		}

		for (const row of removals) {
			this.#set(row, undefined);
		}

		this.#wake();
		return {status: 200, body: {row_version: this.#version}};
	}
}

function encode({table, part, key, value, version}) {
	return {
		table, part, key, row_version: version, ...(value === undefined ? {removed: true} : {value}),
	};
}

/** Node.js 20, with which the platform runs daemons, has no `Promise.withResolvers`. */
function withResolvers() {
	let resolve;
	const promise = new Promise(resolvePromise => {
		resolve = resolvePromise;
	});
	return {promise, resolve};
}
