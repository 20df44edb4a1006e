import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {SystemClock} from '../../process/clock.ts';
import {
	noFaults, readText, sendAnswer, StandInServer, type CommonFaults, type StandInAnswer,
} from '../stand-in-server.ts';
import type {Item, TransactItem} from './dynamo-protocol.ts';
import {MemoryObjectStore} from './memory-object-store.ts';
import {MemoryTable} from './memory-table.ts';
import {objectPath, serveObject} from './object-requests.ts';
import {RateLimit} from './rate-limit.ts';
import {
	answerGet, answerQuery, answerWrite, createTableError, type QueryInput,
} from './table-requests.ts';

/** Faults and limits of the platform; set with `PUT /faults` at runtime. */
export type PlatformFaults = CommonFaults & {
	/** Applies writes, then closes the connection without an answer. */
	readonly loseWriteAnswers: boolean;
	/** Loses the answers to this number of further writes, also while `loseWriteAnswers` is off; counts down. */
	readonly loseNextWriteAnswers: number;
	/** Answers each write with an internal error and does not apply it. */
	readonly failWrites: boolean;
	/** Delays each received table write, in milliseconds; the write is applied even when its sender has disconnected. */
	readonly slowWritesMs: number;
	/** Rate limit of table writes, per second; calls above it are throttled. 0 for no limit. */
	readonly writesPerSecond: number;
	/** Rate limit of table reads, per second; calls above it are throttled. 0 for no limit. */
	readonly readsPerSecond: number;
	/** Whether a transaction counts as one write or as one write per row against the write limit. */
	readonly transactionCost: 'one' | 'rows';
	/** Maximum number of rows in one page of a query. */
	readonly pageRows: number;
	/** Closes the connection of each request to the object store. */
	readonly objectsDown: boolean;
};

/** Calls and rows that the platform has served. */
export type PlatformCounters = {
	readonly reads: number;
	/** Write calls. */
	readonly writes: number;
	/** Rows in all write calls. */
	readonly writtenRows: number;
	readonly throttled: number;
	readonly objectReads: number;
	readonly objectWrites: number;
};

const healthyFaults: PlatformFaults = {
	...noFaults,
	loseWriteAnswers: false,
	loseNextWriteAnswers: 0,
	failWrites: false,
	slowWritesMs: 0,
	writesPerSecond: 0,
	readsPerSecond: 0,
	transactionCost: 'one',
	pageRows: 1000,
	objectsDown: false,
};

const throttled = createTableError('ThrottlingException', 'Rate exceeded');

/** Stand-in for the platform: a table with the DynamoDB JSON protocol, and an object store. */
export class PlatformServer extends StandInServer<PlatformFaults> {
	readonly table = new MemoryTable();
	readonly objects = new MemoryObjectStore();
	readonly #readLimit = new RateLimit(new SystemClock());
	readonly #writeLimit = new RateLimit(new SystemClock());
	readonly #counters = {
		reads: 0, writes: 0, writtenRows: 0, throttled: 0, objectReads: 0, objectWrites: 0,
	};

	constructor() {
		super(healthyFaults);
	}

	/** Calls served since the start. */
	get counters(): PlatformCounters {
		return {...this.#counters};
	}

	protected async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const {url = '/'} = request;
		if (url === '/counters') {
			sendAnswer(response, {status: 200, body: this.#counters});
		} else if (url.startsWith(objectPath)) {
			await this.#serveObject(request, response);
		} else {
			await this.#serveTable(request, response);
		}
	}

	async #serveObject(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (this.faults.objectsDown) {
			request.socket.destroy();
			return;
		}

		this.#counters[request.method === 'GET' ? 'objectReads' : 'objectWrites'] += 1;
		await serveObject(this.objects, request, response);
	}

	async #serveTable(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const [, name = ''] = String(request.headers['x-amz-target']).split('.');
		const input = JSON.parse(await readText(request)) as unknown;
		const answer = await this.#answer(name, input);
		if (name === 'TransactWriteItems' && answer !== throttled && this.#shouldLoseAnswer()) {
			request.socket.destroy();
			return;
		}

		sendAnswer(response, answer);
	}

	async #answer(name: string, input: unknown): Promise<StandInAnswer> {
		switch (name) {
			case 'GetItem': {
				return this.#takeRead() ? answerGet(this.table, (input as {Key: Item}).Key) : throttled;
			}

			case 'Query': {
				return this.#takeRead() ? answerQuery(this.table, input as QueryInput, this.faults.pageRows) : throttled;
			}

			case 'TransactWriteItems': {
				return this.#write((input as {TransactItems: readonly TransactItem[]}).TransactItems);
			}

			default: {
				return createTableError('UnknownOperationException', name);
			}
		}
	}

	async #write(entries: readonly TransactItem[]): Promise<StandInAnswer> {
		const units = this.faults.transactionCost === 'one' ? 1 : entries.length;
		if (!this.#writeLimit.take(units, this.faults.writesPerSecond)) {
			this.#counters.throttled += 1;
			return throttled;
		}

		await delay(this.faults.slowWritesMs);
		this.#counters.writes += 1;
		this.#counters.writtenRows += entries.length;
		return this.faults.failWrites
			? {...createTableError('InternalServerError', 'Internal error'), status: 500}
			: answerWrite(this.table, entries);
	}

	#takeRead(): boolean {
		const isTaken = this.#readLimit.take(1, this.faults.readsPerSecond);
		this.#counters[isTaken ? 'reads' : 'throttled'] += 1;
		return isTaken;
	}

	#shouldLoseAnswer(): boolean {
		const {loseNextWriteAnswers: next, loseWriteAnswers} = this.faults;
		if (next > 0) {
			this.setFaults({loseNextWriteAnswers: next - 1});
		}

		return next > 0 || loseWriteAnswers;
	}
}
