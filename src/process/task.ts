import {createAdapter} from '@most/adapter';
import {
	map, merge, periodic, runEffects, tap, until,
} from '@most/core';
import {newDefaultScheduler} from '@most/scheduler';
import type {Stream} from '@most/types';
import type {Log} from './log.ts';

/** Owner of state and sockets that is reached only through its mailbox, which is a stream of messages. */
export abstract class Task<Message> implements AsyncDisposable {
	protected readonly log: Log;
	readonly #post: (message: Message) => void;
	readonly #mailbox: Stream<Message>;
	readonly #stop: () => void;
	readonly #stopped: Stream<void>;
	#finished: Promise<void> = Promise.resolve();
	#disposed: Promise<void> | undefined;

	constructor(log: Log) {
		this.log = log;
		[this.#post, this.#mailbox] = createAdapter<Message>();
		[this.#stop, this.#stopped] = createAdapter<void>();
	}

	/** Delivers a message; messages are handled one at a time, in order. */
	post(message: Message): void {
		this.#post(message);
	}

	/** Starts handling messages, with one tick message at each interval in milliseconds when given. */
	start(tick?: {readonly message: Message; readonly intervalMs: number}): void {
		const source: Stream<Message> = tick === undefined
			? this.#mailbox
			: merge(this.#mailbox, map((): Message => tick.message, periodic(tick.intervalMs)));
		const handled = tap((message: Message) => {
			this.#handle(message);
		}, until(this.#stopped, source));
		this.#finished = runEffects(handled, newDefaultScheduler());
	}

	/** Stops the mailbox and releases what the task owns. */
	async [Symbol.asyncDispose](): Promise<void> {
		this.#disposed ??= this.#dispose();
		await this.#disposed;
	}

	/** Releases sockets and timers; called once after the last message. */
	protected async release(): Promise<void> {
		// Nothing to release by default.
	}

	/** Handles one message; input and output that take time report back by another message. */
	protected abstract receive(message: Message): void;

	async #dispose(): Promise<void> {
		this.#stop();
		await this.#finished;
		await this.release();
	}

	#handle(message: Message): void {
		try {
			this.receive(message);
		} catch (error) {
			this.log.error('A message failed.', error);
		}
	}
}
