import type {RowKey, RowWrite} from '../../ports/table.ts';

/** Attribute value of the DynamoDB JSON protocol; the table uses strings and numbers only. */
export type Attribute = {readonly S?: string; readonly N?: string};

/** Item or key in the DynamoDB JSON protocol. */
export type Item = Readonly<Record<string, Attribute>>;

type Condition = {
	readonly ConditionExpression?: string;
	readonly ExpressionAttributeValues?: Item;
};

/** One entry of a TransactWriteItems request. */
export type TransactItem = {
	readonly Put?: Condition & {readonly Item: Item};
	readonly Delete?: Condition & {readonly Key: Item};
	readonly ConditionCheck?: Condition & {readonly Key: Item};
};

/** Reads the row key from an item. */
export function parseRowKey(item: Item): RowKey {
	return {partition: item.pk?.S ?? '', sort: item.sk?.S ?? ''};
}

/** Converts a transaction entry into a row write; throws when the stand-in does not support the entry or its condition. */
export function parseRowWrite(entry: TransactItem): RowWrite {
	if (entry.Put !== undefined) {
		const body = entry.Put.Item.body?.S ?? '';
		return {
			kind: 'put', key: parseRowKey(entry.Put.Item), expected: parseExpected(entry.Put), body,
		};
	}

	if (entry.Delete !== undefined) {
		return {kind: 'delete', key: parseRowKey(entry.Delete.Key), expected: parseExpected(entry.Delete)};
	}

	if (entry.ConditionCheck !== undefined) {
		return {kind: 'check', key: parseRowKey(entry.ConditionCheck.Key), expected: parseExpected(entry.ConditionCheck)};
	}

	throw new TypeError('unsupported transaction entry; expected Put, Delete or ConditionCheck');
}

function parseExpected(condition: Condition): number {
	if (condition.ConditionExpression === 'attribute_not_exists(pk)') {
		return 0;
	}

	if (condition.ConditionExpression === 'revision = :expected') {
		return Number(condition.ExpressionAttributeValues?.[':expected']?.N);
	}

	throw new TypeError(`unsupported condition expression: ${condition.ConditionExpression}`);
}
