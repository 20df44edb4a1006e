import type {Host, HostList} from '../platform/host-list.ts';
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
	#reading = false;

	constructor(log: Log, list: HostList) {
		super(log);
		this.#list = list;
	}

	/** Hosts of the last list read. */
	get hosts(): readonly Host[] {
		return this.#hosts;
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
				this.#hosts = message.hosts;
				return;
			}

			case 'failed': {
				this.log.warn('The host list cannot be read.', {message: message.message});
			}
		}
	}

	async #read(): Promise<void> {
		if (this.#reading) {
			return;
		}

		this.#reading = true;
		const result = await this.#list.read();
		this.#reading = false;
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
