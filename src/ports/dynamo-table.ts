import {
	DynamoDBClient,
	GetItemCommand,
	QueryCommand,
	TransactWriteItemsCommand,
	type AttributeValue,
	type QueryCommandOutput,
	type TransactWriteItem,
} from '@aws-sdk/client-dynamodb';
import {Left, Right, type Either} from 'purify-ts';
import {
	Table, type Row, type RowKey, type RowWrite, type StoreFailure,
} from './table.ts';

/** Options of a table that is accessed over the DynamoDB JSON protocol. */
export type DynamoTableOptions = {
	readonly endpoint: string;
	readonly tableName: string;
	/** Timeout of one call, in milliseconds. @default 2000 */
	readonly timeoutMs?: number;
};

const defaultTimeoutMs = 2000;
const defaultQueryRowLimit = 1000;
const pageRowLimit = 1000;

/** Service errors that guarantee that nothing was applied. */
const notAppliedErrorNames = new Set([
	'ProvisionedThroughputExceededException',
	'RequestLimitExceeded',
	'ResourceNotFoundException',
	'ThrottlingException',
	'ValidationException',
]);

/** Socket errors that occur before any byte of the request is sent. */
const notSentErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND']);

type Item = Record<string, AttributeValue>;

/** Table accessed over the DynamoDB JSON protocol; retries of the SDK are disabled. */
export class DynamoTable extends Table {
	readonly #client: DynamoDBClient;
	readonly #options: DynamoTableOptions;

	constructor(options: DynamoTableOptions) {
		super();
		this.#options = options;
		this.#client = new DynamoDBClient({
			endpoint: options.endpoint,
			region: 'local',
			credentials: {accessKeyId: 'wagtailtack', secretAccessKey: 'wagtailtack'},
			maxAttempts: 1,
		});
	}

	async get(key: RowKey): Promise<Either<StoreFailure, Row | undefined>> {
		const command = new GetItemCommand({
			TableName: this.#options.tableName,
			Key: toItemKey(key),
			ConsistentRead: true,
		});
		const result = await this.#call(async abortSignal => this.#client.send(command, {abortSignal}));
		return result.map(output => (output.Item === undefined ? undefined : toRow(output.Item)));
	}

	async query(
		partition: string,
		options: {readonly after?: string; readonly limit?: number} = {},
	): Promise<Either<StoreFailure, readonly Row[]>> {
		const {limit = defaultQueryRowLimit} = options;
		const rows: Row[] = [];
		let {after} = options;
		do {
			const page = await this.#queryPage(partition, limit - rows.length, after);
			if (page.isLeft()) {
				return Left(page.extract());
			}

			const {Items: items = [], LastEvaluatedKey: last} = page.unsafeCoerce();
			rows.push(...items.map(item => toRow(item)));
			after = last?.sk?.S;
		} while (after !== undefined && rows.length < limit);

		return Right(rows);
	}

	async write(writes: readonly RowWrite[]): Promise<Either<StoreFailure, void>> {
		const command = new TransactWriteItemsCommand({
			TransactItems: writes.map(write => this.#toTransactItem(write)),
		});
		const result = await this.#call(async abortSignal => this.#client.send(command, {abortSignal}), writes);
		return result.map(() => undefined);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#client.destroy();
	}

	async #queryPage(partition: string, limit: number, after?: string): Promise<Either<StoreFailure, QueryCommandOutput>> {
		const command = new QueryCommand({
			TableName: this.#options.tableName,
			KeyConditionExpression: 'pk = :pk',
			ExpressionAttributeValues: {':pk': {S: partition}},
			ConsistentRead: true,
			Limit: Math.min(limit, pageRowLimit),
			...(after === undefined ? {} : {ExclusiveStartKey: toItemKey({partition, sort: after})}),
		});
		return this.#call(async abortSignal => this.#client.send(command, {abortSignal}));
	}

	async #call<Output>(
		send: (abortSignal: AbortSignal) => Promise<Output>,
		writes: readonly RowWrite[] = [],
	): Promise<Either<StoreFailure, Output>> {
		try {
			const signal = AbortSignal.timeout(this.#options.timeoutMs ?? defaultTimeoutMs);
			return Right(await send(signal));
		} catch (error) {
			return Left(toStoreFailure(error, writes));
		}
	}

	#toTransactItem(write: RowWrite): TransactWriteItem {
		const condition = {
			TableName: this.#options.tableName,
			...(write.expected === 0
				? {ConditionExpression: 'attribute_not_exists(pk)'}
				: {
					ConditionExpression: 'revision = :expected',
					ExpressionAttributeValues: {':expected': {N: String(write.expected)}},
				}),
		};
		switch (write.kind) {
			case 'put': {
				const item = {...toItemKey(write.key), revision: {N: String(write.expected + 1)}, body: {S: write.body}};
				return {Put: {...condition, Item: item}};
			}

			case 'delete': {
				return {Delete: {...condition, Key: toItemKey(write.key)}};
			}

			case 'check': {
				return {ConditionCheck: {...condition, Key: toItemKey(write.key)}};
			}
		}
	}
}

function toItemKey(key: RowKey): Item {
	return {pk: {S: key.partition}, sk: {S: key.sort}};
}

function toRow(item: Item): Row {
	return {
		key: {partition: item.pk?.S ?? '', sort: item.sk?.S ?? ''},
		revision: Number(item.revision?.N ?? 0),
		body: item.body?.S ?? '{}',
	};
}

type SdkError = Error & {
	readonly code?: string;
	readonly CancellationReasons?: ReadonlyArray<{readonly Code?: string}>;
};

function toStoreFailure(error: unknown, writes: readonly RowWrite[]): StoreFailure {
	const {name, message, code, CancellationReasons: reasons} = error as SdkError;
	if (name === 'TransactionCanceledException') {
		const failed = writes.filter((_, index) => reasons?.[index]?.Code === 'ConditionalCheckFailed');
		return failed.length > 0
			? {kind: 'conflict', keys: failed.map(write => write.key)}
			: {kind: 'unavailable', message: 'transaction cancelled because of a concurrent transaction'};
	}

	if (notAppliedErrorNames.has(name) || (code !== undefined && notSentErrorCodes.has(code))) {
		return {kind: 'unavailable', message: `${name}: ${message}`};
	}

	return {kind: 'unknown', message: `${name}: ${message}`};
}
