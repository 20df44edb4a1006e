import type {
	Row, RowKey, RowWrite, StoreFailure, Table,
} from '../../ports/table.ts';
import type {StandInAnswer} from '../stand-in-server.ts';
import {
	parseRowKey, parseRowWrite, type Item, type TransactItem,
} from './dynamo-protocol.ts';

/** Input fields of the Query operation that the stand-in supports. */
export type QueryInput = {
	readonly ExpressionAttributeValues: Item;
	readonly ExclusiveStartKey?: Item;
	readonly Limit?: number;
};

/** Answers GetItem. */
export async function answerGet(table: Table, key: Item): Promise<StandInAnswer> {
	const result = await table.get(parseRowKey(key));
	return result.caseOf<StandInAnswer>({
		Left: toFailure,
		Right: row => ({status: 200, body: row === undefined ? {} : {Item: toItem(row)}}),
	});
}

/** Answers Query with at most `pageRows` rows. */
export async function answerQuery(table: Table, input: QueryInput, pageRows: number): Promise<StandInAnswer> {
	const partition = input.ExpressionAttributeValues[':pk']?.S ?? '';
	const limit = Math.min(input.Limit ?? pageRows, pageRows);
	const result = await table.query(partition, {after: input.ExclusiveStartKey?.sk?.S, limit});
	return result.caseOf<StandInAnswer>({
		Left: toFailure,
		Right(rows) {
			const last = rows.length === limit ? rows.at(-1) : undefined;
			const next = last === undefined ? {} : {LastEvaluatedKey: toItemKey(last.key)};
			return {status: 200, body: {Items: rows.map(row => toItem(row)), Count: rows.length, ...next}};
		},
	});
}

/** Answers TransactWriteItems. */
export async function answerWrite(table: Table, entries: readonly TransactItem[]): Promise<StandInAnswer> {
	const writes = entries.map(entry => parseRowWrite(entry));
	const result = await table.write(writes);
	return result.caseOf<StandInAnswer>({
		Left: failure => (failure.kind === 'conflict' ? toCancellation(writes, failure.keys) : toFailure(failure)),
		Right: () => ({status: 200, body: {}}),
	});
}

/** Creates an error of the DynamoDB JSON protocol. */
export function createTableError(type: string, message: string, details: Record<string, unknown> = {}): StandInAnswer {
	return {status: 400, body: {__type: `com.amazonaws.dynamodb.v20120810#${type}`, message, ...details}};
}

function toItemKey(key: RowKey): Item {
	return {pk: {S: key.partition}, sk: {S: key.sort}};
}

function toItem(row: Row): Item {
	return {...toItemKey(row.key), revision: {N: String(row.revision)}, body: {S: row.body}};
}

function toCancellation(writes: readonly RowWrite[], keys: readonly RowKey[]): StandInAnswer {
	const failed = new Set(keys);
	const reasons = writes.map(write => ({Code: failed.has(write.key) ? 'ConditionalCheckFailed' : 'None'}));
	return createTableError('TransactionCanceledException', 'Transaction cancelled', {CancellationReasons: reasons});
}

function toFailure(failure: StoreFailure): StandInAnswer {
	const message = failure.kind === 'conflict' ? failure.kind : failure.message;
	return createTableError(failure.kind === 'unavailable' ? 'ValidationException' : 'InternalServerError', message);
}
