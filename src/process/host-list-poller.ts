import {performance} from 'node:perf_hooks';
import type {Host, HostList} from '../ports/host-list.ts';
import type {Log} from './log.ts';
import {Task} from './task.ts';

type Message
	= | {readonly kind: 'poll'}
		| {readonly kind: 'read'; readonly hosts: readonly Host[]}
		| {readonly kind: 'failed'; readonly message: string};

const pollIntervalMs = 1000;

/** Polls the host list; the last list stays in use while reads fail. */
export class HostListPoller extends Task<Message> {
	readonly #list: HostList;
	#hosts: readonly Host[] = [];
	readonly #listeners: Array<(hosts: readonly Host[]) => void> = [];
	#readAt: number | undefined;
	#isReading = false;
	#loggedDrops = 0;

	constructor(log: Log, list: HostList) {
		super(log);
		this.#list = list;
	}

	/** Hosts in the last list that was read. */
	get hosts(): readonly Host[] {
		return this.#hosts;
	}

	/** Time of the last successful read on the monotonic clock, in milliseconds. */
	get readAt(): number | undefined {
		return this.#readAt;
	}

	/** Registers a listener that is called with each list that is read. */
	subscribe(listener: (hosts: readonly Host[]) => void): void {
		this.#listeners.push(listener);
	}

	/** Starts polling immediately and then every second. */
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
				this.#update(message.hosts);
				return;
			}

			case 'failed': {
				this.log.warn('Failed to read the host list.', {message: message.message});
			}
		}
	}

	/** Logs items that cannot be used whenever their number changes; an unchanged list is read every second. */
	#logDroppedItems(): void {
		const {droppedItems} = this.#list;
		if (droppedItems !== this.#loggedDrops) {
			this.#loggedDrops = droppedItems;
			this.log.warn('Dropped items of the host list that cannot be used.', {items: droppedItems});
		}
	}

	/** Ignores an empty list after a non-empty one: it is a fault of the list, as a deployment does not lose all hosts at once. */
	#update(hosts: readonly Host[]): void {
		if (hosts.length === 0 && this.#hosts.length > 0) {
			this.log.warn('Ignored an empty host list; the previous one stays in use.');
			return;
		}

		this.#readAt = performance.now();
		this.#hosts = hosts;
		for (const listener of this.#listeners) {
			listener(hosts);
		}
	}

	async #read(): Promise<void> {
		if (this.#isReading) {
			return;
		}

		this.#isReading = true;
		const result = await this.#list.read();
		this.#isReading = false;
		this.#logDroppedItems();
		result.caseOf({
			Left: message => {
				this.post({kind: 'failed', message});
			},
			Right: hosts => {
				this.post({kind: 'read', hosts});
			},
		});
	}
}
