import type {IncomingMessage, ServerResponse} from 'node:http';
import type {
	Row, RowKey, RowWrite, StoreFailure,
} from '../../platform/table.ts';
import {
	noFaults, readText, sendAnswer, StandInServer, type CommonFaults, type StandInAnswer,
} from '../stand-in-server.ts';
import {
	parseRowKey, parseRowWrite, type Item, type TransactItem,
} from './dynamo-protocol.ts';
import {MemoryTable} from './memory-table.ts';

/** Faults of the platform. */
export type PlatformFaults = CommonFaults & {
	/** Applies writes, then closes the connection without an answer. */
	readonly loseWriteAnswers: boolean;
};

type Operation = (input: never) => Promise<StandInAnswer>;

/** Stand-in for the platform: table by the DynamoDB JSON protocol. */
export class PlatformServer extends StandInServer<PlatformFaults> {
	readonly table = new MemoryTable();

	readonly #operations: Readonly<Record<string, Operation>> = {
		GetItem: async (input: {Key: Item}) => this.#get(input.Key),
		Query: async (input: QueryInput) => this.#query(input),
		TransactWriteItems: async (input: {TransactItems: readonly TransactItem[]}) => this.#write(input.TransactItems),
	};

	constructor() {
		super({...noFaults, loseWriteAnswers: false});
	}

	protected async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const [, name = ''] = String(request.headers['x-amz-target']).split('.');
		const operation = this.#operations[name];
		if (operation === undefined) {
			sendAnswer(response, toError('UnknownOperationException', name));
			return;
		}

		const answer = await operation(JSON.parse(await readText(request)) as never);
		if (name === 'TransactWriteItems' && this.faults.loseWriteAnswers) {
			request.socket.destroy();
			return;
		}

		sendAnswer(response, answer);
	}

	async #get(key: Item): Promise<StandInAnswer> {
		const result = await this.table.get(parseRowKey(key));
		return result.caseOf<StandInAnswer>({
			Left: toFailure,
			Right: row => ({status: 200, body: row === undefined ? {} : {Item: toItem(row)}}),
		});
	}

	async #query(input: QueryInput): Promise<StandInAnswer> {
		const partition = input.ExpressionAttributeValues[':pk']?.S ?? '';
		const result = await this.table.query(partition, {after: input.ExclusiveStartKey?.sk?.S, limit: input.Limit});
		return result.caseOf<StandInAnswer>({
			Left: toFailure,
			Right: rows => ({status: 200, body: {Items: rows.map(row => toItem(row)), Count: rows.length}}),
		});
	}

	async #write(entries: readonly TransactItem[]): Promise<StandInAnswer> {
		const writes = entries.map(entry => parseRowWrite(entry));
		const result = await this.table.write(writes);
		return result.caseOf<StandInAnswer>({
			Left: failure => (failure.kind === 'conflict' ? toCancellation(writes, failure.keys) : toFailure(failure)),
			Right: () => ({status: 200, body: {}}),
		});
	}
}

type QueryInput = {
	readonly ExpressionAttributeValues: Item;
	readonly ExclusiveStartKey?: Item;
	readonly Limit?: number;
};

function toItem(row: Row): Item {
	return {
		pk: {S: row.key.partition},
		sk: {S: row.key.sort},
		revision: {N: String(row.revision)},
		body: {S: row.body},
	};
}

function toError(type: string, message: string, details: Record<string, unknown> = {}): StandInAnswer {
	return {status: 400, body: {__type: `com.amazonaws.dynamodb.v20120810#${type}`, message, ...details}};
}

function toCancellation(writes: readonly RowWrite[], keys: readonly RowKey[]): StandInAnswer {
	const failed = new Set(keys);
	const reasons = writes.map(write => ({Code: failed.has(write.key) ? 'ConditionalCheckFailed' : 'None'}));
	return toError('TransactionCanceledException', 'Transaction cancelled', {CancellationReasons: reasons});
}

function toFailure(failure: StoreFailure): StandInAnswer {
	return toError('InternalServerError', failure.kind);
}
