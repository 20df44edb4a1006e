import type {Row, StoreFailure, Table} from '../platform/table.ts';
import type {KeyDirectory} from './key-directory.ts';
import type {Log} from './log.ts';
import {Task} from './task.ts';

type Message
	= | {readonly kind: 'poll'}
		| {readonly kind: 'read'; readonly rows: readonly Row[]}
		| {readonly kind: 'failed'; readonly failure: StoreFailure};

const pollIntervalMs = 1000;

/** Keeps the keys of the platform's table in force in this daemon. */
export class ConfigurationTask extends Task<Message> {
	readonly #table: Table;
	#keys: KeyDirectory = new Map();
	#isLoaded = false;

	constructor(log: Log, table: Table) {
		super(log);
		this.#table = table;
	}

	/** Keys in force. */
	get keys(): KeyDirectory {
		return this.#keys;
	}

	/** True once a configuration has been read. */
	get isLoaded(): boolean {
		return this.#isLoaded;
	}

	/** Starts polling at once and then each second. */
	run(): void {
		this.start({message: {kind: 'poll'}, intervalMs: pollIntervalMs});
	}

	protected receive(message: Message): void {
		switch (message.kind) {
			case 'poll': {
				void this.#read();
				return;
			}

			case 'read': {
				this.#keys = new Map(message.rows.map(row => [row.key.sort, parseCustomer(row.body)]));
				this.#isLoaded = true;
				return;
			}

			case 'failed': {
				this.log.warn('The configuration cannot be read.', {failure: message.failure});
			}
		}
	}

	async #read(): Promise<void> {
		const result = await this.#table.query('key');
		result.caseOf({
			Left: failure => {
				this.post({kind: 'failed', failure});
			},
			Right: rows => {
				this.post({kind: 'read', rows});
			},
		});
	}
}

function parseCustomer(body: string): string {
	const {customer} = JSON.parse(body) as {readonly customer: string};
	return customer;
}
