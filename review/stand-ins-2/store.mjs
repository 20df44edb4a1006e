/* eslint-disable camelcase -- The fields are those of the platform; steps of a case follow each other. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {listen, readAll} from './net.mjs';

const rowName = ({table, part = '', key}) => `${table}\n${part}\n${key}`;

/** Stand-in for the platform's store: rows, conditional transactions and the change feed. */
export class Store {
	/** `down`: answers every call with 503. `silent`: answers nothing. */
	fault = undefined;
	#rows = new Map();
	#version = 1;
	#waiters = new Set();
	#server = createServer((request, response) => {
		this.#handle(request, response).catch(() => {
			response.destroy();
		});
	});

	async start() {
		this.address = await listen(this.#server);
	}

	/** Writes a row of the operator or of a replica; `undefined` removes it. */
	put(table, key, value) {
		this.#version += 1;
		this.#set({table, part: '', key}, value === undefined ? undefined : Buffer.from(JSON.stringify(value)).toString('base64'));
		this.#wake();
	}

	#set({table, part = '', key}, value) {
		this.#rows.set(rowName({table, part, key}), {
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
		const body = await readAll(request);
		if (this.fault === 'silent') {
			return;
		}

		if (this.fault === 'down') {
			this.#send(response, 503, {});
			return;
		}

		switch (url.pathname) {
			case '/api/rows-get': {
				this.#get(url.searchParams, response);

				break;
			}

			case '/api/rows-feed': {
				await this.#feed(url.searchParams, response);

				break;
			}

			case '/api/rows-tx': {
				this.#transact(JSON.parse(body.toString('utf8')), response);

				break;
			}

			default: {
				this.#send(response, 404, {});
			}
		}
	}

	#get(query, response) {
		const from = query.get('from') ?? '';
		const to = query.get('to');
		const rows = [...this.#rows.values()]
			.filter(row => row.value !== undefined && row.table === query.get('table') && row.part === (query.get('part') ?? '') && row.key >= from && (to === null || row.key < to))
			.toSorted((a, b) => a.key < b.key ? -1 : 1);
		this.#send(response, 200, {rows: rows.map(row => encode(row)), has_more: false, row_version: this.#version});
	}

	async #feed(query, response) {
		const after = Number(query.get('after'));
		const find = () => [...this.#rows.values()].filter(row => row.table === query.get('table') && row.version > after).toSorted((a, b) => a.version - b.version);
		if (find().length === 0) {
			await new Promise(resolve => {
				setTimeout(resolve, Number(query.get('wait_ms')));
				this.#waiters.add(resolve);
			});
		}

		if (this.fault === 'down') {
			this.#send(response, 503, {});
		} else if (this.fault === undefined) {
			this.#send(response, 200, {rows: find().map(row => encode(row)), row_version: this.#version});
		}
	}

	#transact({expected = [], set_keys: sets = [], remove = []}, response) {
		const known = row => this.#rows.get(rowName(row));
		if (expected.some(row => (known(row)?.value === undefined ? 0 : known(row).version) !== row.row_version)) {
			this.#send(response, 412, {rows: expected.map(row => known(row)).filter(row => row?.value !== undefined).map(row => encode(row))});
			return;
		}

		this.#version += 1;
		for (const row of sets) {
			this.#set(row, row.value);
		}

		for (const row of remove) {
			this.#set(row, undefined);
		}

		this.#wake();
		this.#send(response, 200, {row_version: this.#version});
	}

	#send(response, status, fields) {
		response.writeHead(status, {'content-type': 'application/json', 'store-era': '1'});
		response.end(JSON.stringify({...fields, now_ms: Math.round(performance.now())}));
	}
}

function encode({table, part, key, value, version}) {
	return {
		table, part, key, row_version: version, ...(value === undefined ? {removed: true} : {value}),
	};
}
