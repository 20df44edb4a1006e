import {performance} from 'node:perf_hooks';
import type {Host, HostList} from '../ports/host-list.ts';
import type {Log} from './log.ts';
import {Task} from './task.ts';

type Message
	= | {readonly kind: 'poll'}
		| {readonly kind: 'read'; readonly hosts: readonly Host[]}
		| {readonly kind: 'failed'; readonly message: string};

const pollIntervalMs = 1000;

/** Polls the host list; the last list read stays in use while the list is down. */
export class HostListPoller extends Task<Message> {
	readonly #list: HostList;
	#hosts: readonly Host[] = [];
	readonly #listeners: Array<(hosts: readonly Host[]) => void> = [];
	#readAt: number | undefined;
	#isReading = false;

	constructor(log: Log, list: HostList) {
		super(log);
		this.#list = list;
	}

	/** Hosts of the last list read. */
	get hosts(): readonly Host[] {
		return this.#hosts;
	}

	/** Time of the last successful read on the monotonic clock, in milliseconds. */
	get readAt(): number | undefined {
		return this.#readAt;
	}

	/** Calls a listener with each list that is read. */
	subscribe(listener: (hosts: readonly Host[]) => void): void {
		this.#listeners.push(listener);
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
				this.#update(message.hosts);
				return;
			}

			case 'failed': {
				this.log.warn('The host list cannot be read.', {message: message.message});
			}
		}
	}

	/** An empty list after a full one is a fault of the list, as a deployment does not lose all hosts at once. */
	#update(hosts: readonly Host[]): void {
		if (hosts.length === 0 && this.#hosts.length > 0) {
			this.log.warn('The host list is empty; the last one stays in use.');
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
