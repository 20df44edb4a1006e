import {setTimeout as delay} from 'node:timers/promises';
import {
	EitherAsync, Left, Right, type Either,
} from 'purify-ts';
import {z} from 'zod';
import type {
	Row, RowKey, RowWrite, StoreFailure, Table,
} from '../../ports/table.ts';
import {
	formatVersion, headKey, parseHead, toEntryKey, type ConfigurationEntry,
} from '../../version/configuration.ts';

/** Why a change to the configuration was not made. After `unknown` it may have been made. */
export type ChangeFailure
	= | {readonly kind: 'refused'; readonly message: string}
		| {readonly kind: 'unavailable'; readonly message: string}
		| {readonly kind: 'unknown'; readonly message: string};

/** A change to one entry, planned against the configuration as read. */
export type PlannedChange = {
	readonly entry: Omit<ConfigurationEntry, 'version'>;
	/** Row of the entry as read; `undefined` when it is absent. */
	readonly current: Row | undefined;
	/** Rows that must be unchanged when the change is written. */
	readonly checks: ReadonlyArray<Pick<Row, 'key' | 'revision'>>;
};

/** Plans a change that would make a version; called again when another change was written first. */
export type ChangePlan = (version: number) => Promise<Either<ChangeFailure, PlannedChange>>;

/** A change that was written. */
export type CommittedChange = {
	readonly changeId: string;
	/** Version of the whole configuration that the change made. */
	readonly version: number;
};

/** Id and operator of a change. A change with an id that was used already is not written again, so that a repeated command is idempotent. */
export type ChangeAuthor = {
	readonly changeId: string;
	readonly operator: string;
};

const maxAttempts = 6;
const retryDelayMs = 300;
const changeIdBody = z.object({version: z.number()});

/** Checks of the writer. All are on except in tests that show which fault each of them prevents. */
export type WriterGuards = {
	/** Before each write, and after an unknown outcome, the change is looked up by its id. */
	readonly readsBackByChangeId: boolean;
};

/** Options of the writer. */
export type ConfigurationWriterOptions = {
	/** Waits between attempts. @default a timer */
	readonly wait?: (milliseconds: number) => Promise<unknown>;
	/** @default all checks */
	readonly guards?: WriterGuards;
};

/** Writes changes to the configuration, each change id at most once. */
export class ConfigurationWriter {
	readonly #table: Table;
	readonly #delay: (milliseconds: number) => Promise<unknown>;
	readonly #guards: WriterGuards;

	constructor(table: Table, options: ConfigurationWriterOptions = {}) {
		this.#table = table;
		this.#delay = options.wait ?? (async milliseconds => delay(milliseconds));
		this.#guards = options.guards ?? {readsBackByChangeId: true};
	}

	/** Writes a change in one transaction over the entry, head, change and change-id rows. After a lost answer, the change is looked up by its id. */
	async apply(author: ChangeAuthor, plan: ChangePlan): Promise<Either<ChangeFailure, CommittedChange>> {
		let unknownFailure: ChangeFailure | undefined;
		let failure: ChangeFailure = {kind: 'unavailable', message: 'too many concurrent changes'};
		for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
			const result = await this.#attempt(author, plan);
			if (result.isRight()) {
				return result;
			}

			const cause = result.extract() as AttemptFailure;
			if (cause.kind === 'refused') {
				return unknownFailure === undefined ? Left(cause) : this.#resolveRefusal(author, cause);
			}

			// Once a write may have been applied, a later failure does not show that it was not.
			unknownFailure = cause.kind === 'unknown' ? cause : unknownFailure;
			failure = unknownFailure ?? (cause.kind === 'conflict' ? failure : cause);
			await this.#delay(cause.kind === 'conflict' ? 0 : retryDelayMs);
		}

		return Left(failure);
	}

	async #attempt(author: ChangeAuthor, plan: ChangePlan): Promise<Either<AttemptFailure, CommittedChange>> {
		return EitherAsync<AttemptFailure, CommittedChange>(async ({fromPromise}) => {
			const head = await fromPromise(this.#read(headKey));
			const committed = await fromPromise(this.#findCommitted(author.changeId));
			if (committed !== undefined) {
				return committed;
			}

			const version = parseHead(head?.body).version + 1;
			const change = await fromPromise(plan(version));
			await fromPromise(this.#write(createWrites(author, version, head, change)));
			return {changeId: author.changeId, version};
		}).run();
	}

	/** Resolves a refusal after a write with an unknown outcome: that write may itself be the cause of the refusal. */
	async #resolveRefusal(author: ChangeAuthor, refusal: ChangeFailure): Promise<Either<ChangeFailure, CommittedChange>> {
		const committed = await this.#findCommitted(author.changeId);
		return committed.caseOf<Either<ChangeFailure, CommittedChange>>({
			Left: () => Left({kind: 'unknown', message: 'the change cannot be read back'}),
			Right: found => (found === undefined ? Left(refusal) : Right(found)),
		});
	}

	async #findCommitted(changeId: string): Promise<Either<AttemptFailure, CommittedChange | undefined>> {
		if (!this.#guards.readsBackByChangeId) {
			return Right(undefined);
		}

		const row = await this.#read(toChangeIdKey(changeId));
		return row.map(found => (found === undefined
			? undefined
			: {changeId, version: changeIdBody.parse(JSON.parse(found.body)).version}));
	}

	async #read(key: RowKey): Promise<Either<AttemptFailure, Row | undefined>> {
		const row = await this.#table.get(key);
		return row.mapLeft(readFailure => toReadFailure(readFailure));
	}

	async #write(writes: readonly RowWrite[]): Promise<Either<AttemptFailure, void>> {
		const result = await this.#table.write(writes);
		return result.mapLeft(failure => (failure.kind === 'conflict' ? {kind: 'conflict'} : failure));
	}
}

type AttemptFailure = ChangeFailure | {readonly kind: 'conflict'};

/** Converts the failure of a read. A read changes nothing, so its failure is never an unknown outcome. */
export function toReadFailure(failure: StoreFailure): ChangeFailure {
	return {kind: 'unavailable', message: failure.kind === 'conflict' ? 'conflict' : failure.message};
}

function toChangeIdKey(changeId: string): RowKey {
	return {partition: 'change-id', sort: changeId};
}

function createWrites(
	author: ChangeAuthor,
	version: number,
	head: Row | undefined,
	{entry, current, checks}: PlannedChange,
): readonly RowWrite[] {
	const written = {...entry, version};
	const body = JSON.stringify({...written, ...author});
	return [
		{
			kind: 'put', key: toEntryKey(entry), expected: current?.revision ?? 0, body,
		},
		{
			kind: 'put', key: headKey, expected: head?.revision ?? 0, body: JSON.stringify({version, ...author}),
		},
		{
			kind: 'put', key: {partition: 'change', sort: formatVersion(version)}, expected: 0, body,
		},
		{
			kind: 'put', key: toChangeIdKey(author.changeId), expected: 0, body: JSON.stringify({version}),
		},
		...checks.map(({key, revision}): RowWrite => ({kind: 'check', key, expected: revision})),
	];
}
